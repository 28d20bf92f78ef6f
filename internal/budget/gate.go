package budget

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// What ends an ask without a grant.
var (
	ErrNoBytes  = errors.New("budget: no bytes in time")
	ErrCanceled = errors.New("budget: the asker has left")
)

// Gate is a ledger that goroutines share. A nil gate grants everything and counts nothing. No call but Enter blocks.
type Gate struct {
	epoch   time.Time
	changed chan struct{} // the degree has changed

	mu       sync.Mutex
	ledger   *Ledger
	notified Pressure // as pressed last told
}

// NewGate makes a gate of so many bytes, at which at most queue asks wait.
func NewGate(bytes int64, queue int) *Gate {
	return &Gate{epoch: time.Now(), changed: make(chan struct{}, 1), ledger: NewLedger(bytes, queue)}
}

// Charge is bytes that are held by one or more. It goes back to the budget with the last of them, once. A nil charge
// holds nothing.
type Charge struct {
	gate    *Gate
	kind    Kind
	bytes   int64
	large   bool
	holders atomic.Int32
}

// Hold adds a holder. Only one who holds it may call it.
func (c *Charge) Hold() {
	if c != nil && c.holders.Add(1) < 2 {
		panic("budget: a charge was held after it was given back")
	}
}

// Release ends the hold of one holder; the last one gives the bytes back.
func (c *Charge) Release() {
	if c == nil {
		return
	}
	switch left := c.holders.Add(-1); {
	case left == 0:
		c.gate.withLedger(func(now time.Duration, l *Ledger) { l.Release(now, c.kind, c.bytes, c.large) })
	case left < 0:
		panic("budget: a charge was given back twice")
	}
}

// Bytes is the size of the charge; 0 of none.
func (c *Charge) Bytes() int64 {
	if c == nil {
		return 0
	}
	return c.bytes
}

func (g *Gate) charge(a *Reservation) *Charge {
	c := &Charge{gate: g, kind: a.Kind, bytes: a.Bytes, large: a.isLarge()}
	c.holders.Store(1)
	return c
}

// do runs something on the ledger and tells of a change of its degree.
func (g *Gate) withLedger(what func(now time.Duration, l *Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	what(time.Since(g.epoch), g.ledger)
	if d := g.ledger.Pressure(); d != g.notified {
		g.notified = d
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}
}

// Reserve asks for bytes and waits for them until a time, or until left is closed.
func (g *Gate) Reserve(a Reservation, until time.Time, left <-chan struct{}) (*Charge, error) {
	if g == nil {
		return nil, nil
	}
	a.Until = until.Sub(g.epoch)
	var reply Decision
	var told chan struct{}
	g.withLedger(func(now time.Duration, l *Ledger) {
		reply = l.Reserve(now, &a, func() { close(told) })
		if reply == Queued {
			told = make(chan struct{})
		}
	})
	switch reply {
	case Granted:
		return g.charge(&a), nil
	case Rejected:
		return nil, ErrNoBytes
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	err := ErrNoBytes
	select {
	case <-told:
	case <-timer.C:
	case <-left:
		err = ErrCanceled
	}
	g.withLedger(func(now time.Duration, l *Ledger) {
		if !l.Cancel(now, &a) && !a.Dropped() {
			err = nil // granted, if only this moment
		}
	})
	if err != nil {
		return nil, err
	}
	return g.charge(&a), nil
}

// ForceReserve holds bytes whatever is free.
func (g *Gate) ForceReserve(k Kind, bytes int64) *Charge {
	if g == nil {
		return nil
	}
	g.withLedger(func(_ time.Duration, l *Ledger) { l.ForceReserve(k, bytes) })
	return g.charge(&Reservation{Kind: k, Bytes: bytes})
}

// HasRoomForConn tells whether there is room for a connection of so many bytes.
func (g *Gate) HasRoomForConn(bytes int64) bool {
	spare := true
	if g != nil {
		g.withLedger(func(_ time.Duration, l *Ledger) { spare = l.HasRoomForConn(bytes) })
	}
	return spare
}

// DropLarge ends the waiting of up to so many large asks, the least worth for their bytes first.
func (g *Gate) DropLarge(most int) {
	g.withLedger(func(_ time.Duration, l *Ledger) {
		for range most {
			if !l.DropLarge() {
				return
			}
		}
	})
}

// RetryAfter is how long one that was refused so many bytes had better stay away; 0: not known.
func (g *Gate) RetryAfter(bytes int64) time.Duration {
	var after time.Duration
	g.withLedger(func(now time.Duration, l *Ledger) { after = l.RetryAfter(now, bytes) })
	return after
}

// PressureChanged receives when the degree of pressure has changed.
func (g *Gate) PressureChanged() <-chan struct{} { return g.changed }

// Resize sets the size, up to that with which the gate was made.
func (g *Gate) Resize(bytes int64) {
	g.withLedger(func(now time.Duration, l *Ledger) { l.Resize(now, bytes) })
}

// State is what a gate holds at a moment, in bytes.
type State struct {
	Pressure Pressure
	Total    int64
	Held     [kinds]int64
	Waiting  int
}

// Sum is the number of bytes held of all kinds.
func (s State) Sum() int64 {
	var all int64
	for _, n := range s.Held {
		all += n
	}
	return all
}

// State tells what is held now.
func (g *Gate) State() State {
	var s State
	if g != nil {
		g.withLedger(func(_ time.Duration, l *Ledger) {
			s = State{Pressure: l.Pressure(), Total: l.Total(), Held: l.held, Waiting: l.Waiting()}
		})
	}
	return s
}
