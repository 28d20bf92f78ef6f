// Package budget decides who may hold how many bytes. A Ledger is the decision
// alone: no I/O, clock or goroutine, so that tests and models drive it with
// times of their own. A Gate shares one ledger among goroutines and makes those
// wait that it lets wait.
//
// The bytes of a budget are live ones: what the collector has not yet freed of
// others is the business of whoever sets its size.
package budget

import (
	"math"
	"slices"
	"time"
)

// Kind is what bytes are held for.
type Kind uint8

// What bytes are held for. Jobs are the bodies and the bookkeeping of requests that have passed the door.
const (
	Conns Kind = iota
	Requests
	Answers
	Lists
	kinds
)

func (k Kind) String() string { return [kinds]string{"conns", "jobs", "answers", "lists"}[k] }

// Pressure is how short bytes are. Each degree asks for all that those below it do.
type Pressure uint8

// The degrees of pressure, and what each asks for.
const (
	NoPressure  Pressure = iota
	TrimBuffers          // idle buffers and pools are given back
	CloseIdle            // idle connections are closed
	QueueLarge           // new large bodies wait
	QueueAll             // new jobs wait, those worth most for their bytes first
	pressures
)

func (d Pressure) String() string {
	return [pressures]string{"calm", "trim", "idle", "large", "dear"}[d]
}

// Parts of the budget.
const (
	// reserve is kept for answers and lists: what was taken must be answered though the door is shut.
	reservedFraction = 0.2
	// maxLargeFraction is the most of what the door may hold that large asks hold of it, and maxLargeShare the most of what the
	// connections that there are leave: small ones, which are most of the traffic and cost little, and the connections
	// that they are yet to come on find room beside any number of large ones.
	maxLargeFraction, maxLargeShare = 0.45, 0.75
	maxConnFraction                 = 0.9 // of the door's room may be held when a connection is let in
	// Of the door's room that is held, where each degree begins. It ends a little below, or it would come and go with
	// every job.
	trimAt, idleAt, largeAt, dearAt = 0.5, 0.65, 0.75, 0.95
	hysteresis                      = 0.1
	minTotal                        = 512 << 10 // bytes; a budget that shrinks stops here
)

// rateTimeConstant is the time constant of the rate at which bytes come back.
const rateTimeConstant = 2 * time.Second

// LargeBytes is from how many bytes on an ask is large.
const LargeBytes = 8 << 10

// Reservation is a wish to hold bytes. All but the first fields are the ledger's.
type Reservation struct {
	Kind    Kind
	Bytes   int64
	Value   float64       // of being granted; the door weighs it against Bytes
	Until   time.Duration // how long it may wait, on the ledger's clock
	Extends bool          // more for what is held already: it goes before new asks

	granted func() // told of a grant; on the goroutine that brought it about
	waiting bool
}

// Decision is what a ledger says to an ask.
type Decision uint8

// The replies. After Wait comes either a call of granted or, by Leave, the end of the waiting.
const (
	Granted Decision = iota
	Queued
	Rejected
)

// Ledger counts the bytes that are held and decides on asks for more. It is not safe for concurrent use.
type Ledger struct {
	size        int64 // the size as it was set
	total       int64 // the present one; less while the budget is found to be wrong
	held        [kinds]int64
	large       int64 // of the jobs, held by large asks
	requests    []*Reservation
	answers     []*Reservation // answers, in the order of their coming
	maxQueue    int            // most that may wait at the door
	pressure    Pressure
	releaseRate float64 // bytes a second that jobs give back, aged
	rateUpdated time.Duration
}

// NewLedger makes a ledger of so many bytes, at whose door at most queue asks wait.
func NewLedger(bytes int64, queue int) *Ledger {
	bytes = max(bytes, minTotal)
	return &Ledger{size: bytes, total: bytes, maxQueue: queue}
}

// Held is the number of bytes held for a kind.
func (l *Ledger) Held(k Kind) int64 { return l.held[k] }

// Total is the present size of the budget in bytes.
func (l *Ledger) Total() int64 { return l.total }

// Pressure is the present degree of pressure.
func (l *Ledger) Pressure() Pressure { return l.pressure }

// Waiting is the number of asks that wait, at the door and inside.
func (l *Ledger) Waiting() int { return len(l.requests) + len(l.answers) }

func (l *Ledger) sum() int64 {
	var all int64
	for _, n := range l.held {
		all += n
	}
	return all
}

// room is what jobs and connections may hold together: the budget less the reserve.
func (l *Ledger) capacity() int64 { return int64((1 - reservedFraction) * float64(l.total)) }

// Reservation wants bytes. An ask that must wait is kept until it is granted or leaves.
func (l *Ledger) Reserve(now time.Duration, a *Reservation, granted func()) Decision {
	defer l.updatePressure()
	if l.fits(a) && (a.Kind != Requests || !l.isBehind(a)) {
		l.take(a)
		return Granted
	}
	if a.Until <= now || a.Bytes > l.maxGrant(a) {
		return Rejected
	}
	a.granted, a.waiting = granted, true
	if a.Kind != Requests {
		l.answers = append(l.answers, a)
		return Queued
	}
	at, _ := slices.BinarySearchFunc(l.requests, a, func(o, a *Reservation) int {
		if before(a, o) {
			return 1
		}
		return -1 // behind all of its like
	})
	l.requests = slices.Insert(l.requests, at, a)
	if len(l.requests) <= l.maxQueue {
		return Queued
	}
	if l.requests[len(l.requests)-1] != a {
		l.DropLarge()
		return Queued
	}
	l.dequeue(a)
	return Rejected
}

// DropLarge ends the waiting of the ask at the door that is worth least for its bytes, if there is one that waits for
// bytes of a large share.
func (l *Ledger) DropLarge() bool {
	for i := len(l.requests) - 1; i >= 0; i-- {
		if last := l.requests[i]; last.isLarge() || len(l.requests) > l.maxQueue {
			last.Until = 0
			l.dequeue(last)
			last.granted()
			l.updatePressure()
			return true
		}
	}
	return false
}

// Dropped tells whether a waiting ask was dropped for one that is worth more. Its granted was called without a grant.
func (a *Reservation) Dropped() bool { return a.Until == 0 }

// before is the order at the door: what is already half inside, then by worth to bytes.
func before(a, b *Reservation) bool {
	if a.Extends != b.Extends {
		return a.Extends
	}
	return a.valuePerByte() > b.valuePerByte()
}

func (a *Reservation) valuePerByte() float64 { return a.Value / float64(max(a.Bytes, 1)) }

func (a *Reservation) isLarge() bool { return a.Kind == Requests && a.Bytes >= LargeBytes }

// behind tells whether another that waits would come first and needs the same room. Large asks that wait for their
// own share hold up no small one.
func (l *Ledger) isBehind(a *Reservation) bool {
	for _, o := range l.requests {
		if o.isLarge() == a.isLarge() && !before(a, o) {
			return true
		}
	}
	return len(l.answers) > 0 && a.isLarge() // answers that wait have the next bytes
}

// largest is the most that an ask of its kind can ever be granted.
func (l *Ledger) maxGrant(a *Reservation) int64 {
	switch {
	case a.isLarge():
		return l.largeCapacity()
	case a.Kind == Requests:
		return l.capacity()
	default:
		return l.total
	}
}

func (l *Ledger) largeCapacity() int64 { return int64(maxLargeFraction * float64(l.capacity())) }

func (l *Ledger) fits(a *Reservation) bool {
	if a.Kind != Requests {
		return l.sum()+a.Bytes <= l.total
	}
	free := l.capacity() - l.sum()
	if a.isLarge() {
		// Beside the connections that there are, a part of the room stays for small ones.
		share := int64(maxLargeShare * float64(l.capacity()-l.held[Conns]-l.held[Lists]))
		return a.Bytes <= free && l.large+a.Bytes <= min(share, l.largeCapacity())
	}
	return a.Bytes <= free
}

func (l *Ledger) take(a *Reservation) {
	l.held[a.Kind] += a.Bytes
	if a.isLarge() {
		l.large += a.Bytes
	}
}

// ForceReserve holds bytes whatever is free: what they are for is already there, and is bounded by count elsewhere.
func (l *Ledger) ForceReserve(k Kind, bytes int64) {
	l.held[k] += bytes
	l.updatePressure()
}

// HasRoomForConn tells whether so many bytes can be had for a connection while small jobs still find room.
func (l *Ledger) HasRoomForConn(bytes int64) bool {
	return l.sum()+bytes <= int64(maxConnFraction*float64(l.capacity()))
}

// Release takes bytes back and grants what fits now: answers before new jobs.
func (l *Ledger) Release(now time.Duration, k Kind, bytes int64, large bool) {
	l.held[k] -= bytes
	if large {
		l.large -= bytes
	}
	if k == Requests {
		l.recordRelease(now, bytes)
	}
	l.grantQueued(now)
	l.updatePressure()
}

func (l *Ledger) recordRelease(now time.Duration, bytes int64) {
	gap := max(now-l.rateUpdated, 0)
	l.releaseRate = l.releaseRate*math.Exp(-float64(gap)/float64(rateTimeConstant)) + float64(bytes)/rateTimeConstant.Seconds()
	l.rateUpdated = now
}

func (l *Ledger) grantQueued(now time.Duration) {
	for len(l.answers) > 0 && l.fits(l.answers[0]) {
		l.grant(l.answers[0])
	}
	for i := 0; i < len(l.requests); {
		a := l.requests[i]
		switch {
		case a.Until <= now: // it is about to leave by itself
			i++
		case l.fits(a) && !(a.isLarge() && len(l.answers) > 0):
			l.grant(a)
		case a.isLarge():
			i++ // the small ones behind it do not need its share
		default:
			return
		}
	}
}

func (l *Ledger) grant(a *Reservation) {
	l.dequeue(a)
	l.take(a)
	a.granted()
}

// Cancel ends the waiting of an ask. It tells whether the ask was still waiting: if not, it has been granted or lost.
func (l *Ledger) Cancel(now time.Duration, a *Reservation) bool {
	if !a.waiting {
		return false
	}
	l.dequeue(a)
	l.grantQueued(now) // it may have stood before others
	l.updatePressure()
	return true
}

func (l *Ledger) dequeue(a *Reservation) {
	a.waiting = false
	same := func(o *Reservation) bool { return o == a }
	l.requests = slices.DeleteFunc(l.requests, same)
	l.answers = slices.DeleteFunc(l.answers, same)
}

// RetryAfter is how long one that was refused so many bytes had better stay away: until the jobs that hold the room and
// the asks that wait before it have given back enough at the present rate. 0: nothing is known of the rate.
func (l *Ledger) RetryAfter(now time.Duration, bytes int64) time.Duration {
	rate := l.releaseRate * math.Exp(-float64(max(now-l.rateUpdated, 0))/float64(rateTimeConstant))
	if rate < 1 {
		return 0
	}
	need := l.sum() + bytes - l.capacity()
	if bytes >= LargeBytes {
		need = max(need, l.large+bytes-l.largeCapacity())
	}
	for _, o := range l.requests {
		need += o.Bytes
	}
	return time.Duration(min(float64(max(need, 0))/rate, 60) * float64(time.Second))
}

// weigh sets the degree of pressure.
func (l *Ledger) updatePressure() {
	used := float64(l.sum()) / float64(max(l.capacity(), 1))
	if len(l.requests) > 0 {
		used = max(used, largeAt)
		if !l.requests[len(l.requests)-1].isLarge() || !l.requests[0].isLarge() {
			used = max(used, dearAt)
		}
	}
	at := [pressures]float64{0, trimAt, idleAt, largeAt, dearAt}
	for l.pressure < QueueAll && used >= at[l.pressure+1] {
		l.pressure++
	}
	for l.pressure > NoPressure && used < at[l.pressure]-hysteresis {
		l.pressure--
	}
}

// Resize makes the budget smaller than it was set, or as large again.
func (l *Ledger) Resize(now time.Duration, bytes int64) {
	l.total = min(max(bytes, minTotal), l.size)
	l.grantQueued(now)
	l.updatePressure()
}
