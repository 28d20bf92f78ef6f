package member

import "slices"

// broadcastQueue is the queue of updates that are piggybacked on messages: first those that were never transmitted, then the
// others in turn. Taking from it costs as much as is taken, whatever its length.
type broadcastQueue struct {
	fresh, transmitted []broadcast
	counts             map[string]int // updates queued by process: most have none, and the queue is not searched for them
}

// broadcast is an update that is transmitted a limited number of times.
type broadcast struct {
	Record
	transmits int
}

func (q *broadcastQueue) empty() bool { return len(q.fresh)+len(q.transmitted) == 0 }

func (q *broadcastQueue) clear() { q.fresh, q.transmitted, q.counts = nil, nil, nil }

// add queues an update. It replaces those of the same process that it supersedes; the accusations of a suspect by different
// members stand beside each other.
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
		from := &q.transmitted // these were transmitted at least once, so they are dropped first
		if len(q.transmitted) == 0 {
			from = &q.fresh
		}
		q.uncount((*from)[0].Name)
		*from = (*from)[1:]
	}
	q.fresh = append(q.fresh, broadcast{Record: r})
	q.counts[r.Name]++
}

// uncount takes an update of a process out of the counts.
func (q *broadcastQueue) uncount(name string) {
	if q.counts[name]--; q.counts[name] <= 0 {
		delete(q.counts, name)
	}
}

// appendTo appends updates for a receiver to those of its message, up to maxUpdates in all. An update leaves the queue after
// it was transmitted limit times.
func (q *broadcastQueue) appendTo(to []Record, receiver string, limit int) []Record {
	for left := len(q.fresh) + len(q.transmitted); left > 0 && len(to) < maxUpdates; left-- {
		from := &q.fresh
		if len(q.fresh) == 0 {
			from = &q.transmitted
		}
		n := (*from)[0]
		*from = (*from)[1:]
		if n.Name != receiver || n.State != Alive { // the receiver knows that it is alive
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

// dropConverged drops the updates that equal digests prove others to have. Suspicions are not part of the digest, and stay.
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
