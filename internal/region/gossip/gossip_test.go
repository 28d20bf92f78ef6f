package gossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
	"fieldrelay/internal/region/shuffle"
)

const (
	swarmSize    = 400
	messageDelay = 10 * time.Millisecond
)

// fixedView is a view that never changes.
type fixedView []shuffle.Neighbour

func (v fixedView) Neighbours() []shuffle.Neighbour { return v }

func neighbour(i int) shuffle.Neighbour {
	return shuffle.Neighbour{Host: fmt.Sprint("edge-", i), Address: fmt.Sprint("10.0.0.1:", 1000+i)}
}

// message is an action in transit to another member.
type message struct {
	from, to int
	action   Action
}

// swarm simulates many members. Each message takes messageDelay; messages may be lost and are delivered in random
// order.
type swarm struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Duration
	loss          float64
	machines      []*Machine
	replicas      []*Replica
	lastSequences []uint64
	lastLists     []*pb.ListVersion
	inTransit     []message
	pushes        int
	compares      int
	watch         func(i int, actions []Action) // called with the actions of each step, unless nil
}

func newSwarm(t *testing.T, seed uint64, size int) *swarm {
	s := &swarm{t: t, random: rand.New(rand.NewPCG(seed, 1)), lastSequences: make([]uint64, size)}
	s.lastLists = make([]*pb.ListVersion, size)
	for i := range size {
		var view fixedView
		for _, other := range s.random.Perm(size) {
			if other != i && len(view) < shuffle.ViewSize {
				view = append(view, neighbour(other))
			}
		}
		replica := NewReplica()
		s.replicas = append(s.replicas, replica)
		s.machines = append(s.machines, New(replica, view, rand.New(rand.NewPCG(seed, uint64(i)+2))))
	}
	return s
}

func (s *swarm) step(i int, event Event) []Action {
	actions := s.machines[i].Step(s.now, event)
	if s.watch != nil {
		s.watch(i, actions)
	}
	require.GreaterOrEqual(s.t, s.replicas[i].Sequence(), s.lastSequences[i], "the sequence of a replica must not decrease")
	s.lastSequences[i] = s.replicas[i].Sequence()
	require.GreaterOrEqual(s.t, serverlist.CompareVersions(s.replicas[i].ListVersion(), s.lastLists[i]), 0, "the list version of a replica must not decrease")
	s.lastLists[i] = s.replicas[i].ListVersion()
	return actions
}

func (s *swarm) deliverEvent(i int, event Event) {
	for _, action := range s.step(i, event) {
		s.send(i, action)
	}
}

func (s *swarm) send(from int, action Action) {
	var to shuffle.Neighbour
	switch action := action.(type) {
	case Push:
		to = action.To
		s.pushes++
	case Compare:
		to = action.To
		s.compares++
	default:
		return
	}
	var index int
	_, err := fmt.Sscanf(to.Host, "edge-%d", &index)
	require.NoError(s.t, err)
	s.inTransit = append(s.inTransit, message{from: from, to: index, action: action})
}

// round delivers the messages in transit and, every quarter of a second, a tick to every member.
func (s *swarm) round() {
	s.now += messageDelay
	due := s.inTransit
	s.inTransit = nil
	for _, i := range s.random.Perm(len(due)) {
		if s.random.Float64() >= s.loss {
			s.deliver(due[i])
		}
	}
	if s.now%(25*messageDelay) == 0 {
		for i := range s.machines {
			s.deliverEvent(i, Tick{})
		}
	}
}

func (s *swarm) deliver(m message) {
	switch action := m.action.(type) {
	case Push:
		event := PushRequested{From: neighbour(m.from), Changes: action.Changes, List: action.List}
		for _, answer := range s.step(m.to, event) {
			if reply, ok := answer.(PushReply); ok {
				s.answer(m.from, PushAnswered{To: action.To, Sequence: reply.Sequence, List: reply.List})
			} else {
				s.send(m.to, answer)
			}
		}
	case Compare:
		event := CompareRequested{From: neighbour(m.from), Digests: action.Digests, List: action.List}
		for _, answer := range s.step(m.to, event) {
			s.answer(m.from, CompareAnswered{Request: action, Response: answer.(CompareReply).Response})
		}
	}
}

// answer delivers a response unless it is lost.
func (s *swarm) answer(to int, event Event) {
	if s.random.Float64() >= s.loss {
		s.deliverEvent(to, event)
	}
}

func (s *swarm) rounds(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.round()
	}
}

func (s *swarm) countAtLeast(sequence uint64, listed *pb.ListVersion) int {
	count := 0
	for _, replica := range s.replicas {
		if replica.Sequence() >= sequence && serverlist.CompareVersions(replica.ListVersion(), listed) >= 0 {
			count++
		}
	}
	return count
}

func (s *swarm) requireSameState() {
	want := s.replicas[0].Snapshot().Digests()
	for i, replica := range s.replicas {
		require.True(s.t, proto.Equal(want, replica.Snapshot().Digests()), "member %d", i)
	}
}

func TestUpdateReachesAllInFewRounds(t *testing.T) {
	for seed := range uint64(5) {
		s := newSwarm(t, seed, swarmSize)
		s.deliverEvent(0, UpdateReceived{Changes: changes(1, 1), List: list(1, "i-1")})
		s.rounds(12 * messageDelay)
		require.GreaterOrEqual(t, s.countAtLeast(1, version(1, "core-1", 1)), swarmSize*9/10, "members reached by pushes only")
		require.LessOrEqual(t, s.pushes, swarmSize*Fanout)
		s.rounds(8 * time.Second)
		require.Equal(t, swarmSize, s.countAtLeast(1, version(1, "core-1", 1)), "members reached after comparisons")
		s.requireSameState()
	}
}

func TestUpdatesReachAllDespiteLosses(t *testing.T) {
	for seed := range uint64(3) {
		s := newSwarm(t, seed, swarmSize)
		s.loss = 0.3
		for sequence := uint64(1); sequence <= 20; sequence++ {
			s.deliverEvent(s.random.IntN(swarmSize), UpdateReceived{
				Changes: changes(1, sequence),
				List:    list(sequence, fmt.Sprint("i-", sequence)),
			})
			s.rounds(200 * time.Millisecond)
		}
		s.rounds(30 * time.Second)
		require.Equal(t, swarmSize, s.countAtLeast(20, version(1, "core-1", 20)))
		s.requireSameState()
	}
}

func TestLargeUpdateIsAnnouncedAndPulled(t *testing.T) {
	s := newSwarm(t, 1, swarmSize)
	large := change(1)
	large.Upserts[0].Body = bytes.Repeat([]byte("x"), 10*maxPushSize)
	s.deliverEvent(0, UpdateReceived{Changes: []*pb.Change{large}})
	s.rounds(15 * time.Second)
	require.Equal(t, swarmSize, s.countAtLeast(1, nil))
	require.Zero(t, s.pushes, "a large update must not be pushed")
}

func TestUpdateThatAllHaveCostsNoFurtherMessages(t *testing.T) {
	s := newSwarm(t, 1, 50)
	for i := range s.machines {
		s.deliverEvent(i, UpdateReceived{Changes: changes(1, 1)})
	}
	s.rounds(time.Second)
	require.LessOrEqual(t, s.pushes, 50*Fanout)
	s.pushes = 0
	require.Empty(t, s.step(0, UpdateReceived{Changes: changes(1, 1)}))
	s.rounds(10 * time.Second)
	require.Zero(t, s.pushes)
	require.LessOrEqual(t, s.compares, 50*(11/2+1), "about one comparison per member and interval")
}

func TestGapIsRepairedByDigests(t *testing.T) {
	s := newSwarm(t, 1, 2)
	s.replicas[0].ApplyChanges(changes(1, 10))
	s.replicas[0].history.Reset(10)
	s.replicas[1].ApplyChanges(changes(1, 3))
	s.lastSequences[0], s.lastSequences[1] = 10, 3
	s.rounds(10 * time.Second)
	require.EqualValues(t, 10, s.replicas[1].Sequence())
	s.requireSameState()
}

func TestEqualVersionsAreAnsweredWithNothing(t *testing.T) {
	s := newSwarm(t, 1, 2)
	for i := range s.machines {
		s.machines[i].Step(0, UpdateReceived{Changes: changes(1, 3), List: list(1, "i-1")})
	}
	request := s.machines[0].versionComparison(neighbour(1))
	reply := s.step(1, CompareRequested{From: neighbour(0), Digests: request.Digests, List: request.List})[0].(CompareReply)
	require.True(t, proto.Equal(&pb.CompareResponse{Sequence: 3}, reply.Response))
	require.Empty(t, s.step(0, CompareAnswered{Request: request, Response: reply.Response}))
}

func TestUpdateGoesNotBackToWhereItCameFrom(t *testing.T) {
	s := newSwarm(t, 1, 4)
	for range 20 {
		replica := NewReplica()
		machine := New(replica, fixedView{neighbour(1), neighbour(2), neighbour(3)}, s.random)
		for _, action := range machine.Step(0, PushRequested{From: neighbour(2), Changes: changes(1, 1)}) {
			if push, ok := action.(Push); ok {
				require.NotEqual(t, neighbour(2).Host, push.To.Host)
			}
		}
	}
}

func TestRefreshedListIsNotPassedOn(t *testing.T) {
	machine := New(NewReplica(), fixedView{neighbour(1)}, rand.New(rand.NewPCG(1, 1)))
	require.Len(t, machine.Step(0, UpdateReceived{List: list(1, "i-1")}), 1)
	require.Empty(t, machine.Step(time.Second, UpdateReceived{List: list(2, "i-1")}))
	require.Len(t, machine.Step(time.Second, UpdateReceived{List: list(3, "i-2")}), 1)
}

func TestMalformedRepairIsCountedAndLeftOut(t *testing.T) {
	replica := NewReplica()
	machine := New(replica, fixedView{}, rand.New(rand.NewPCG(1, 1)))
	bad := &pb.Repair{Sequence: 5, Ranges: []*pb.Range{{Index: 99}}}
	require.Empty(t, machine.Step(0, UpdateReceived{Repair: bad}))
	require.EqualValues(t, 1, machine.MalformedRepairs())
	require.Zero(t, replica.Sequence())
}
