// Package budget limits the memory that parts of the sidecar use. A Ledger only decides on reservations: it has no I/O,
// clock or goroutine, so that tests and models drive it with times of their own. A Gate shares one ledger among
// goroutines and blocks callers whose reservation is queued.
//
// A budget counts bytes in use. Whoever sets its size must allow for garbage that has not been collected yet.
package budget

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Reasons why a reservation was not granted.
var (
	ErrNoBytes  = errors.New("budget: bytes not available in time")
	ErrCanceled = errors.New("budget: reservation canceled by the caller")
)

// Gate is a ledger that is safe for concurrent use. A nil gate grants everything and counts nothing. Only Reserve
// blocks.
type Gate struct {
	epoch   time.Time
	changed chan struct{} // receives a value when the pressure has changed

	mu       sync.Mutex
	ledger   *Ledger
	notified Pressure // pressure when changed was last sent to
}

// NewGate returns a gate with a budget of bytes and a queue of at most maxQueue reservations for requests.
func NewGate(bytes int64, maxQueue int) *Gate {
	return &Gate{epoch: time.Now(), changed: make(chan struct{}, 1), ledger: NewLedger(bytes, maxQueue)}
}

// Charge is a number of reserved bytes with one or more holders. When the last holder releases it, the bytes return to
// the budget. A nil charge has no bytes.
type Charge struct {
	gate    *Gate
	kind    Kind
	bytes   int64
	large   bool
	holders atomic.Int32
}

// Retain adds a holder of the charge. Only a present holder may call it.
func (c *Charge) Retain() {
	if c != nil && c.holders.Add(1) < 2 {
		panic("budget: Retain of a charge that was already released by all holders")
	}
}

// Release removes a holder.
func (c *Charge) Release() {
	if c == nil {
		return
	}
	switch left := c.holders.Add(-1); {
	case left == 0:
		c.gate.withLedger(func(now time.Duration, l *Ledger) { l.Release(now, c.kind, c.bytes, c.large) })
	case left < 0:
		panic("budget: Release of a charge that was already released by all holders")
	}
}

// Bytes is the size of the charge.
func (c *Charge) Bytes() int64 {
	if c == nil {
		return 0
	}
	return c.bytes
}

// charge returns the charge of a reservation that was granted.
func (g *Gate) charge(r *Reservation) *Charge {
	c := &Charge{gate: g, kind: r.Kind, bytes: r.Bytes, large: r.isLarge()}
	c.holders.Store(1)
	return c
}

// withLedger calls do with the ledger locked, and then notifies PressureChanged if the pressure has changed.
func (g *Gate) withLedger(do func(now time.Duration, l *Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(time.Since(g.epoch), g.ledger)
	if p := g.ledger.Pressure(); p != g.notified {
		g.notified = p
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}
}

// Reserve reserves the bytes of r and blocks until they are granted. It fails with ErrNoBytes if r is rejected or
// dropped, or not granted by until, and with ErrCanceled if canceled is closed before. The charge has one holder, the
// caller.
func (g *Gate) Reserve(r Reservation, until time.Time, canceled <-chan struct{}) (*Charge, error) {
	if g == nil {
		return nil, nil
	}
	r.Until = until.Sub(g.epoch)
	var decision Decision
	var decided chan struct{} // closed when a queued reservation is granted or dropped
	g.withLedger(func(now time.Duration, l *Ledger) {
		decision = l.Reserve(now, &r, func() { close(decided) })
		if decision == Queued {
			decided = make(chan struct{})
		}
	})
	switch decision {
	case Granted:
		return g.charge(&r), nil
	case Rejected:
		return nil, ErrNoBytes
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	err := ErrNoBytes
	select {
	case <-decided:
	case <-timer.C:
	case <-canceled:
		err = ErrCanceled
	}
	g.withLedger(func(now time.Duration, l *Ledger) {
		if !l.Cancel(now, &r) && !r.Dropped() {
			err = nil // granted, possibly after the wait has ended
		}
	})
	if err != nil {
		return nil, err
	}
	return g.charge(&r), nil
}

// ForceReserve reserves bytes for existing objects, whether or not the bytes are free. The charge has one holder.
func (g *Gate) ForceReserve(k Kind, bytes int64) *Charge {
	if g == nil {
		return nil
	}
	g.withLedger(func(_ time.Duration, l *Ledger) { l.ForceReserve(k, bytes) })
	return g.charge(&Reservation{Kind: k, Bytes: bytes})
}

// FitsConn reports whether bytes are free for another connection.
func (g *Gate) FitsConn(bytes int64) bool {
	fits := true
	if g != nil {
		g.withLedger(func(_ time.Duration, l *Ledger) { fits = l.FitsConn(bytes) })
	}
	return fits
}

// DropLarge drops up to n large requests from the queue, those of the least value per byte first.
func (g *Gate) DropLarge(n int) {
	g.withLedger(func(_ time.Duration, l *Ledger) {
		for range n {
			if !l.DropLarge() {
				return
			}
		}
	})
}

// RetryAfter is the time after which a rejected request for bytes should be retried; 0: not known.
func (g *Gate) RetryAfter(bytes int64) time.Duration {
	var after time.Duration
	g.withLedger(func(now time.Duration, l *Ledger) { after = l.RetryAfter(now, bytes) })
	return after
}

// PressureChanged returns a channel that receives a value when the pressure has changed. State returns the pressure.
func (g *Gate) PressureChanged() <-chan struct{} { return g.changed }

// Resize sets the size of the budget in bytes, at most the size given to NewGate.
func (g *Gate) Resize(bytes int64) {
	g.withLedger(func(now time.Duration, l *Ledger) { l.Resize(now, bytes) })
}

// State is a snapshot of a gate. Total and Reserved are in bytes.
type State struct {
	Pressure Pressure
	Total    int64
	Reserved [numKinds]int64
	Waiting  int // number of queued reservations
}

// Sum is the number of bytes reserved for all kinds.
func (s State) Sum() int64 {
	var all int64
	for _, n := range s.Reserved {
		all += n
	}
	return all
}

// State returns the present state; of a nil gate, the zero State.
func (g *Gate) State() State {
	var s State
	if g != nil {
		g.withLedger(func(_ time.Duration, l *Ledger) {
			s = State{Pressure: l.Pressure(), Total: l.Total(), Reserved: l.reserved, Waiting: l.Waiting()}
		})
	}
	return s
}
