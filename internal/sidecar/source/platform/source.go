// Package platform obtains the server list from the platform's discovery service, or from the agent that pushes it: an
// actor that keeps one watch open when it is requested, and notifies a sink of each change and of each loss of the watch.
// It does not store the list, and does not decide when to watch again, except after KeepWatching. The protocol is that of
// the platform's page PROTOCOL; the form of the entries is in package endpoints.
package platform

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/mailbox"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/source/endpoints"
)

// Sink is notified of what discovery says. No call may block.
type Sink interface {
	// UpdateMembers is the list or a change to it.
	UpdateMembers(relay.Members)
	// ListLost is that the watch failed or broke off. A change that is missed counts as notified at a time.
	ListLost(notifiedAt time.Time)
}

// Discovery writes an empty line every two seconds if nothing changes, so a watch without a line for longer is lost. What
// it missed counts as notified six seconds after its last line; what a move to another address leaves out, after four
// (PROTOCOL, LATER). A call that fails proves only that discovery could not be reached when it began: from then on, too, a
// change counts as notified after six seconds. By the time that a call which hangs is given up, dialTimeout and
// idleTimeout of those have passed; of the rest, the module and KeepWatching wait for less than half.
const (
	idleTimeout       = 2500 * time.Millisecond
	notifiedAfterLoss = 6 * time.Second
	notifiedAfterMove = 4 * time.Second
	dialTimeout       = time.Second
	maxObjectBytes    = 1 << 20
)

// Bounds of the backoff of a watch that is kept open.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Charges of an entry to the byte budget.
const (
	readBytes        = 512     // while its list is read and applied
	listedBytes      = 1 << 10 // while it is listed, with what the relay and the module store of it
	entriesPerCharge = 64      // entries being read that are charged at a time
)

// Actor is the source of the server list. Its methods may be called from any goroutine.
type Actor struct {
	log     zerolog.Logger
	sink    Sink
	mailbox *mailbox.Mailbox
	gate    *budget.Gate // nil: bytes are not counted

	// What follows belongs to the actor.

	addr       string
	generation uint64            // of the list as last notified; 0: discovery's count is not known
	ids        map[string]uint64 // of each listed server, by name
	usedIDs    map[uint64]bool
	charge     *budget.Charge // for the listed entries
	watch      *stream        // the present one, or nil
	notifiedAt time.Time      // when what is missed since the last watch counts as notified
	persistent bool           // a watch is kept open without being requested
	backoff    time.Duration  // longest wait before the next attempt of that
}

// New returns a source that watches at an address, host:port.
func New(addr string, sink Sink, gate *budget.Gate, log zerolog.Logger) *Actor {
	return &Actor{log: log, gate: gate, addr: addr, sink: sink, mailbox: mailbox.New(),
		ids: map[string]uint64{}, usedIDs: map[uint64]bool{}}
}

// Start runs the actor and notifies the sink of the stored list.
func (a *Actor) Start(stored endpoints.List) {
	go a.mailbox.Run()
	a.mailbox.Put(func() { a.update(stored, true) })
}

// KeepWatching keeps a watch open from now on without Watch, for lists that the agent pushes. What the agent has counts as
// notified at once, so neither the first call nor the one after a loss waits. The agent is this sidecar's own, so its calls
// keep nobody else waiting.
func (a *Actor) KeepWatching() {
	a.mailbox.Put(func() {
		a.persistent, a.backoff = true, minBackoff
		a.open()
	})
}

// reopen opens the watch again after a wait with jitter, whose bound doubles until a watch brings something.
func (a *Actor) reopen() {
	wait := rand.N(a.backoff)
	a.backoff = min(2*a.backoff, maxBackoff)
	time.AfterFunc(wait, func() {
		a.mailbox.Put(func() {
			if a.persistent && a.watch == nil {
				a.open()
			}
		})
	})
}

// Watch opens a watch, in place of the present one.
func (a *Actor) Watch() { a.mailbox.Put(a.open) }

func (a *Actor) open() {
	if a.watch != nil {
		a.watch.close()
	}
	s := newStream(a.addr, a.generation)
	a.watch = s
	go a.follow(s)
}

// SetAddr watches at another address from now on, since the old one may say nothing more. Generations there may be counted
// in another way, so that changes since an old one would leave out what it never saw: the whole list is requested.
func (a *Actor) SetAddr(addr string) {
	a.mailbox.Put(func() {
		if addr != a.addr {
			a.addr, a.generation, a.notifiedAt = addr, 0, time.Now().Add(notifiedAfterMove)
			a.open()
		}
	})
}

// Close ends the watch and the actor.
func (a *Actor) Close() {
	a.mailbox.Put(func() {
		a.persistent = false
		if a.watch != nil {
			a.watch.close()
			a.watch = nil
		}
		a.charge.Release()
		a.charge = nil
	})
	a.mailbox.Close()
}

// follow reads a watch to its end, on a goroutine of its own.
func (a *Actor) follow(s *stream) {
	reading := &readCharges{gate: a.gate}
	s.onEntry = reading.add
	requested := time.Now()
	begun := false // belongs to the actor
	err := s.run(func(l endpoints.List) {
		charges := reading.take()
		accepted := a.mailbox.Put(func() {
			if a.watch == s {
				if !begun {
					begun, a.notifiedAt, a.backoff = true, time.Time{}, minBackoff
					a.log.Info().Dur("waited", time.Since(requested)).Msg("watch begun")
				}
				a.update(l, false)
			}
			charges.release()
		})
		if !accepted {
			charges.release()
		}
	})
	reading.release()
	a.mailbox.Put(func() {
		if a.watch == s {
			a.log.Warn().Err(err).Dur("lasted", time.Since(requested)).Msg("watch lost")
			a.onLost(s)
		}
	})
}

// onLost notifies the sink that the present watch is lost.
func (a *Actor) onLost(s *stream) {
	a.watch = nil
	// What was missed by an earlier loss or a move counts as notified by then, and what this one misses from then on.
	if !a.notifiedAt.After(time.Now()) {
		a.notifiedAt = s.lastLineAt.Add(notifiedAfterLoss)
	}
	a.sink.ListLost(a.notifiedAt)
	if a.persistent {
		a.reopen()
	}
}

// readCharges are the charges of the entries that are being read. A list cannot wait for bytes, since what it has as
// draining must be left at once: it takes what it needs, and admission is closed meanwhile.
type readCharges struct {
	gate    *budget.Gate
	entries int
	charges []*budget.Charge
}

// add charges one more entry.
func (r *readCharges) add() {
	if r.entries++; r.entries%entriesPerCharge == 1 {
		r.charges = append(r.charges, r.gate.ForceReserve(budget.Lists, entriesPerCharge*readBytes))
	}
}

// take returns the charges so far as ones of their own, and begins anew.
func (r *readCharges) take() *readCharges {
	taken := *r
	r.entries, r.charges = 0, nil
	return &taken
}

func (r *readCharges) release() {
	for _, c := range r.charges {
		c.Release()
	}
	r.charges = nil
}
