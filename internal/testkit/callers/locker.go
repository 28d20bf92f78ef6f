package callers

import (
	"time"

	"fieldrelay/internal/testkit/history"
)

// locker holds locks for a short or a long time. It sometimes crashes while it holds a lock, or sleeps past the expiry of the lock.
type locker struct {
	*caller
	lock  string
	fence uint64
	until time.Duration
}

func (l *locker) rest() { l.runAfter(l.pace, l.begin) }

func (l *locker) drawHold() time.Duration {
	return pick(l.all.random, []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second})
}

func (l *locker) begin() {
	l.lock = pick(l.all.random, lockNames)
	l.acquire(l.usePlan)
}

// acquire requests the lock, which the caller may hold already.
func (l *locker) acquire(then func()) {
	l.call(history.Call{Kind: history.Acquire, Name: l.lock, Hold: l.drawHold()}, func(call *history.Call) {
		l.granted(call, then)
	})
}

func (l *locker) renew(then func()) {
	l.call(history.Call{Kind: history.Renew, Name: l.lock, Fence: l.fence, Hold: l.drawHold()}, func(call *history.Call) {
		l.granted(call, then)
	})
}

// granted runs then if the caller holds the lock. It repeats a renewal without a clear answer until the lock expires, and
// otherwise gives the lock up.
func (l *locker) granted(call *history.Call, then func()) {
	isHolder := call.Outcome == history.OK && call.Answered < call.Sent+call.Hold
	if call.Kind == history.Renew {
		isHolder = isHolder && call.Answered < l.until
	}
	switch {
	case isHolder:
		l.fence = call.Fence
		l.until = call.Sent + call.Hold
		then()
	case isOpen(call) && call.Kind == history.Renew && call.Answered < l.until:
		l.renew(then)
	default:
		l.rest()
	}
}

// usePlan draws what the holder does with the lock.
func (l *locker) usePlan() {
	switch l.all.random.IntN(6) {
	case 0, 1:
		l.runAfter(l.left(), l.release)
	case 2, 3:
		l.keep(l.all.env.Now() + l.all.between(500*time.Millisecond, 5000*time.Millisecond))
	case 4: // the caller crashes and restarts
		l.all.env.After(l.all.between(50*time.Millisecond, 4000*time.Millisecond), l.rest)
	case 5:
		l.all.env.After(l.left()+l.all.between(0, 1500*time.Millisecond), l.wakeLate)
	}
}

// left returns the time for which the caller still holds the lock.
func (l *locker) left() time.Duration { return max(l.until-l.all.env.Now(), 0) }

// keep renews the lock until end, and then releases it. Some renewals are made with another acquire call.
func (l *locker) keep(end time.Duration) {
	if l.all.env.Now() >= end {
		l.release()
		return
	}
	l.runAfter(l.left()*2/3, func() {
		again := func() { l.keep(end) }
		if l.all.chance(0.2) {
			l.acquire(again)
		} else {
			l.renew(again)
		}
	})
}

// wakeLate releases or renews the lock with a fence that may have expired.
func (l *locker) wakeLate() {
	if l.all.chance(0.5) {
		l.release()
		return
	}
	l.renew(l.usePlan)
}

func (l *locker) release() {
	l.call(history.Call{Kind: history.Release, Name: l.lock, Fence: l.fence}, func(call *history.Call) {
		if call.Outcome != history.OK && l.all.chance(0.5) {
			l.runAfter(l.pace, l.release)
			return
		}
		l.rest()
	})
}
