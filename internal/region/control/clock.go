package control

import "time"

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 150 * time.Millisecond
	// stallThreshold is the minimum gap between two ticks at which this process counts as stalled. The absence of
	// messages during a stall is no evidence that the peers have failed.
	stallThreshold = 4 * TickInterval
	// stallGracePeriod is the time after a stall in which no orders are accepted: an order may have waited for this
	// process while its sender gave up.
	stallGracePeriod = 500 * time.Millisecond
)

// clock holds the time of the event that is being handled, and detects stalls of this process by the gaps between ticks
// (like the local health multiplier of Lifeguard, the SWIM extension). Only Machine changes the clock; its components
// read it.
type clock struct {
	now       time.Duration
	startedAt time.Duration
	lastTick  time.Duration
	lastStall time.Duration // time of the first tick after the last stall; 0: there was no stall
	ticks     uint64
}

func (c *clock) start() {
	c.startedAt = c.now
	c.lastTick = c.now
}

// tick records a tick. It returns the time since the previous tick, and whether this process was stalled in between.
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

// isStalled reports whether an event that arrives now may have waited while this process was stalled. The result is
// true until stallGracePeriod after the first tick that follows a stall. It is also true before that tick, because
// queued messages may be handled first.
func (c *clock) isStalled() bool {
	afterStall := c.lastStall > 0 && c.now-c.lastStall < stallGracePeriod
	return afterStall || c.now-c.lastTick >= stallThreshold
}
