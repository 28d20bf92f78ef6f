package chain

const (
	// minRetryTicks is the time, in ticks, before something is sent again.
	minRetryTicks = 2
	// slowLinkTickBytes is what a slow link carries in a tick.
	slowLinkTickBytes = 32 << 10
	// compression is how much shorter large messages are on their way, at least.
	minCompressionRatio = 8
)

// pacing keeps large messages from being sent again while they may still be on their way. The zero value is due.
type pacer struct {
	retryTicks    int  // ticks until it is due
	ageTicks      int  // ticks since it was sent
	transitTicks  int  // ticks that it takes to the next machine by a slow link
	isUndelivered bool // what was sent last
}

func (p *pacer) tick() {
	p.retryTicks = max(0, p.retryTicks-1)
	p.ageTicks++
}

func (p *pacer) isDue() bool { return p.retryTicks == 0 }

// sent notes that so many bytes were sent, over so many links until an answer can come.
func (p *pacer) recordSend(bytes, links int) {
	p.retryTicks = minRetryTicks + links*bytes/slowLinkTickBytes
	p.ageTicks = 0
	p.transitTicks = minRetryTicks + bytes/minCompressionRatio/slowLinkTickBytes
	p.isUndelivered = false
}

// isInFlight reports whether something large that was sent may not have reached the next machine yet, and is not known to
// be lost. What is small is there within the shortest pause, and sent again after it.
func (p *pacer) isInFlight() bool {
	return p.transitTicks > minRetryTicks && p.retryTicks > 0 && p.ageTicks <= p.transitTicks && !p.isUndelivered
}

// lost notes that what was sent is not on its way any more. It is due at the next tick, or after the shortest pause
// if it was lost at once, so that what is lost each time is sent no more often than a small message.
func (p *pacer) recordUndelivered() {
	p.retryTicks = min(p.retryTicks, max(0, minRetryTicks-p.ageTicks))
	p.isUndelivered = true
}
