package soak

import (
	"context"
	"time"

	callhistory "fieldrelay/internal/testkit/history"
)

// holdTimes are the times for which locks are asked for.
var holdTimes = []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}

const (
	shortestKeep  = 500 * time.Millisecond // with heartbeats
	longestKeep   = 5 * time.Second
	longestDeath  = 4 * time.Second
	longestAsleep = 1500 * time.Millisecond // past the end of a hold
)

// locker holds locks: briefly or long, and some time it dies while it holds, or sleeps past its time.
type locker struct {
	*caller
	lock  string
	fence uint64
	until moment
}

func (l *locker) work(ctx context.Context) {
	defer l.client.CloseIdleConnections()
	for l.pause(ctx, l.pace) {
		l.lock = l.pick(lockNames)
		if l.acquire() {
			l.use(ctx)
		}
	}
}

func (l *locker) holdTime() time.Duration { return holdTimes[l.random.IntN(len(holdTimes))] }

// left is how much longer the caller holds the lock.
func (l *locker) left() time.Duration { return max(l.until-l.now(), 0) }

// acquire asks for the lock, which it may hold already, and tells whether it holds it.
func (l *locker) acquire() bool {
	return l.granted(l.call(callhistory.Call{Kind: callhistory.Acquire, Name: l.lock, Hold: l.holdTime()}))
}

// renew sends heartbeats until one has a clear answer or the time runs out.
func (l *locker) renew(ctx context.Context) bool {
	for {
		call := l.call(callhistory.Call{Kind: callhistory.Renew, Name: l.lock, Fence: l.fence, Hold: l.holdTime()})
		if isClear(call) || l.left() == 0 {
			return call.Answered < l.until && l.granted(call)
		}
		if !l.pause(ctx, shortestPace) {
			return false
		}
	}
}

// granted takes a grant; one that comes when its time has run out counts for nothing.
func (l *locker) granted(call callhistory.Call) bool {
	until := call.Sent + call.Hold
	if call.Outcome != callhistory.OK || call.Answered >= until {
		return false
	}
	l.fence, l.until = call.Fence, until
	return true
}

// use draws what the holder does.
func (l *locker) use(ctx context.Context) {
	switch l.random.IntN(6) {
	case 0, 1:
		l.pause(ctx, l.left())
		l.release()
	case 2, 3:
		l.keep(ctx, l.now()+l.between(shortestKeep, longestKeep))
	case 4: // it dies, and starts again
		l.pause(ctx, longestDeath)
	default:
		l.oversleep(ctx)
	}
}

// keep holds the lock for long.
func (l *locker) keep(ctx context.Context, end moment) {
	for l.now() < end {
		if !l.pause(ctx, l.left()*2/3) {
			return
		}
		again := l.renew
		if l.chance(20) {
			again = func(context.Context) bool { return l.acquire() }
		}
		if !again(ctx) {
			return
		}
	}
	l.release()
}

// oversleep uses a fence after its time.
func (l *locker) oversleep(ctx context.Context) {
	l.applications.world.wait(ctx, l.left()+l.between(0, longestAsleep))
	if l.chance(50) {
		l.release()
		return
	}
	l.call(callhistory.Call{Kind: callhistory.Renew, Name: l.lock, Fence: l.fence, Hold: l.holdTime()})
}

func (l *locker) release() {
	l.call(callhistory.Call{Kind: callhistory.Release, Name: l.lock, Fence: l.fence})
}
