// Package platform learns of the execute nodes from discovery: an actor that
// keeps one watch open when it is asked to, and tells of each change and of
// each loss.
package platform

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/mailbox"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/source/endpoints"
	"fieldrelay/logic"
)

// Sink is told what discovery says. No call may block.
type Sink interface {
	UpdateMembers(relay.Members)
	ListLost(told time.Time) // told: when what is missed counts as told
}

// Discovery writes an empty line every two seconds when nothing changes: a watch silent for longer is lost. What it missed
// counts as told six seconds after it fell silent, which was after its last line; what a move to another address
// leaves out, after four (PROTOCOL, LATER). A call that fails proves no more than that discovery could not be reached when
// it began: from then on, too, a change counts as told after six seconds. Until a call that hangs is given up, dialing and
// silence of those are over; of what is left then, the module and the kept watch take less than half for their wait.
const (
	silenceTimeout    = 2500 * time.Millisecond
	notifiedAfterLoss = 6 * time.Second
	notifiedAfterMove = 4 * time.Second
	dialTimeout       = time.Second
	maxObjectBytes    = 1 << 20

	minBackoff = 20 * time.Millisecond // of a kept watch
	maxBackoff = 500 * time.Millisecond
)

// What an entry is charged: while its list is read and told, and for as long as it is listed, with what the relay and
// the module keep of it.
const (
	readBytes        = 512
	listedBytes      = 1 << 10
	entriesPerCharge = 64 // entries that are charged at a time
)

// Actor is the actor of the list.
type Actor struct {
	log     zerolog.Logger
	sink    Sink
	mailbox *mailbox.Mailbox
	gate    *budget.Gate

	// What follows belongs to the actor.
	addr       string
	generation uint64            // 0: nothing is known of what discovery counts
	ids        map[string]uint64 // of every instance that is listed
	usedIDs    map[uint64]bool
	watch      *stream        // the present one, or nil
	notifiedAt time.Time      // what is missed since the last watch counts as told then
	charge     *budget.Charge // for the instances
	persistent bool           // a watch is kept open without being asked for
	backoff    time.Duration  // the longest wait before the next try of that
}

// New makes the actor of the list.
func New(addr string, sink Sink, gate *budget.Gate, log zerolog.Logger) *Actor {
	return &Actor{log: log, gate: gate, addr: addr, sink: sink, mailbox: mailbox.New(),
		ids: map[string]uint64{}, usedIDs: map[uint64]bool{}}
}

// Start lets the actor run, from the stored list.
func (a *Actor) Start(known endpoints.List) {
	go a.mailbox.Run()
	a.mailbox.Put(func() { a.update(known, true) })
}

// KeepWatching keeps a watch open from now on without being asked, for lists that are pushed: what the agent has counts as told at
// once, so the first call and the one after a loss do not wait. The agent is this sidecar's own, and nobody else is kept
// waiting by calls.
func (a *Actor) KeepWatching() {
	a.mailbox.Put(func() {
		a.persistent, a.backoff = true, minBackoff
		a.open()
	})
}

// reopen opens the kept watch again after a wait that doubles while nothing comes of it.
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

// Watch opens a watch, in place of the one that is open.
func (a *Actor) Watch() { a.mailbox.Put(a.open) }

func (a *Actor) open() {
	if a.watch != nil {
		a.watch.close()
	}
	s := newStream(a.addr, a.generation)
	a.watch = s
	go a.follow(s)
}

// SetAddr turns to discovery at another address, at once: the old one may tell nothing more. The new one may count
// its generations in its own way, so that the changes since an old one would leave out what it never saw: the
// whole list is asked for.
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
	// A list cannot wait: what it calls drained must be left at once. It takes what it needs, and the door is shut
	// meanwhile.
	var read []*budget.Charge
	free := func(charges []*budget.Charge) {
		for _, c := range charges {
			c.Release()
		}
	}
	entries, asked := 0, time.Now()
	begun := false // belongs to the actor
	s.onEntry = func() {
		if entries++; entries%entriesPerCharge == 1 {
			read = append(read, a.gate.Must(budget.Lists, entriesPerCharge*readBytes))
		}
	}
	err := s.run(func(l endpoints.List) {
		charges := read
		read, entries = nil, 0
		if !a.mailbox.Put(func() {
			if a.watch == s {
				if !begun {
					begun, a.notifiedAt, a.backoff = true, time.Time{}, minBackoff
					a.log.Info().Dur("waited", time.Since(asked)).Msg("watch begun")
				}
				a.update(l, false)
			}
			free(charges)
		}) {
			free(charges)
		}
	})
	free(read)
	a.mailbox.Put(func() {
		if a.watch == s {
			a.watch = nil
			// What an earlier loss or a move has told counts until then, and this one's from then on.
			if !a.notifiedAt.After(time.Now()) {
				a.notifiedAt = s.lastLine.Add(notifiedAfterLoss)
			}
			a.log.Warn().Err(err).Dur("lasted", time.Since(asked)).Msg("watch lost")
			a.sink.ListLost(a.notifiedAt)
			if a.persistent {
				a.reopen()
			}
		}
	})
}

func (a *Actor) update(l endpoints.List, stored bool) {
	a.generation = l.Generation
	m := relay.Members{Complete: l.Reset || stored, Stored: stored, Members: make([]relay.Member, 0, len(l.Instances))}
	now := time.Now()
	before := a.ids
	if m.Complete {
		a.ids, a.usedIDs = make(map[string]uint64, len(l.Instances)), make(map[uint64]bool, len(l.Instances))
		for _, e := range l.Instances {
			if id, ok := before[e.ID]; ok {
				a.ids[e.ID], a.usedIDs[id] = id, true
			}
		}
	}
	for _, e := range l.Instances {
		entry := relay.Member{Name: e.ID, Addr: e.Addr, ListedAt: now}
		entry.ID, entry.Zone, entry.Cell = a.idOf(e.ID), e.Zone, e.Cell
		entry.State, entry.Since = e.State, e.Started
		m.Members = append(m.Members, entry)
		if e.State == logic.Gone { // named again, it gets the same number
			delete(a.ids, e.ID)
			delete(a.usedIDs, entry.ID)
		}
	}
	kept := a.gate.Must(budget.Lists, int64(len(a.ids)*listedBytes))
	a.charge.Release()
	a.charge = kept
	a.sink.UpdateMembers(m)
}

// id gives an instance the number by which the module knows it: from a hash, so that it is the same after a
// restart, and the next free one should two names meet.
func (a *Actor) idOf(name string) uint64 {
	if id, ok := a.ids[name]; ok {
		return id
	}
	h := fnv.New64a()
	io.WriteString(h, name)
	id := h.Sum64()
	for a.usedIDs[id] {
		id++
	}
	a.ids[name], a.usedIDs[id] = id, true
	return id
}
