// Package gossip spreads changes of the control state and server lists among the agents, beside the links to the
// control machines: news is passed on to a few neighbours, gaps are found by comparing versions with one of them
// at a time and repaired by digests.
//
// Small news is pushed whole. Of large news only the versions are told, and a neighbour that still lacks it a
// moment later asks for it, so that what control delivers anyway isn't sent thrice. The machine does no I/O and
// reads no clock.
package gossip

import (
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/shuffle"
)

const (
	// Fanout is the number of neighbours that news is passed on to.
	Fanout = 3
	// CompareInterval is the mean time between two comparisons that a member begins.
	CompareInterval = 3 * time.Second

	// pullDelay is how long a member that hears of news waits for it to come by itself, from control.
	pullDelay = 100 * time.Millisecond
	// maxPushSize is the size in bytes up to which news is pushed whole.
	maxPushSize = 1 << 10
)

// View tells the present neighbours.
type View interface{ Neighbours() []shuffle.Neighbour }

// Machine is one agent's part in the gossip. It is not safe for concurrent use.
type Machine struct {
	replica       *Replica
	view          View
	random        *rand.Rand
	started       bool
	nextCompareAt time.Duration
	announced     announcedVersion
	malformed     uint64
}

// New makes the machine that keeps the copy held up to date and passes its news on.
func New(replica *Replica, view View, random *rand.Rand) *Machine {
	return &Machine{replica: replica, view: view, random: random}
}

// Malformed counts the repairs that could not be used.
func (m *Machine) Malformed() uint64 { return m.malformed }

// Step handles one event at the time now of a steady clock.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		return m.tick(now)
	case UpdateReceived:
		return m.applyUpdate(now, "", event)
	case PushRequested:
		return m.receivePush(now, event)
	case PushAnswered:
		m.observeVersion(now, event.To, event.Sequence, event.List)
	case CompareRequested:
		return m.request(now, event)
	case Compared:
		return m.receiveComparison(now, event)
	}
	return nil
}

// asked answers a comparison with what is newer here.
func (m *Machine) request(now time.Duration, request CompareRequested) []Action {
	theirs := request.Digests.GetSequence()
	response := &pb.CompareResponse{Sequence: m.replica.Sequence()}
	if theirs < m.replica.Sequence() {
		m.addMissingState(response, request)
	}
	if CompareVersions(m.replica.ListVersion(), request.List) > 0 {
		response.List = m.replica.List(now)
	}
	m.observeVersion(now, request.From, theirs, request.List)
	return []Action{CompareReply{Response: response}}
}

// take applies news and passes on what was new, not to the neighbour that it came from.
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
		panic("gossip: the sequence of the copy fell")
	}
	if len(applied) == 0 && !repaired && list == nil {
		return nil
	}
	return m.disseminate(from, applied, repaired, list)
}

func (m *Machine) restoreRepair(received UpdateReceived) bool {
	if received.Repair == nil {
		return false
	}
	moved, err := m.replica.Restore(received.Base, received.Repair)
	if err != nil {
		m.malformed++
	}
	return moved
}
