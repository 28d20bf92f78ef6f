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

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
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

// Event is something that a Machine is told.
type Event interface{ isEvent() }

// Tick tells that time has passed. Ticks should come a few times a second.
type Tick struct{}

// UpdateReceived is news from outside the gossip: from a control machine.
type UpdateReceived struct {
	Changes    []*pb.Change
	Base       *catalog.Snapshot // whose digests Repair answers; nil: of nothing
	Repair     *pb.Repair
	Compressed *pb.PackedNews // that Changes or Repair were unpacked from, to be passed on; nil: they came as they are
	List       *pb.ServerList
}

// PushRequested is a neighbour's push; it is answered by a PushReply.
type PushRequested struct {
	From    shuffle.Neighbour
	Changes []*pb.Change
	List    *pb.ServerList
}

// PushAnswered is the answer to a Push.
type PushAnswered struct {
	To       shuffle.Neighbour
	Sequence uint64
	List     *pb.ListVersion
}

// CompareRequested is a neighbour's comparison; it is answered by a CompareReply.
type CompareRequested struct {
	From              shuffle.Neighbour
	Digests           *pb.RangeDigests
	List              *pb.ListVersion
	AcceptsCompressed bool // the answer may carry packed news
}

// Compared is the answer to a Compare.
type Compared struct {
	Request  Compare
	Response *pb.CompareResponse
}

func (Tick) isEvent()             {}
func (UpdateReceived) isEvent()   {}
func (PushRequested) isEvent()    {}
func (PushAnswered) isEvent()     {}
func (CompareRequested) isEvent() {}
func (Compared) isEvent()         {}

// Action is something that the caller of Step has to do.
type Action interface{ isAction() }

// Push sends news to a neighbour. Its answer comes back as PushAnswered.
type Push struct {
	To      shuffle.Neighbour
	Changes []*pb.Change
	List    *pb.ServerList
}

// PushReply answers a Pushed.
type PushReply struct {
	Sequence uint64
	List     *pb.ListVersion
}

// Compare tells a neighbour what is held. Its answer comes back as Compared.
type Compare struct {
	To      shuffle.Neighbour
	Digests *pb.RangeDigests
	List    *pb.ListVersion
	Base    *catalog.Snapshot // the state that Digests describes
}

// CompareReply answers an Asked.
type CompareReply struct{ Response *pb.CompareResponse }

func (Push) isAction()         {}
func (PushReply) isAction()    {}
func (Compare) isAction()      {}
func (CompareReply) isAction() {}

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

// lead is a neighbour that is known to hold more, and is asked for it.
type announcedVersion struct {
	neighbour shuffle.Neighbour // no host: none
	sequence  uint64
	list      *pb.ListVersion
	pullAt    time.Duration
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

// tick asks a neighbour that is ahead, or compares with any when it is time.
func (m *Machine) tick(now time.Duration) []Action {
	if !m.started {
		m.started = true
		m.nextCompareAt = now + time.Duration(m.random.Int64N(int64(CompareInterval)))
	}
	if !m.lacksAnnounced() {
		m.announced = announcedVersion{}
	}
	if m.announced.neighbour.Host != "" && now >= m.announced.pullAt {
		neighbour := m.announced.neighbour
		m.announced = announcedVersion{}
		return []Action{m.versionComparison(neighbour)}
	}
	if now < m.nextCompareAt {
		return nil
	}
	m.nextCompareAt = now + m.jittered(CompareInterval)
	return m.compareWithRandom()
}

func (m *Machine) compareWithRandom() []Action {
	neighbours := m.view.Neighbours()
	if len(neighbours) == 0 {
		return nil
	}
	return []Action{m.versionComparison(neighbours[m.random.IntN(len(neighbours))])}
}

// jittered is a random time between 3/4 and 5/4 of a period.
func (m *Machine) jittered(period time.Duration) time.Duration {
	quarter := int64(period / 4)
	return period - time.Duration(quarter) + time.Duration(m.random.Int64N(2*quarter))
}

// behind tells whether the neighbour that was ahead still is.
func (m *Machine) lacksAnnounced() bool {
	if m.announced.neighbour.Host == "" {
		return false
	}
	return m.announced.sequence > m.replica.Sequence() || CompareVersions(m.announced.list, m.replica.ListVersion()) > 0
}

// heard remembers a neighbour that holds more than this member.
func (m *Machine) observeVersion(now time.Duration, from shuffle.Neighbour, sequence uint64, list *pb.ListVersion) {
	newer := sequence > m.replica.Sequence() || CompareVersions(list, m.replica.ListVersion()) > 0
	if !newer || from.Host == "" || from.Address == "" {
		return
	}
	askAt := now + pullDelay
	if m.lacksAnnounced() {
		askAt = min(askAt, m.announced.pullAt)
	}
	m.announced = announcedVersion{neighbour: from, sequence: sequence, list: list, pullAt: askAt}
}

// compare is the cheap comparison: versions alone.
func (m *Machine) versionComparison(with shuffle.Neighbour) Compare {
	snapshot := m.replica.Snapshot()
	return Compare{
		To:      with,
		Digests: &pb.RangeDigests{Sequence: snapshot.Sequence(), Generation: snapshot.Generation()},
		List:    m.replica.ListVersion(),
	}
}

// digestComparison is the comparison that is answered by a repair.
func (m *Machine) digestComparison(with shuffle.Neighbour) Compare {
	snapshot := m.replica.Snapshot()
	return Compare{To: with, Digests: snapshot.Digests(), List: m.replica.ListVersion(), Base: snapshot}
}

// pushed takes a neighbour's news and passes it on if it is news here.
func (m *Machine) receivePush(now time.Duration, push PushRequested) []Action {
	actions := m.applyUpdate(now, push.From.Host, UpdateReceived{Changes: push.Changes, List: push.List})
	if last := len(push.Changes) - 1; last >= 0 {
		m.observeVersion(now, push.From, push.Changes[last].GetSequence(), nil)
	}
	reply := PushReply{Sequence: m.replica.Sequence(), List: m.replica.ListVersion()}
	return append(actions, reply)
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

// addMissingState adds what a neighbour lacks. Large news is passed on as it came, and what follows it in changes; one that
// lies far behind tells its digests when it asks again.
func (m *Machine) addMissingState(response *pb.CompareResponse, request CompareRequested) {
	changes, complete := m.replica.Since(request.Digests.GetSequence())
	repairable := len(request.Digests.GetDigests()) > 0 // a repair brings all, packed news perhaps a part
	if request.AcceptsCompressed && (!complete && !repairable || isWorthCompressing(changes)) {
		response.Packed = m.replica.Compressed(request.Digests.GetSequence())
	}
	switch {
	case response.Packed != nil:
		response.Changes, _ = m.replica.Since(response.Packed.GetSequence())
	case complete:
		response.Changes = changes
	case len(request.Digests.GetDigests()) > 0:
		response.Repair = m.replica.Snapshot().RepairFor(request.Digests)
	}
}

// compared takes what a neighbour holds beyond this member. If changes alone can't bring it, digests follow.
func (m *Machine) receiveComparison(now time.Duration, answer Compared) []Action {
	response := answer.Response
	actions := m.applyUpdate(now, answer.Request.To.Host, UpdateReceived{
		Changes:    response.GetChanges(),
		Base:       answer.Request.Base,
		Repair:     response.GetRepair(),
		Compressed: response.GetPacked(),
		List:       response.GetList(),
	})
	if response.GetSequence() > m.replica.Sequence() && answer.Request.Base == nil {
		actions = append(actions, m.digestComparison(answer.Request.To))
	}
	return actions
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

// spread pushes small news and announces the rest.
func (m *Machine) disseminate(from string, applied []*pb.Change, repaired bool, list *pb.ServerList) []Action {
	small := !repaired && updateSize(applied, list) <= maxPushSize
	var actions []Action
	for _, neighbour := range m.pickNeighbours(Fanout, from) {
		if small {
			actions = append(actions, Push{To: neighbour, Changes: applied, List: list})
		} else {
			actions = append(actions, m.versionComparison(neighbour))
		}
	}
	return actions
}

// updateSize is the size of news in bytes, or one above maxPushSize.
func updateSize(changes []*pb.Change, list *pb.ServerList) int {
	size := 0
	for _, change := range changes {
		size += proto.Size(change)
		if size > maxPushSize {
			return size
		}
	}
	if list != nil {
		size += proto.Size(list)
	}
	return size
}

// pick takes neighbours at random, none of them the host except.
func (m *Machine) pickNeighbours(count int, except string) []shuffle.Neighbour {
	neighbours := m.view.Neighbours()
	picked := make([]shuffle.Neighbour, 0, count)
	for _, i := range m.random.Perm(len(neighbours)) {
		if len(picked) == count {
			break
		}
		if neighbours[i].Host != except {
			picked = append(picked, neighbours[i])
		}
	}
	return picked
}
