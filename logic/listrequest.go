package logic

import "time"

const listEntryTime = time.Millisecond // assumed work of the list's service for an entry

// ask subscribes to the list. The subscription is kept up because a sidecar without one is held to a list
// that it has not seen.
func (b *Balancer) requestList() {
	b.emit(Action{Kind: ActWatch})
	b.scheduleListRequest(2 * b.maxListWait()) // should no answer come at all
}

func (b *Balancer) maxListWait() time.Duration {
	return max(time.Duration(listWaitShare*float64(b.cfg.Contract.ListInterval)), time.Second)
}

// listServiceTime is how long the list's service may need for a call of each sidecar: it does not grow with them and
// works on, call by call, also at those that were given up. What it does within one wait is not spread.
func (b *Balancer) listServiceTime() time.Duration {
	n := time.Duration(b.cfg.Balancers)
	if work := n * time.Duration(len(b.servers)) * listEntryTime; work > b.maxListWait() {
		return work
	}
	return n * b.cfg.Tick
}

// onListLost asks again after a wait that doubles and lets the calls of all others pass, so that a service in
// trouble is not kept there. Where what was missed counts as told soon, a second call has time before that.
func (b *Balancer) onListLost(told time.Duration) {
	if b.cfg.Subscribe {
		work := min(b.listServiceTime(), 2*b.maxListWait())
		b.listBackoff = min(max(2*b.listBackoff, b.maxListWait()/16, work), max(b.maxListWait(), work))
		wait := (0.5 + b.rng.Float64()/2) * float64(b.listBackoff)
		if told > b.now {
			wait = min(wait, b.rng.Float64()*float64(max(told-b.now, b.maxListWait()/8))/2)
		}
		b.scheduleListRequest(time.Duration(wait))
	}
}

func (b *Balancer) scheduleListRequest(wait time.Duration) {
	b.listRequestAt = b.now + wait
	b.wakeAt(b.listRequestAt, TimerList, 0)
}
