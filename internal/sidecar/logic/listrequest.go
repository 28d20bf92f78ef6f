package logic

import "time"

// listEntryTime is the assumed time that the list's service needs for one entry of an answer.
const listEntryTime = time.Millisecond

// requestList subscribes to the server list, and schedules the next request in case that no answer comes. A
// sidecar always keeps a subscription, because it must follow changes of the list that it has not received.
func (b *Balancer) requestList() {
	b.emit(Action{Kind: ActWatch})
	b.scheduleListRequest(2 * b.maxListWait()) // if no answer comes at all
}

// maxListWait is the longest wait before the list is requested again, except where the service needs longer.
func (b *Balancer) maxListWait() time.Duration {
	return max(time.Duration(listWaitFraction*float64(b.cfg.Contract.ListInterval)), time.Second)
}

// listServiceTime is the time that the list's service may need to answer one call from each sidecar. The
// service does not scale with the number of sidecars, and processes calls one after another, including
// canceled ones. Calls that take no longer than maxListWait together are spread over a tick per sidecar
// only.
func (b *Balancer) listServiceTime() time.Duration {
	n := time.Duration(b.cfg.Balancers)
	if work := n * time.Duration(len(b.servers)) * listEntryTime; work > b.maxListWait() {
		return work
	}
	return n * b.cfg.Tick
}

// onListLost schedules another request with exponential backoff and jitter. The backoff is at least the time
// in which the service can answer all sidecars, so that retries do not sustain an overload of the service.
// If notifiedAt is not 0, a missed change counts as received from then on, so the wait leaves time for two
// calls before it.
func (b *Balancer) onListLost(notifiedAt time.Duration) {
	if !b.cfg.Subscribe {
		return
	}
	longest := b.maxListWait()
	work := min(b.listServiceTime(), 2*longest)
	b.listBackoff = min(max(2*b.listBackoff, longest/16, work), max(longest, work))
	wait := (0.5 + b.rng.Float64()/2) * float64(b.listBackoff)
	if notifiedAt > b.now {
		wait = min(wait, b.rng.Float64()*float64(max(notifiedAt-b.now, longest/8))/2)
	}
	b.scheduleListRequest(time.Duration(wait))
}

func (b *Balancer) scheduleListRequest(wait time.Duration) {
	b.listRequestAt = b.now + wait
	b.wakeAt(b.listRequestAt, TimerList, 0)
}
