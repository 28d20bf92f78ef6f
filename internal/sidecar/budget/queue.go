package budget

import (
	"slices"
	"time"
)

// enqueue inserts r into the queue of requests. If this exceeds the bound of the queue, the last request is dropped; if
// that is r itself, it is rejected.
func (l *Ledger) enqueue(r *Reservation) Decision {
	at, _ := slices.BinarySearchFunc(l.requests, r, func(o, r *Reservation) int {
		if before(r, o) {
			return 1
		}
		return -1 // insert r after all requests of equal rank
	})
	l.requests = slices.Insert(l.requests, at, r)
	if len(l.requests) <= l.maxQueue {
		return Queued
	}
	if l.requests[len(l.requests)-1] != r {
		l.DropLarge()
		return Queued
	}
	l.dequeue(r)
	return Rejected
}

// DropLarge drops the queued large request with the least value per byte, or, if the queue exceeds its bound, the last
// request. It reports whether there was such a request.
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

// Cancel removes r from the queue. It reports whether r was still queued; otherwise r has been granted or dropped.
func (l *Ledger) Cancel(now time.Duration, r *Reservation) bool {
	if !r.waiting {
		return false
	}
	l.dequeue(r)
	l.grantQueued(now) // r may have delayed other reservations
	l.updatePressure()
	return true
}

// grantQueued grants the queued reservations that fit now, in their order.
func (l *Ledger) grantQueued(now time.Duration) {
	for len(l.answers) > 0 && l.fits(l.answers[0]) {
		l.grant(l.answers[0])
	}
	for i := 0; i < len(l.requests); {
		r := l.requests[i]
		switch {
		case r.Until <= now: // Gate.Reserve is about to cancel r
			i++
		case l.fits(r) && (!r.isLarge() || len(l.answers) == 0):
			l.grant(r)
		case r.isLarge():
			i++ // small requests behind r do not need the bytes that large ones may use
		default:
			return
		}
	}
}

// grant grants a queued reservation.
func (l *Ledger) grant(r *Reservation) {
	l.dequeue(r)
	l.take(r)
	r.granted()
}

// dequeue removes r from the queues.
func (l *Ledger) dequeue(r *Reservation) {
	r.waiting = false
	same := func(o *Reservation) bool { return o == r }
	l.requests = slices.DeleteFunc(l.requests, same)
	l.answers = slices.DeleteFunc(l.answers, same)
}
