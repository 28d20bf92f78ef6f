package budget

import "time"

// Kind is the use of reserved bytes.
type Kind uint8

// The kinds of use.
const (
	Conns    Kind = iota
	Requests      // bytes for bodies and state of admitted requests
	Answers
	Lists
	numKinds // number of kinds
)

// String returns the name that operators see.
func (k Kind) String() string { return [numKinds]string{"conns", "jobs", "answers", "lists"}[k] }

// LargeBytes is the least size in bytes of a large reservation for a request.
const LargeBytes = 8 << 10

// Reservation is a request to reserve bytes. The ledger owns the unexported fields.
type Reservation struct {
	Kind    Kind
	Bytes   int64
	Value   float64       // value of the request; the queue is ordered by value per byte; used for Requests only
	Until   time.Duration // end of the wait, on the ledger's clock
	Extends bool          // the request has reserved bytes already, so it precedes new requests

	granted func() // called when the reservation is granted or dropped, on the goroutine that caused this
	waiting bool
}

// Decision is the decision of a ledger on a reservation.
type Decision uint8

// The decisions. After Queued, either granted is called once or Cancel ends the wait.
const (
	Granted Decision = iota
	Queued
	Rejected
)

// Dropped reports whether a reservation whose granted was called has been dropped instead of granted.
func (r *Reservation) Dropped() bool { return r.Until == 0 }

// before reports whether r precedes o in the queue: extensions come first, then requests of more value per byte.
func before(r, o *Reservation) bool {
	if r.Extends != o.Extends {
		return r.Extends
	}
	return r.valuePerByte() > o.valuePerByte()
}

func (r *Reservation) valuePerByte() float64 { return r.Value / float64(max(r.Bytes, 1)) }

func (r *Reservation) isLarge() bool { return r.Kind == Requests && r.Bytes >= LargeBytes }
