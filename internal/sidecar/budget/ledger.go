package budget

import (
	"math"
	"slices"
	"time"
)

// Fractions of the budget.
const (
	// reservedFraction of the budget is reserved for answers and lists, so that admitted requests can be answered even while no
	// further requests are admitted.
	reservedFraction = 0.2
	// maxLargeFraction is the fraction of the capacity that large reservations may use, and maxLargeAvailableFraction the
	// fraction that they may use of the capacity without the bytes of connections and lists. The rest is for small
	// reservations, which are most of the traffic and need little, and for new connections.
	maxLargeFraction, maxLargeAvailableFraction = 0.45, 0.75
	maxConnFraction                             = 0.9 // fraction of the capacity that may be in use after a connection is accepted
)

const (
	minTotal         = 512 << 10       // least size of a budget in bytes
	rateTimeConstant = 2 * time.Second // time constant of the aged rate at which requests release bytes
)

// Ledger counts the reserved bytes and decides on reservations. It is not safe for concurrent use. The caller passes
// times of a monotonic clock.
type Ledger struct {
	size     int64 // configured size of the budget in bytes
	total    int64 // present size of the budget in bytes, at most size; see Resize
	reserved [numKinds]int64
	large    int64          // bytes of large reservations, included in reserved[Requests]
	requests []*Reservation // queued reservations for requests, in the order of function before
	maxQueue int            // bound on the length of requests
	answers  []*Reservation // queued reservations for answers and lists, in order of arrival
	pressure Pressure

	releaseRate float64 // bytes per second that requests release, aged as of rateUpdated
	rateUpdated time.Duration
}

// NewLedger returns a ledger of bytes with a queue of at most maxQueue reservations for requests.
func NewLedger(bytes int64, maxQueue int) *Ledger {
	bytes = max(bytes, minTotal)
	return &Ledger{size: bytes, total: bytes, maxQueue: maxQueue}
}

// Reserved is the number of bytes reserved for a kind.
func (l *Ledger) Reserved(k Kind) int64 { return l.reserved[k] }

// Total is the present size of the budget in bytes.
func (l *Ledger) Total() int64 { return l.total }

// Pressure is the present level of pressure.
func (l *Ledger) Pressure() Pressure { return l.pressure }

// Waiting is the number of queued reservations.
func (l *Ledger) Waiting() int { return len(l.requests) + len(l.answers) }

func (l *Ledger) sum() int64 {
	var all int64
	for _, n := range l.reserved {
		all += n
	}
	return all
}

// capacity is the bytes that requests and connections may use together: the budget without reservedFraction.
func (l *Ledger) capacity() int64 { return int64((1 - reservedFraction) * float64(l.total)) }

// largeCapacity is the bytes that large reservations may use.
func (l *Ledger) largeCapacity() int64 { return int64(maxLargeFraction * float64(l.capacity())) }

// maxGrant is the largest size at which a reservation of r's kind, large or not, can ever be granted.
func (l *Ledger) maxGrant(r *Reservation) int64 {
	switch {
	case r.isLarge():
		return l.largeCapacity()
	case r.Kind == Requests:
		return l.capacity()
	default:
		return l.total
	}
}

// fits reports whether the bytes for r are free now.
func (l *Ledger) fits(r *Reservation) bool {
	if r.Kind != Requests {
		return l.sum()+r.Bytes <= l.total
	}
	free := l.capacity() - l.sum()
	if r.isLarge() {
		available := int64(maxLargeAvailableFraction * float64(l.capacity()-l.reserved[Conns]-l.reserved[Lists]))
		return r.Bytes <= free && l.large+r.Bytes <= min(available, l.largeCapacity())
	}
	return r.Bytes <= free
}

// FitsConn reports whether a connection can use bytes while enough of the capacity stays free for small requests.
func (l *Ledger) FitsConn(bytes int64) bool {
	return l.sum()+bytes <= int64(maxConnFraction*float64(l.capacity()))
}

// Reserve grants r, rejects it, or queues it until it is granted, dropped or canceled. granted is called when a queued
// reservation is granted or dropped.
func (l *Ledger) Reserve(now time.Duration, r *Reservation, granted func()) Decision {
	defer l.updatePressure()
	if l.fits(r) && (r.Kind != Requests || !l.isBehind(r)) {
		l.take(r)
		return Granted
	}
	if r.Until <= now || r.Bytes > l.maxGrant(r) {
		return Rejected
	}
	r.granted, r.waiting = granted, true
	if r.Kind != Requests {
		l.answers = append(l.answers, r)
		return Queued
	}
	return l.enqueue(r)
}

// ForceReserve reserves bytes whether or not they are free. It is for objects that exist already and whose number is
// bounded elsewhere.
func (l *Ledger) ForceReserve(k Kind, bytes int64) {
	l.reserved[k] += bytes
	l.updatePressure()
}

// take reserves the bytes of r.
func (l *Ledger) take(r *Reservation) {
	l.reserved[r.Kind] += r.Bytes
	if r.isLarge() {
		l.large += r.Bytes
	}
}

// Release returns the bytes of a reservation, and grants queued reservations that fit now, answers before requests.
// large tells whether the reservation was large.
func (l *Ledger) Release(now time.Duration, k Kind, bytes int64, large bool) {
	l.reserved[k] -= bytes
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
	aged := l.releaseRate * math.Exp(-float64(gap)/float64(rateTimeConstant))
	l.releaseRate = aged + float64(bytes)/rateTimeConstant.Seconds()
	l.rateUpdated = now
}

// RetryAfter is the time after which a rejected request for bytes should be retried: when enough reserved bytes for it
// and for the queue will have been released at the present rate, at most a minute. 0: the rate is not known.
func (l *Ledger) RetryAfter(now time.Duration, bytes int64) time.Duration {
	rate := l.releaseRate * math.Exp(-float64(max(now-l.rateUpdated, 0))/float64(rateTimeConstant))
	if rate < 1 {
		return 0
	}
	need := l.sum() + bytes - l.capacity()
	if bytes >= LargeBytes {
		need = max(need, l.large+bytes-l.largeCapacity())
	}
	for _, r := range l.requests {
		need += r.Bytes
	}
	return time.Duration(min(float64(max(need, 0))/rate, 60) * float64(time.Second))
}

// Resize sets the size of the budget, at most the size given to NewLedger. Callers reduce it while the size proves too
// large for the memory in use.
func (l *Ledger) Resize(now time.Duration, bytes int64) {
	l.total = min(max(bytes, minTotal), l.size)
	l.grantQueued(now)
	l.updatePressure()
}

// isBehind reports whether r must wait for a queued reservation that is to be granted first. Large requests do not delay
// small ones: they wait for the bytes that large reservations may use.
func (l *Ledger) isBehind(r *Reservation) bool {
	behind := func(o *Reservation) bool { return o.isLarge() == r.isLarge() && !before(r, o) }
	return slices.ContainsFunc(l.requests, behind) || len(l.answers) > 0 && r.isLarge() // answers come first
}
