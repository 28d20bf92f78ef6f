package placement

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"
)

// maxWaiting bounds the requests that wait for a server.
const maxWaiting = 1 << 14

// WaitID identifies a waiting request; 0 is none. Later requests have higher ids.
type WaitID uint64

// newest is later than each id of a waiting request.
const newest = WaitID(math.MaxUint64)

// waiter is a request that waits for a server.
type waiter struct {
	id          WaitID
	request     *Request
	latestStart time.Duration // last instant at which a start is in time; see Placer.latestStart
	lane        *lane
	index       int // position in the lane
}

// before reports whether a server that can take either request takes w first: the request of the higher rank, then the
// one with the least slack, then the one that has waited longer. The slack of both falls at the same rate, so the order
// never changes, and no request is overtaken for ever by later ones of its rank.
func (w *waiter) before(other *waiter) bool {
	rank, otherRank := w.request.rank(), other.request.rank()
	if rank != otherRank {
		return rank < otherRank
	}
	if w.latestStart != other.latestStart {
		return w.latestStart < other.latestStart
	}
	return w.id < other.id
}

// lane holds the waiting requests that the same servers can take: those of one service with the same home regions that
// were sent to the same servers before. While no server can take its first request, the others wait too: a server that
// could take one of them only because its client has more time would start the first one still later. A lane is a heap,
// whose first element is the request that is placed next.
type lane struct {
	key     string
	service string
	waiters []*waiter
	reason  Reason        // why the first request found no server
	checkAt time.Duration // when a server may be able to take a request although nothing was reported to the Placer
}

// isServedBefore reports whether the first request of the lane is served before a request that does not wait yet.
func (l *lane) isServedBefore(request *Request, latestStart time.Duration) bool {
	return l.waiters[0].before(&waiter{id: newest, request: request, latestStart: latestStart})
}

// Len implements heap.Interface.
func (l *lane) Len() int { return len(l.waiters) }

// Less implements heap.Interface.
func (l *lane) Less(i, j int) bool { return l.waiters[i].before(l.waiters[j]) }

// Swap implements heap.Interface.
func (l *lane) Swap(i, j int) {
	l.waiters[i], l.waiters[j] = l.waiters[j], l.waiters[i]
	l.waiters[i].index, l.waiters[j].index = i, j
}

// Push implements heap.Interface.
func (l *lane) Push(item any) {
	w := item.(*waiter)
	w.index = len(l.waiters)
	l.waiters = append(l.waiters, w)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(l.waiters) - 1
	w := l.waiters[last]
	l.waiters[last] = nil
	l.waiters = l.waiters[:last]
	return w
}

// waitQueue holds the waiting requests of all services. Its memory is bounded by maxWaiting. It is not safe for
// concurrent use.
type waitQueue struct {
	lanes  []*lane // not empty ones
	byKey  map[string]*lane
	byID   map[WaitID]*waiter
	lastID WaitID
}

func newWaitQueue() waitQueue {
	return waitQueue{byKey: map[string]*lane{}, byID: map[WaitID]*waiter{}}
}

// laneKey returns the key of the lane of a request.
func laneKey(request *Request) string {
	var key strings.Builder
	key.WriteString(request.Service)
	if request.Route != nil {
		for _, region := range request.Route.HomeRegions {
			key.WriteByte('\n')
			key.WriteString(region)
		}
	}
	key.WriteByte('\t')
	for _, excluded := range request.Excluded {
		key.WriteByte('\n')
		key.WriteString(excluded)
	}
	if request.isLastAttempt() {
		key.WriteByte('!')
	}
	return key.String()
}

// laneOf returns the lane of a request, or nil if no request of that lane waits.
func (q *waitQueue) laneOf(request *Request) *lane {
	if len(q.lanes) == 0 {
		return nil
	}
	return q.byKey[laneKey(request)]
}

// add adds a request to its lane. In a full queue the last request by the order of service gives way: it returns that
// request's waiter, which may be the new one, and otherwise nil.
func (q *waitQueue) add(request *Request, latestStart time.Duration) (added, displaced *waiter) {
	q.lastID++
	added = &waiter{id: q.lastID, request: request, latestStart: latestStart}
	if len(q.byID) >= maxWaiting {
		if displaced = q.last(); !added.before(displaced) {
			return added, added
		}
		q.remove(displaced)
	}
	key := laneKey(request)
	joined := q.byKey[key]
	if joined == nil {
		joined = &lane{key: key, service: request.Service}
		q.byKey[key] = joined
		q.lanes = append(q.lanes, joined)
	}
	added.lane = joined
	q.byID[added.id] = added
	heap.Push(joined, added)
	return added, displaced
}

// remove removes a waiting request.
func (q *waitQueue) remove(w *waiter) {
	delete(q.byID, w.id)
	heap.Remove(w.lane, w.index)
	if len(w.lane.waiters) > 0 {
		return
	}
	delete(q.byKey, w.lane.key)
	i := slices.Index(q.lanes, w.lane)
	q.lanes = slices.Delete(q.lanes, i, i+1)
}

// last returns the request that is served last. The queue must not be empty.
func (q *waitQueue) last() *waiter {
	var last *waiter
	for _, each := range q.lanes {
		for _, w := range each.waiters {
			if last == nil || last.before(w) {
				last = w
			}
		}
	}
	return last
}

// first returns the lane whose first request is served first among the lanes that are not blocked, or nil if there is
// none.
func (q *waitQueue) first(blocked []*lane) *lane {
	var first *lane
	for _, each := range q.lanes {
		if slices.Contains(blocked, each) {
			continue
		}
		if first == nil || each.waiters[0].before(first.waiters[0]) {
			first = each
		}
	}
	return first
}
