package member

import "slices"

// broadcastQueue is the queue of updates to piggyback on messages: first the updates that were never transmitted, then the
// transmitted ones in turn. The cost of taking updates is proportional to their number, independent of the length of the queue.
type broadcastQueue struct {
	fresh, transmitted []broadcast    // updates never transmitted, and those transmitted at least once
	counts             map[string]int // number of queued updates by process: most have none, which saves a search of the queue
}

// broadcast is an update that is transmitted a limited number of times.
type broadcast struct {
	Record
	transmits int // how many times the update was transmitted
}

func (q *broadcastQueue) empty() bool { return len(q.fresh)+len(q.transmitted) == 0 }

func (q *broadcastQueue) clear() { q.fresh, q.transmitted, q.counts = nil, nil, nil }

// add queues an update. It replaces the queued updates of the same process that it supersedes. Suspicions of the same process by
// different members remain in the queue together.
func (q *broadcastQueue) add(r Record) {
	if q.counts == nil {
		q.counts = map[string]int{}
	}
	if q.counts[r.Name] > 0 {
		superseded := func(n broadcast) bool {
			if n.Name != r.Name || n.SuspectedBy != r.SuspectedBy && n.Incarnation >= r.Incarnation && n.State >= r.State {
				return false
			}
			q.uncount(n.Name)
			return true
		}
		q.fresh, q.transmitted = slices.DeleteFunc(q.fresh, superseded), slices.DeleteFunc(q.transmitted, superseded)
	}
	for len(q.fresh)+len(q.transmitted) >= maxQueued {
		from := &q.transmitted // dropped first: these updates were transmitted at least once
		if len(q.transmitted) == 0 {
			from = &q.fresh
		}
		q.uncount((*from)[0].Name)
		*from = (*from)[1:]
	}
	q.fresh = append(q.fresh, broadcast{Record: r})
	q.counts[r.Name]++
}

// uncount decrements the count of a process after one of its updates was removed.
func (q *broadcastQueue) uncount(name string) {
	if q.counts[name]--; q.counts[name] <= 0 {
		delete(q.counts, name)
	}
}

// appendTo appends queued updates to the updates of a message to a receiver, up to maxUpdates in total. An update is removed from
// the queue after it was transmitted limit times.
func (q *broadcastQueue) appendTo(to []Record, receiver string, limit int) []Record {
	for left := len(q.fresh) + len(q.transmitted); left > 0 && len(to) < maxUpdates; left-- {
		from := &q.fresh
		if len(q.fresh) == 0 {
			from = &q.transmitted
		}
		n := (*from)[0]
		*from = (*from)[1:]
		if n.Name != receiver || n.State != Alive { // the receiver knows that it is itself alive
			to = append(to, n.Record)
			n.transmits++
		}
		if n.transmits >= limit {
			q.uncount(n.Name)
		} else {
			q.transmitted = append(q.transmitted, n)
		}
	}
	return to
}

// dropConverged drops the updates that all others have, as equal digests show. Suspicions are not part of the digest and remain in
// the queue.
func (q *broadcastQueue) dropConverged() {
	converged := func(n broadcast) bool {
		if n.State == Suspect {
			return false
		}
		q.uncount(n.Name)
		return true
	}
	q.fresh, q.transmitted = slices.DeleteFunc(q.fresh, converged), slices.DeleteFunc(q.transmitted, converged)
}
