package member

import "slices"

// newsQueue is what still has to be told, what was told the least first: what is new, then the rest in turn. A take costs
// what it takes, however much waits.
type newsQueue struct {
	fresh, told []item
	names       map[string]int // how many items each process has: most have none, and need not be looked for
}

type item struct {
	Record
	sent int
}

func (q *newsQueue) empty() bool { return len(q.fresh)+len(q.told) == 0 }

func (q *newsQueue) clear() { q.fresh, q.told, q.names = nil, nil, nil }

// add queues a record. What is older about the same process goes; each accuser of a suspect counts by itself.
func (q *newsQueue) add(r Record) {
	if q.names == nil {
		q.names = map[string]int{}
	}
	if q.names[r.Name] > 0 {
		old := func(n item) bool {
			if n.Name != r.Name || n.By != r.By && n.Inc >= r.Inc && n.State >= r.State {
				return false
			}
			q.forget(n.Name)
			return true
		}
		q.fresh, q.told = slices.DeleteFunc(q.fresh, old), slices.DeleteFunc(q.told, old)
	}
	for len(q.fresh)+len(q.told) >= mostQueued {
		from := &q.told // told at least once, before what is not
		if len(q.told) == 0 {
			from = &q.fresh
		}
		q.forget((*from)[0].Name)
		*from = (*from)[1:]
	}
	q.fresh = append(q.fresh, item{Record: r})
	q.names[r.Name]++
}

func (q *newsQueue) forget(name string) {
	if q.names[name]--; q.names[name] <= 0 {
		delete(q.names, name)
	}
}

// take adds news for a receiver to a message, which has room for mostNews in all. An item is told limit times.
func (q *newsQueue) take(to []Record, receiver string, limit int) []Record {
	for left := len(q.fresh) + len(q.told); left > 0 && len(to) < mostNews; left-- {
		from := &q.fresh
		if len(q.fresh) == 0 {
			from = &q.told
		}
		n := (*from)[0]
		*from = (*from)[1:]
		if n.Name != receiver || n.State != Alive { // who lives knows that itself
			to = append(to, n.Record)
			n.sent++
		}
		if n.sent >= limit {
			q.forget(n.Name)
		} else {
			q.told = append(q.told, n)
		}
	}
	return to
}

// known drops what stands in the table: others have the same one. Suspicions do not stand there.
func (q *newsQueue) known() {
	old := func(n item) bool {
		if n.State == Suspect {
			return false
		}
		q.forget(n.Name)
		return true
	}
	q.fresh, q.told = slices.DeleteFunc(q.fresh, old), slices.DeleteFunc(q.told, old)
}
