package coordination

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// recordingHost is a Host that records the messages and results of its engine. Its writes are durable immediately.
type recordingHost struct {
	fakePeers
	engine     *Engine
	self       *pb.Replica
	sent       []*pb.Message
	results    map[uint64]*pb.CoordinationResult
	noMajority bool
	stalled    bool
}

func (h *recordingHost) Send(to *pb.Replica, message *pb.Message) {
	if to.GetIdentity() == h.self.GetIdentity() {
		h.engine.Receive(h.engine.now, h.self, message)
		return
	}
	h.sent = append(h.sent, message)
}

func (h *recordingHost) Persist(_ []*pb.RegisterRecord, to *pb.Replica, message *pb.Message) {
	h.Send(to, message)
}
func (h *recordingHost) PersistAll()       {}
func (h *recordingHost) CanPersist() bool  { return true }
func (h *recordingHost) HasMajority() bool { return !h.noMajority }
func (h *recordingHost) IsStalled() bool   { return h.stalled }

func (h *recordingHost) ReplyToCaller(request uint64, result *pb.CoordinationResult) {
	h.results[request] = result
}

// newEngineAmong returns the engine of the first voter, in view 1 with the given voters.
func newEngineAmong(voters ...*pb.Replica) (*Engine, *recordingHost) {
	host := &recordingHost{self: voters[0], results: make(map[uint64]*pb.CoordinationResult)}
	host.engine = NewEngine(Config{Self: voters[0], Incarnation: "1", Retention: retention}, host)
	host.engine.FinishRestore(time.Minute)
	host.engine.Enter(time.Minute, &pb.View{Number: 1, VotersEpoch: 1, Voters: voters})
	return host.engine, host
}

func numberCall() *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{Name: "n"}}}
}

func TestLoneVoterAnswersItself(t *testing.T) {
	engine, host := newEngineAmong(fiveVoters()[0])
	engine.Submit(time.Minute, 1, numberCall())
	engine.Submit(time.Minute, 2, numberCall())
	assert.Equal(t, uint64(1), host.results[1].GetNumber())
	assert.Equal(t, uint64(2), host.results[2].GetNumber())
}

func TestCallsAreRefusedWhereTheyHaveNoChance(t *testing.T) {
	for name, change := range map[string]func(*recordingHost){
		"no majority": func(host *recordingHost) { host.noMajority = true },
		"stalled":     func(host *recordingHost) { host.stalled = true },
	} {
		engine, host := newEngineAmong(fiveVoters()...)
		change(host)
		engine.Submit(time.Minute, 1, numberCall())
		assert.Equal(t, pb.CoordinationResult_OUTCOME_UNAVAILABLE, host.results[1].GetOutcome(), name)
		assert.Empty(t, host.sent, name)
	}
}

func TestCallThatMayBeExecutedIsNotRefused(t *testing.T) {
	engine, host := newEngineAmong(fiveVoters()...)
	engine.Submit(time.Minute, 1, numberCall())
	for now := time.Minute; now <= time.Minute+CallTimeout; now += tickInterval {
		engine.Tick(now)
	}
	assert.Equal(t, pb.CoordinationResult_OUTCOME_UNKNOWN, host.results[1].GetOutcome())
}

func TestPendingCallsAreBounded(t *testing.T) {
	engine, host := newEngineAmong(fiveVoters()...)
	for request := range uint64(maxPendingCalls + 1) {
		call := numberCall()
		call.GetNextNumber().Name = strconv.FormatUint(request, 10)
		engine.Submit(time.Minute, request, call)
	}
	require.Equal(t, 1, len(host.results))
	assert.Equal(t, pb.CoordinationResult_OUTCOME_UNAVAILABLE, host.results[maxPendingCalls].GetOutcome())
}

func TestCanceledCallIsNotAnswered(t *testing.T) {
	engine, host := newEngineAmong(fiveVoters()...)
	engine.Submit(time.Minute, 1, numberCall())
	engine.Cancel(1)
	engine.Tick(time.Minute + CallTimeout)
	assert.Empty(t, host.results)
}

func TestMachineThatLeavesExecutesNoForwardedCall(t *testing.T) {
	engine, host := newEngineAmong(fiveVoters()...)
	engine.Leave()
	engine.Receive(time.Minute, fiveVoters()[1], &pb.Message{Body: &pb.Message_CoordinationCall{CoordinationCall: numberCall()}})
	require.Len(t, host.sent, 1)
	assert.Equal(t, pb.CoordinationResult_OUTCOME_UNAVAILABLE, host.sent[0].GetCoordinationResult().GetOutcome())
}

// A call without an operation has an empty register name, and a record without a name is that of the active epoch.
func TestCallWithoutAnOperationWritesNoRegister(t *testing.T) {
	engine, host := newEngineAmong(fiveVoters()...)
	engine.Receive(time.Minute, fiveVoters()[1], &pb.Message{Body: &pb.Message_CoordinationCall{CoordinationCall: &pb.CoordinationCall{Id: 7}}})
	require.Len(t, host.sent, 1)
	assert.Equal(t, pb.CoordinationResult_OUTCOME_UNAVAILABLE, host.sent[0].GetCoordinationResult().GetOutcome())
	assert.Len(t, engine.Records(), 1)
}

// A put that expects a later revision than the current one may still succeed at the machine that was asked first.
func TestMismatchIsNotFinalWhileAnotherMachineMayExecuteThePut(t *testing.T) {
	for expected, outcome := range map[uint64]pb.CoordinationResult_Outcome{
		1: pb.CoordinationResult_OUTCOME_REVISION_MISMATCH,
		5: pb.CoordinationResult_OUTCOME_UNKNOWN,
	} {
		engine, host := newEngineAmong(fiveVoters()...)
		engine.Submit(time.Minute, 1, putCall("g.a", "x", expected))
		engine.Tick(time.Minute + attemptTimeout)
		engine.Receive(time.Minute+attemptTimeout, fiveVoters()[1], &pb.Message{Body: &pb.Message_CoordinationResult{
			CoordinationResult: &pb.CoordinationResult{Id: 1, Outcome: pb.CoordinationResult_OUTCOME_REVISION_MISMATCH, Revision: 2},
		}})
		assert.Equal(t, outcome, host.results[1].GetOutcome())
	}
}
