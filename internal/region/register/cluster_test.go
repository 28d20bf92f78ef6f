package register

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const testRetention = 10 * time.Second

// lastRunToken is the token of the last replica.
var lastRunToken atomic.Uint64

// testConfig returns the configuration of a run of a machine.
func testConfig(identity string) Config {
	return Config{Identity: identity, RunToken: lastRunToken.Add(1), Retention: testRetention}
}

// cluster is a set of machines whose messages are delivered by the test.
type cluster struct {
	now     time.Duration
	members map[string]*member
	wire    []sentMessage
}

type sentMessage struct {
	from, to string
	message  *pb.Message
}

// member is one machine and implements Output. Its writes are durable immediately, unless its disk is slow.
type member struct {
	cluster   *cluster
	self      *pb.Replica
	replica   *Replica
	proposers *Proposers
	records   []*pb.RegisterRecord // durable
	unsynced  []*pb.RegisterRecord
	results   []*pb.CoordinationResult
	slowDisk  bool
	fullDisk  bool
	unsent    []sentMessage // messages that wait until the preceding writes are durable
}

func newCluster(identities ...string) *cluster {
	c := &cluster{now: time.Minute, members: make(map[string]*member)}
	for _, identity := range identities {
		m := &member{cluster: c, self: &pb.Replica{Identity: identity}}
		m.replica = NewReplica(testConfig(identity), m)
		m.proposers = NewProposers(m.replica, identity+"/1", executeCounter, m)
		c.members[identity] = m
	}
	return c
}

// enter makes the given machines enter an epoch.
func (c *cluster) enter(membership Membership, identities ...string) {
	for _, identity := range identities {
		c.members[identity].replica.Enter(c.now, membership)
	}
}

func replicasOf(identities ...string) []*pb.Replica {
	var replicas []*pb.Replica
	for _, identity := range identities {
		replicas = append(replicas, &pb.Replica{Identity: identity})
	}
	return replicas
}

func firstEpoch(identities ...string) Membership {
	return Membership{Epoch: 1, Voters: replicasOf(identities...)}
}

// deliver delivers messages among the given machines until none is left, and drops all others.
func (c *cluster) deliver(among ...string) {
	reachable := make(map[string]bool)
	for _, identity := range among {
		reachable[identity] = true
	}
	for len(c.wire) > 0 {
		next := c.wire[0]
		c.wire = c.wire[1:]
		if reachable[next.from] && reachable[next.to] {
			c.members[next.to].receive(&pb.Replica{Identity: next.from}, next.message)
		}
	}
}

// advanceClock advances the clock without delivering messages.
func (c *cluster) advanceClock(by time.Duration) { c.now += by }

func (c *cluster) tick(identities ...string) {
	for _, identity := range identities {
		c.members[identity].replica.Tick(c.now)
		c.members[identity].proposers.Tick(c.now)
	}
}

func (m *member) receive(from *pb.Replica, message *pb.Message) {
	now := m.cluster.now
	switch body := message.GetBody().(type) {
	case *pb.Message_RegisterPrepare:
		m.replica.Prepare(now, from, body.RegisterPrepare)
	case *pb.Message_RegisterPromise:
		m.proposers.Promised(now, from, body.RegisterPromise)
	case *pb.Message_RegisterAccept:
		m.replica.Accept(now, from, body.RegisterAccept)
	case *pb.Message_RegisterAccepted:
		m.proposers.Accepted(now, from, body.RegisterAccepted)
	case *pb.Message_RegisterTransferRequest:
		m.replica.TransferRequested(from, body.RegisterTransferRequest)
	case *pb.Message_RegisterTransfer:
		m.replica.TransferReceived(now, from, body.RegisterTransfer)
	}
}

// submit submits calls on register "x".
func (m *member) submit(calls ...*pb.CoordinationCall) {
	for _, call := range calls {
		m.proposers.Submit(m.cluster.now, "x", m.self, call)
	}
}

// result returns the newest result of a call.
func (m *member) result(t *testing.T, id uint64) *pb.CoordinationResult {
	t.Helper()
	for index := len(m.results) - 1; index >= 0; index-- {
		if m.results[index].GetId() == id {
			return m.results[index]
		}
	}
	require.Failf(t, "no result", "call %d", id)
	return nil
}

func (m *member) Send(to *pb.Replica, message *pb.Message) {
	if to.GetIdentity() == m.self.GetIdentity() {
		m.receive(m.self, message)
		return
	}
	m.cluster.wire = append(m.cluster.wire, sentMessage{m.self.GetIdentity(), to.GetIdentity(), message})
}

func (m *member) Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message) {
	m.unsynced = append(m.unsynced, records...)
	if m.slowDisk {
		m.unsent = append(m.unsent, sentMessage{m.self.GetIdentity(), to.GetIdentity(), message})
		return
	}
	m.sync()
	m.Send(to, message)
}

func (m *member) PersistAll() {
	m.unsynced = nil
	m.records = m.replica.Records()
}

func (m *member) CanPersist() bool { return !m.fullDisk }

func (m *member) Reply(_ *pb.Replica, result *pb.CoordinationResult) {
	m.results = append(m.results, result)
}

// sync makes all pending writes durable, then sends the messages that waited for them.
func (m *member) sync() {
	m.records = append(m.records, m.unsynced...)
	m.unsynced = nil
	unsent := m.unsent
	m.unsent = nil
	for _, next := range unsent {
		m.Send(&pb.Replica{Identity: next.to}, next.message)
	}
}

// restart replaces this machine by one that has restored the durable records of its disk.
func (m *member) restart(membership Membership) *member {
	next := &member{cluster: m.cluster, self: m.self, records: m.records, slowDisk: m.slowDisk}
	next.replica = NewReplica(testConfig(m.self.GetIdentity()), next)
	next.proposers = NewProposers(next.replica, m.self.GetIdentity()+"/2", executeCounter, next)
	for _, record := range m.records {
		next.replica.Restore(record)
	}
	next.replica.FinishRestore(m.cluster.now)
	next.replica.Enter(m.cluster.now, membership)
	m.cluster.members[m.self.GetIdentity()] = next
	return next
}

// executeCounter executes calls on a counter: it increments the counter, reads it, and puts if the counter has the
// expected value. A put without an expected value appends an event to a group; a watch always waits.
func executeCounter(value *pb.RegisterValue, call *pb.CoordinationCall, _ Conditions) Outcome {
	present := value.GetCounter().GetValue()
	switch operation := call.GetOperation().(type) {
	case *pb.CoordinationCall_NextNumber:
		return countTo(present + 1)
	case *pb.CoordinationCall_Put:
		if operation.Put.ExpectedRevision == nil {
			event := &pb.KeyEvent{Name: operation.Put.GetName(), Value: operation.Put.GetValue(), Revision: value.GetGroup().GetRevision() + 1}
			return Outcome{Result: succeeded(event.GetRevision()), Change: EventsChange(event)}
		}
		if operation.Put.GetExpectedRevision() != present {
			return Outcome{Result: &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_REVISION_MISMATCH}}
		}
		return countTo(present + 100)
	case *pb.CoordinationCall_Watch:
		return Outcome{Wait: true}
	default:
		result := succeeded(present)
		result.Events = value.GetGroup().GetEvents()
		return Outcome{Result: result}
	}
}

func succeeded(number uint64) *pb.CoordinationResult {
	return &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK, Number: number}
}

func countTo(number uint64) Outcome {
	value := &pb.RegisterValue{Kind: &pb.RegisterValue_Counter{Counter: &pb.CounterState{Value: number}}}
	return Outcome{Result: succeeded(number), Change: wholeChange(value)}
}

func numberCall(id uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Id: id, Operation: &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{}}}
}

func readCall(id uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Id: id, Operation: &pb.CoordinationCall_Read{Read: &pb.ReadKey{}}}
}

func conditionalCall(id, expected uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Id: id, Operation: &pb.CoordinationCall_Put{Put: &pb.PutKey{ExpectedRevision: &expected}}}
}

func eventCall(id uint64, value string) *pb.CoordinationCall {
	return &pb.CoordinationCall{Id: id, Operation: &pb.CoordinationCall_Put{Put: &pb.PutKey{Name: "k", Value: value}}}
}

func watchCall(id uint64) *pb.CoordinationCall {
	watch := &pb.WatchGroup{After: 1, WaitMs: 1000}
	return &pb.CoordinationCall{Id: id, Operation: &pb.CoordinationCall_Watch{Watch: watch}}
}
