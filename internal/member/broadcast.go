package member

import "slices"

// broadcastQueue is what still has to be told, what was told the least first: what is new, then the rest in turn. A take costs
// what it takes, however much waits.
type broadcastQueue struct {
	fresh, transmitted []broadcast
	counts             map[string]int // how many items each process has: most have none, and need not be looked for
}

type broadcast struct {
	Record
	transmits int
}

func (q *broadcastQueue) empty() bool { return len(q.fresh)+len(q.transmitted) == 0 }

func (q *broadcastQueue) clear() { q.fresh, q.transmitted, q.counts = nil, nil, nil }

// add queues a record. What is older about the same process goes; each accuser of a suspect counts by itself.
func (q *broadcastQueue) add(r Record) {
	if q.counts == nil {
		q.counts = map[string]int{}
	}
	if q.counts[r.Name] > 0 {
		old := func(n broadcast) bool {
			if n.Name != r.Name || n.SuspectedBy != r.SuspectedBy && n.Incarnation >= r.Incarnation && n.State >= r.State {
				return false
			}
			q.uncount(n.Name)
			return true
		}
		q.fresh, q.transmitted = slices.DeleteFunc(q.fresh, old), slices.DeleteFunc(q.transmitted, old)
	}
	for len(q.fresh)+len(q.transmitted) >= maxQueued {
		from := &q.transmitted // told at least once, before what is not
		if len(q.transmitted) == 0 {
			from = &q.fresh
		}
		q.uncount((*from)[0].Name)
		*from = (*from)[1:]
	}
	q.fresh = append(q.fresh, broadcast{Record: r})
	q.counts[r.Name]++
}

func (q *broadcastQueue) uncount(name string) {
	if q.counts[name]--; q.counts[name] <= 0 {
		delete(q.counts, name)
	}
}

// take adds news for a receiver to a message, which has room for maxUpdates in all. An item is told limit times.
func (q *broadcastQueue) appendTo(to []Record, receiver string, limit int) []Record {
	for left := len(q.fresh) + len(q.transmitted); left > 0 && len(to) < maxUpdates; left-- {
		from := &q.fresh
		if len(q.fresh) == 0 {
			from = &q.transmitted
		}
		n := (*from)[0]
		*from = (*from)[1:]
		if n.Name != receiver || n.State != Alive { // who lives knows that itself
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

// known drops what stands in the table: others have the same one. Suspicions do not stand there.
func (q *broadcastQueue) dropSettled() {
	old := func(n broadcast) bool {
		if n.State == Suspect {
			return false
		}
		q.uncount(n.Name)
		return true
	}
	q.fresh, q.transmitted = slices.DeleteFunc(q.fresh, old), slices.DeleteFunc(q.transmitted, old)
}
