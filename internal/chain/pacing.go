package chain

const (
	// shortestPause is the time, in ticks, before something is sent again.
	shortestPause = 2
	// tickBytes is what a slow link carries in a tick.
	tickBytes = 32 << 10
	// compression is how much shorter large messages are on their way, at least.
	compression = 8
)

// pacing keeps large messages from being sent again while they may still be on their way. The zero value is due.
type pacing struct {
	wait   int  // ticks until it is due
	age    int  // ticks since it was sent
	onWay  int  // ticks that it takes to the next machine by a slow link
	isLost bool // what was sent last
}

func (p *pacing) tick() {
	p.wait = max(0, p.wait-1)
	p.age++
}

func (p *pacing) isDue() bool { return p.wait == 0 }

// sent notes that so many bytes were sent, over so many links until an answer can come.
func (p *pacing) sent(bytes, links int) {
	p.wait = shortestPause + links*bytes/tickBytes
	p.age = 0
	p.onWay = shortestPause + bytes/compression/tickBytes
	p.isLost = false
}

// isOnItsWay reports whether something large that was sent may not have reached the next machine yet, and is not known to
// be lost. What is small is there within the shortest pause, and sent again after it.
func (p *pacing) isOnItsWay() bool {
	return p.onWay > shortestPause && p.wait > 0 && p.age <= p.onWay && !p.isLost
}

// lost notes that what was sent is not on its way any more. It is due at the next tick, or after the shortest pause
// if it was lost at once, so that what is lost each time is sent no more often than a small message.
func (p *pacing) lost() {
	p.wait = min(p.wait, max(0, shortestPause-p.age))
	p.isLost = true
}
