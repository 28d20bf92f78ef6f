package chain

const (
	// minRetryTicks is the minimum time, in ticks, before a message is sent again.
	minRetryTicks = 2
	// slowLinkTickBytes is the number of bytes that the slowest supported link carries in a tick.
	slowLinkTickBytes = 32 << 10
	// minCompressionRatio is the assumed minimum ratio by which large messages are compressed on the wire.
	minCompressionRatio = 8
)

// pacer delays the retry of a large message while the message may still be in flight: sending it twice would only
// congest a slow link further. All times are in ticks. With the zero value, a retry is due.
type pacer struct {
	retryTicks    int  // remaining time until a retry is due
	ageTicks      int  // time since the last send
	transitTicks  int  // time that the last message takes to reach the next machine over a slow link
	isUndelivered bool // the last message is known not to have arrived
}

func (p *pacer) tick() {
	p.retryTicks = max(0, p.retryTicks-1)
	p.ageTicks++
}

func (p *pacer) isDue() bool { return p.retryTicks == 0 }

// recordSend starts the delays for a message of the given size that must cross the given number of links before it can
// be answered.
func (p *pacer) recordSend(bytes, links int) {
	p.retryTicks = minRetryTicks + links*bytes/slowLinkTickBytes
	p.ageTicks = 0
	p.transitTicks = minRetryTicks + bytes/minCompressionRatio/slowLinkTickBytes
	p.isUndelivered = false
}

// isInFlight reports whether a large message may not have reached the next machine yet. It is always false for a small
// message, which arrives within minRetryTicks and is sent again after that time.
func (p *pacer) isInFlight() bool {
	return p.transitTicks > minRetryTicks && p.retryTicks > 0 && p.ageTicks <= p.transitTicks && !p.isUndelivered
}

// recordUndelivered makes a retry due at the next tick, but no earlier than minRetryTicks after the send: a message
// that fails immediately every time must not be sent more often than a small one.
func (p *pacer) recordUndelivered() {
	p.retryTicks = min(p.retryTicks, max(0, minRetryTicks-p.ageTicks))
	p.isUndelivered = true
}
