package control

import "time"

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 150 * time.Millisecond
	// stallThreshold is the gap between two ticks from which on this process counts as stalled: the silence of its
	// peers then says nothing about them.
	stallThreshold = 4 * TickInterval
	// stallGracePeriod is the time after a stall in which no orders are accepted: they may have waited for the process
	// while their senders gave up.
	stallGracePeriod = 500 * time.Millisecond
)

// clock holds the time of the event that is being handled, and detects stalls of this process by the gaps between ticks
// (like the local health of SWIM's Lifeguard). Only Machine changes it; the parts read it.
type clock struct {
	now       time.Duration
	startedAt time.Duration
	lastTick  time.Duration
	lastStall time.Duration // time of the first tick after the last stall; 0: there was none
	ticks     uint64
}

func (c *clock) start() {
	c.startedAt = c.now
	c.lastTick = c.now
}

// tick records a tick. It returns the time since the previous one, and whether this process was stalled in between.
func (c *clock) tick() (gap time.Duration, stalled bool) {
	gap = c.now - c.lastTick
	c.lastTick = c.now
	c.ticks++
	if gap < stallThreshold {
		return gap, false
	}
	c.lastStall = c.now
	return gap, true
}

// uptime is the time since the Started event.
func (c *clock) uptime() time.Duration { return c.now - c.startedAt }

// isStalled reports whether an event that arrives now may have waited while this process was stalled. That holds for
// stallGracePeriod after the first tick after a stall, and also before that tick, because queued messages may be
// handled first.
func (c *clock) isStalled() bool {
	afterStall := c.lastStall > 0 && c.now-c.lastStall < stallGracePeriod
	return afterStall || c.now-c.lastTick >= stallThreshold
}
