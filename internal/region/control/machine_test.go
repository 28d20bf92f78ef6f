package control

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/ring"
)

// singleMachine is a cluster of one machine. Its writes are persisted at once unless holdWrites is set.
type singleMachine struct {
	t                *testing.T
	machine          *Machine
	now              time.Duration
	records          []ring.Record
	snapshot         []byte // snapshot on disk
	holdWrites       bool
	heldWrites       []Persist
	replies          []*pb.OrderResult
	callReplies      []*pb.CoordinationResult
	sent             []Send
	committedChanges []*pb.Change // changes in the Committed actions
	left             []Left
	lastRequest      uint64
	configure        func(*Config) // changes the configuration; nil: nothing is changed
	recordBytes      int           // size of all records that were to be written
	snapshotBytes    int           // size of all snapshots that were written
}

func newSingleMachine(t *testing.T) *singleMachine {
	t.Helper()
	return newConfiguredMachine(t, nil)
}

func newConfiguredMachine(t *testing.T, configure func(*Config)) *singleMachine {
	t.Helper()
	l := &singleMachine{t: t, configure: configure}
	l.restart()
	return l
}

func (l *singleMachine) restart() {
	config := Config{
		Self:            &pb.Replica{Host: "core", Address: "10.0.0.1:7660", ControlAddress: "10.0.0.1:8146", Zone: "z"},
		Seeds:           []string{"10.0.0.1:8146"},
		Bootstrap:       true,
		Requirement:     chain.Requirement{Replicas: 1, Zones: 1},
		PeerAddress:     func(string) string { return "10.0.0.1:7660" },
		Random:          rand.New(rand.NewPCG(1, uint64(l.now))),
		SnapshotRecords: 5,
	}
	if l.configure != nil {
		l.configure(&config)
	}
	machine, err := NewMachine(config, l.recovered())
	require.NoError(l.t, err)
	l.machine = machine
	l.step(Started{})
	l.tick(10)
}

// recovered returns the content of the disk.
func (l *singleMachine) recovered() *ring.Recovered {
	return &ring.Recovered{Snapshot: l.snapshot, Records: l.records}
}

func (l *singleMachine) step(event Event) {
	for _, action := range l.machine.Step(l.now, event) {
		switch action := action.(type) {
		case Persist:
			l.heldWrites = append(l.heldWrites, action)
			l.snapshotBytes += len(action.Snapshot)
			for _, record := range action.Records {
				l.recordBytes += len(record.Payload)
			}
		case Reply:
			l.replies = append(l.replies, action.Result)
		case CallReply:
			l.callReplies = append(l.callReplies, action.Result)
		case Send:
			l.sent = append(l.sent, action)
		case Committed:
			l.committedChanges = append(l.committedChanges, action.Changes...)
		case Left:
			l.left = append(l.left, action)
		}
	}
	l.release()
}

func (l *singleMachine) release() {
	for !l.holdWrites && len(l.heldWrites) > 0 {
		write := l.heldWrites[0]
		l.heldWrites = l.heldWrites[1:]
		if write.Snapshot != nil {
			l.snapshot = write.Snapshot
			l.records = nil
		} else {
			l.records = append(l.records, write.Records...)
		}
		l.step(Persisted{Token: write.Token})
	}
}

func (l *singleMachine) tick(times int) {
	for range times {
		l.now += TickInterval
		l.step(Tick{})
	}
}

// submit submits an order and returns its result. The order must be answered at once.
func (l *singleMachine) submit(order *pb.Order) *pb.OrderResult {
	l.lastRequest++
	count := len(l.replies)
	l.step(OrderSubmitted{Request: l.lastRequest, Order: order})
	require.Len(l.t, l.replies, count+1)
	return l.replies[count]
}

func (l *singleMachine) requireStatus(status int, order *pb.Order) {
	l.t.Helper()
	require.EqualValues(l.t, status, l.submit(order).GetStatus())
}

func TestStatusOfOrders(t *testing.T) {
	l := newSingleMachine(t)
	l.requireStatus(http.StatusServiceUnavailable, &pb.Order{Kind: pb.Order_KIND_READ})
	first := replaceOrder(0, 3)
	l.requireStatus(http.StatusOK, first)
	l.requireStatus(http.StatusOK, first)
	l.requireStatus(http.StatusOK, replaceOrder(3, 7))
	l.requireStatus(http.StatusOK, first)
	l.requireStatus(http.StatusPreconditionFailed, replaceOrder(3, 8))
	l.requireStatus(http.StatusBadRequest, replaceOrder(7, 7))
	l.requireStatus(http.StatusBadRequest, &pb.Order{Kind: pb.Order_KIND_AMEND, Base: 7, Body: []byte("{")})
	l.requireStatus(http.StatusBadRequest, &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN})
	l.requireStatus(http.StatusOK, &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "z"})
	l.requireStatus(http.StatusOK, &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "z"})
	require.True(t, l.machine.Committed().Evacuated("z"))
	l.requireStatus(http.StatusOK, &pb.Order{Kind: pb.Order_KIND_EVACUATE_FINISH, Zone: "z"})
	require.False(t, l.machine.Committed().Evacuated("z"))
	l.requireStatus(http.StatusOK, &pb.Order{Kind: pb.Order_KIND_AMEND, Base: 7, Body: []byte(`{"gen":9}`)})
	require.Contains(t, string(l.submit(&pb.Order{Kind: pb.Order_KIND_READ}).GetBody()), `"gen":9`)
	l.requireStatus(http.StatusServiceUnavailable, &pb.Order{})
}

// An order on a generation that may still come must be answered 503, not refused: a late copy of it could be executed
// once that generation exists.
func TestOrderOnALaterGenerationGetsNoClearAnswer(t *testing.T) {
	l := newSingleMachine(t)
	l.requireStatus(http.StatusOK, replaceOrder(0, 3))
	l.requireStatus(http.StatusServiceUnavailable, replaceOrder(5, 8))
	l.requireStatus(http.StatusOK, replaceOrder(3, 5))
	l.requireStatus(http.StatusOK, replaceOrder(5, 8))
}

func TestOrdersAreRejectedRightAfterAStall(t *testing.T) {
	l := newSingleMachine(t)
	l.now += time.Second
	l.requireStatus(http.StatusServiceUnavailable, replaceOrder(0, 3))
	l.tick(1)
	l.requireStatus(http.StatusServiceUnavailable, replaceOrder(0, 3))
	l.tick(4)
	l.requireStatus(http.StatusOK, replaceOrder(0, 3))
}

func TestLateConfirmationIsNotAnswered(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	l.step(OrderSubmitted{Request: 99, Order: replaceOrder(0, 3)})
	pending := l.machine.origin.pending[0]
	body := pending.order.GetBody()
	l.now += orderTimeoutOf(pending.order)
	l.machine.clock.now = l.now
	before := len(l.sent)
	l.machine.origin.receiveResult(l.machine.Self(), &pb.OrderResult{Id: pending.order.GetId(), Status: statusConfirm, Body: []byte("1")})
	require.Len(t, l.sent, before)
	require.Equal(t, body, pending.order.GetBody())
}

func TestStateSurvivesARestart(t *testing.T) {
	l := newSingleMachine(t)
	generation := uint64(0)
	for next := uint64(3); next < 40; next += 3 {
		l.requireStatus(http.StatusOK, replaceOrder(generation, next))
		generation = next
	}
	require.NotEmpty(t, l.snapshot, "a snapshot must have been written")
	identity := l.machine.Self().GetIdentity()
	before := l.machine.Committed().Digests()
	l.restart()
	require.Equal(t, identity, l.machine.Self().GetIdentity())
	require.Equal(t, before.GetDigests(), l.machine.Committed().Digests().GetDigests())
	l.requireStatus(http.StatusOK, replaceOrder(generation, generation+1))
}

func TestNothingIsAcknowledgedWhileTheDiskHangs(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	l.step(OrderSubmitted{Request: 50, Order: replaceOrder(0, 3)})
	require.Empty(t, l.replies)
	l.tick(7)
	require.Len(t, l.replies, 1)
	require.EqualValues(t, http.StatusServiceUnavailable, l.replies[0].GetStatus())
	require.False(t, l.machine.disk.isHealthy())
	l.holdWrites = false
	l.release()
	require.True(t, l.machine.disk.isHealthy())
	l.requireStatus(http.StatusOK, replaceOrder(0, 3))
}

func TestFailedWriteMakesTheDiskUnhealthyUntilOneSucceeds(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	l.step(OrderSubmitted{Request: 50, Order: replaceOrder(0, 3)})
	l.step(WriteFailed{})
	require.False(t, l.machine.health.canServe())
	l.holdWrites = false
	l.release()
	require.True(t, l.machine.health.canServe())
}

func TestOrdersOnTheirWayAreBounded(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	for request := range uint64(3 * maxPendingOrders) {
		l.step(OrderSubmitted{Request: request, Order: replaceOrder(0, request+1)})
	}
	require.Len(t, l.machine.origin.pending, maxPendingOrders)
	require.Len(t, l.replies, 2*maxPendingOrders)
	require.LessOrEqual(t, len(l.machine.head.queue.orders), maxPendingOrders)
	l.tick(7)
	require.Len(t, l.replies, 3*maxPendingOrders, "each order must be answered once")
}

func TestMessagesForAnotherIdentityOrClusterAreDropped(t *testing.T) {
	l := newSingleMachine(t)
	check := &pb.Message_ViewCheck{ViewCheck: &pb.ViewCheck{Id: 1, ViewNumber: 1}}
	from := &pb.Replica{Host: "other", Identity: "o", Address: "10.0.0.2:7660"}
	own := l.machine.Self().GetIdentity()
	cluster := l.machine.View().GetCluster()
	for _, message := range []*pb.Message{
		{From: from, ToIdentity: "another incarnation", Cluster: cluster, Body: check},
		{From: from, ToIdentity: own, Cluster: "elsewhere", Body: check},
		{From: &pb.Replica{}, ToIdentity: own, Cluster: cluster, Body: check},
	} {
		l.sent = nil
		l.step(Received{Message: message})
		require.Empty(t, l.sent)
	}
	l.step(Received{Message: &pb.Message{From: from, ToIdentity: own, Cluster: cluster, Body: check}})
	require.Len(t, l.sent, 1)
	require.True(t, l.sent[0].Message.GetViewCheckResult().GetCurrent())
}

func TestRecordsThatCannotBeReadAreReported(t *testing.T) {
	for _, recovered := range []*ring.Recovered{
		{Records: []ring.Record{{Kind: 99, Payload: []byte{1}}}},
		{Records: []ring.Record{{Kind: recordChange}}},
		{Records: []ring.Record{{Kind: recordIdentity, Payload: []byte{0xff}}}},
		{Snapshot: []byte{recordIdentity, 200}},
	} {
		_, err := NewMachine(Config{Self: &pb.Replica{}, Random: rand.New(rand.NewPCG(1, 1))}, recovered)
		var record *RecordError
		require.ErrorAs(t, err, &record)
	}
}

// A machine that has lost its disk, and whose seeds are gone, must contact machines that send messages to its earlier
// identity.
func TestMachineWithoutAViewFindsThoseThatLookForIt(t *testing.T) {
	machine, err := NewMachine(Config{
		Self:        &pb.Replica{Host: "core", Address: "10.0.0.1:7660", ControlAddress: "10.0.0.1:8146"},
		Seeds:       []string{"10.0.0.9:8146"},
		PeerAddress: func(string) string { return "10.0.0.9:7660" },
		Random:      rand.New(rand.NewPCG(1, 1)),
	}, &ring.Recovered{Fresh: true})
	require.NoError(t, err)
	machine.Step(0, Started{})
	machine.Step(time.Millisecond, Received{Message: &pb.Message{
		From:       &pb.Replica{Host: "other", Identity: "o", Address: "10.0.0.2:7660"},
		ToIdentity: "its old identity",
		Cluster:    "c",
		Body:       &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{ViewNumber: 4}},
	}})
	var addresses []string
	for _, action := range machine.Step(TickInterval, Tick{}) {
		if send, sends := action.(Send); sends {
			addresses = append(addresses, send.Address)
		}
	}
	require.Contains(t, addresses, "10.0.0.2:7660")
}

func TestOtherSeedsAreAskedFromThenOn(t *testing.T) {
	machine, err := NewMachine(Config{
		Self:        &pb.Replica{Host: "core", Address: "10.0.0.1:7660"},
		Seeds:       []string{"10.0.0.9:8146"},
		PeerAddress: func(seed string) string { return "peer of " + seed },
		Random:      rand.New(rand.NewPCG(1, 1)),
	}, &ring.Recovered{Fresh: true})
	require.NoError(t, err)
	machine.Step(0, Started{})
	machine.Step(time.Millisecond, SeedsChanged{Seeds: []string{"10.0.0.8:8146"}})
	actions := machine.Step(TickInterval, Tick{})
	require.Len(t, actions, 1)
	require.Equal(t, "peer of 10.0.0.8:8146", actions[0].(Send).Address)
}
