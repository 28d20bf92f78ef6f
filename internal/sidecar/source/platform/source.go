// Package platform obtains the server list from the platform's discovery service, or from the agent that pushes it: an
// actor that keeps one watch open when it is requested, and notifies a sink of each change and of each loss of the watch.
// It does not store the list, and does not decide when to watch again, except after KeepWatching. The protocol is described
// on the platform's page PROTOCOL; package endpoints decodes the entries.
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

// Sink is notified of the lists that discovery sends. No call may block.
type Sink interface {
	// UpdateMembers reports the list or a change to it.
	UpdateMembers(relay.Members)
	// ListLost reports that the watch could not be opened or was lost. A change that is missed meanwhile counts as notified
	// at notifiedAt.
	ListLost(notifiedAt time.Time)
}

// Discovery writes an empty line every two seconds if nothing changes, so a watch on which no line arrives for longer is
// lost. A change that a lost watch missed counts as notified six seconds after the last line of the watch; a change missed by
// a move to another address counts as notified four seconds after the move (PROTOCOL, LATER). A call that fails proves only
// that discovery could not be reached when the call began: a change after that, too, counts as notified after six seconds. A
// call that hangs is abandoned after dialTimeout and idleTimeout of these six seconds; the decision module and KeepWatching
// wait for less than half of the rest.
const (
	idleTimeout       = 2500 * time.Millisecond
	notifiedAfterLoss = 6 * time.Second
	notifiedAfterMove = 4 * time.Second
	dialTimeout       = time.Second
	maxObjectBytes    = 1 << 20
)

// Bounds of the backoff between attempts to reopen a persistent watch.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Charges of an entry to the byte budget.
const (
	readBytes        = 512     // charge of an entry while its list is read and applied
	listedBytes      = 1 << 10 // charge of a listed entry, including what the relay and the decision module store for it
	entriesPerCharge = 64      // number of entries charged at once while a list is read
)

// Actor is the source of the server list. Its methods may be called from any goroutine.
type Actor struct {
	log     zerolog.Logger
	sink    Sink
	mailbox *mailbox.Mailbox
	gate    *budget.Gate // nil: bytes are not counted

	// The fields below are owned by the actor's goroutine.

	addr       string
	generation uint64            // generation of the list last passed to the sink; 0: none known at this address
	ids        map[string]uint64 // id of each listed server, by name
	usedIDs    map[uint64]bool
	charge     *budget.Charge // charge for the listed entries
	watch      *stream        // present watch, or nil
	notifiedAt time.Time      // time at which changes missed since the last watch count as notified
	persistent bool           // the actor keeps a watch open without Watch being called
	backoff    time.Duration  // longest wait before the next attempt to open a persistent watch
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

// KeepWatching keeps a watch open from now on without calls of Watch, for lists that the agent pushes. A change that the agent
// has received counts as notified at once, so the first call is made at once, and the first one after a loss within minBackoff.
// The agent serves this sidecar alone, so frequent calls delay nobody else.
func (a *Actor) KeepWatching() {
	a.mailbox.Put(func() {
		a.persistent, a.backoff = true, minBackoff
		a.open()
	})
}

// reopen opens the watch again after a wait with full jitter, whose bound doubles until a watch delivers a list.
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

// SetAddr watches at another address from now on, since the previous one may send no more changes. The new address may number
// generations differently, so that changes after a generation of the previous address could be incomplete: the whole list is
// requested.
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

// follow reads a watch until it ends. It runs on its own goroutine.
func (a *Actor) follow(s *stream) {
	reading := &readCharges{gate: a.gate}
	s.onEntry = reading.add
	requested := time.Now()
	begun := false // owned by the actor's goroutine
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
	// If an earlier loss or a move has set notifiedAt to a time in the future, it stands; otherwise changes missed by this loss
	// set it.
	if !a.notifiedAt.After(time.Now()) {
		a.notifiedAt = s.lastLineAt.Add(notifiedAfterLoss)
	}
	a.sink.ListLost(a.notifiedAt)
	if a.persistent {
		a.reopen()
	}
}

// readCharges holds the charges for the entries of a list that is being read. Reading a list does not wait for free bytes,
// since servers that it lists as draining must get no more requests at once: it reserves what it needs, and admission is closed
// meanwhile.
type readCharges struct {
	gate    *budget.Gate
	entries int
	charges []*budget.Charge
}

// add counts an entry, and reserves bytes for entriesPerCharge entries at the first of each group.
func (r *readCharges) add() {
	if r.entries++; r.entries%entriesPerCharge == 1 {
		r.charges = append(r.charges, r.gate.ForceReserve(budget.Lists, entriesPerCharge*readBytes))
	}
}

// take returns the charges so far, to be released separately, and resets r.
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
