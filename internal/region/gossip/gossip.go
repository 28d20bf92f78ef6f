// Package gossip disseminates the control state and the platform's server list among the agents, in addition to the
// agents' links to the control machines. It uses epidemic algorithms (Demers et al., "Epidemic Algorithms for
// Replicated Database Maintenance", 1987):
//
//   - Rumor mongering: an agent that applies a small update immediately pushes it to a few neighbours. It announces a
//     large update by version only, and a neighbour that still lacks the update after a short delay pulls it, so that an
//     update that control delivers anyway is not sent three times.
//   - Anti-entropy: from time to time an agent compares versions with a random neighbour, and pulls the state that it
//     lacks: changes if the neighbour's history reaches back far enough, else a repair of the ranges whose digests differ.
//
// Replica is the replicated state, Machine the protocol. Neither validates updates: sequences and list versions are
// assigned by the control machines, and the versions of a replica never decrease. The package does no I/O, reads no
// clock and starts no goroutine. docs/region/config-delivery.md gives the resulting delays.
package gossip

import (
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

const (
	// Fanout is the number of neighbours that an update is forwarded to. With a smaller fanout more agents get an
	// update only by anti-entropy; with a larger one each agent receives more copies.
	Fanout = 3

	// CompareInterval is the mean time between two comparisons that an agent starts. It bounds the time for which
	// an agent that no push reaches keeps lagging.
	CompareInterval = 3 * time.Second

	// pullDelay is the time for which an agent waits for an announced update from control before it pulls the update
	// from the neighbour.
	pullDelay = 100 * time.Millisecond

	// maxPushSize is the maximum size in bytes of an update that is pushed; a larger update is announced.
	maxPushSize = 1 << 10
)

// View is the source of the present neighbours. shuffle.View implements it.
type View interface {
	// Neighbours returns the present neighbours. The result is valid until the view changes and must not be modified.
	Neighbours() []shuffle.Neighbour
}

// Machine is the state machine of one agent in the gossip protocol: Step takes an event and returns the actions that
// the caller has to execute. It is not safe for concurrent use.
type Machine struct {
	replica          *Replica
	view             View
	random           *rand.Rand
	started          bool          // the first Tick was handled
	nextCompareAt    time.Duration // time of the next comparison with a random neighbour
	announced        announcedVersion
	malformedRepairs uint64 // number of repairs that could not be used
}

// New returns a machine that keeps the replica up to date and forwards new updates. The caller may read the replica
// between steps.
func New(replica *Replica, view View, random *rand.Rand) *Machine {
	return &Machine{replica: replica, view: view, random: random}
}

// MalformedRepairs returns the number of repairs that could not be used.
func (m *Machine) MalformedRepairs() uint64 { return m.malformedRepairs }

// Step handles an event at the time now of a monotonic clock, and returns the actions that follow from it, in order.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		return m.tick(now)
	case UpdateReceived:
		return m.applyUpdate(now, "", event)
	case PushRequested:
		return m.answerPush(now, event)
	case PushAnswered:
		m.observeVersion(now, event.To, event.Sequence, event.List)
	case CompareRequested:
		return m.answerCompare(now, event)
	case CompareAnswered:
		return m.finishCompare(now, event)
	}
	return nil
}

// applyUpdate applies an update and forwards its new parts to neighbours other than the host from.
func (m *Machine) applyUpdate(now time.Duration, from string, received UpdateReceived) []Action {
	before := m.replica.Sequence()
	repaired := m.restoreRepair(received)
	applied := m.replica.ApplyChanges(received.Changes)
	m.replica.AddCompressed(received.Compressed)
	var list *pb.ServerList
	if m.replica.OfferList(now, received.List) == ListChanged {
		list = m.replica.List(now)
	}
	if m.replica.Sequence() < before {
		panic("gossip: the sequence of the replica decreased")
	}
	if len(applied) == 0 && !repaired && list == nil {
		return nil
	}
	return m.disseminate(from, applied, repaired, list)
}

// restoreRepair applies the repair of an update, if there is one, and reports whether it advanced the replica.
func (m *Machine) restoreRepair(received UpdateReceived) bool {
	if received.Repair == nil {
		return false
	}
	advanced, err := m.replica.Restore(received.Base, received.Repair)
	if err != nil {
		m.malformedRepairs++
	}
	return advanced
}
