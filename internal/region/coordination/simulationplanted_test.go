package coordination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
	"fieldrelay/internal/testkit/history"
)

// plantedFault is a deliberate fault that the simulation must detect.
type plantedFault struct {
	// execute replaces Execute.
	execute register.Execute
	// receive replaces a message that a machine receives; a nil result drops the message.
	receive func(m *machine, from *pb.Replica, message *pb.Message) *pb.Message
	// sendBeforeSync sends answers before their records are durable.
	sendBeforeSync bool
	// forgetPromises loses promises in a restart.
	forgetPromises bool
	// lostDiskKeepsIdentity lets a machine keep its identity, and so keep voting, after it has lost its disk.
	lostDiskKeepsIdentity bool
}

const plantedSeeds = 400

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, fault := range map[string]plantedFault{
		"a vote of a replica that forgot":        {lostDiskKeepsIdentity: true},
		"an answer that is not durable":          {sendBeforeSync: true},
		"a promise that is not on disk":          {forgetPromises: true},
		"an accept below a promise":              {receive: acceptBelowPromise},
		"a read without confirmation":            {receive: readWithoutConfirmation},
		"a release that ignores the fence":       {execute: releaseAnyFence},
		"a renewal that ignores the fence":       {execute: renewAnyFence},
		"a fence that is used again":             {execute: reuseFence},
		"a lock that is given away too early":    {execute: grantEarly},
		"a put that is written twice":            {execute: duplicatePut},
		"a condition that is ignored":            {execute: ignoreCondition},
		"a watch that skips a put":               {execute: skipEvent},
		"a revision that is forgotten too early": {execute: forgetEvents},
		"a voter that goes on in an old epoch":   {receive: transferWithoutEntering},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var found *history.Violation
			checkSeeds(1, plantedSeeds, 2, fault, func(seed uint64, verdict history.Verdict) bool {
				if found == nil && !verdict.Passed() {
					found = verdict.Smallest()
					t.Logf("seed %d: %v", seed, found)
				}
				return found == nil
			})
			require.NotNil(t, found)
		})
	}
}

// acceptBelowPromise makes a proposer treat a rejection as an acceptance.
func acceptBelowPromise(_ *machine, _ *pb.Replica, message *pb.Message) *pb.Message {
	answer := message.GetRegisterAccepted()
	if answer.GetOutcome() != pb.RegisterAccepted_OUTCOME_SUPERSEDED {
		return message
	}
	changed := proto.CloneOf(answer)
	changed.Outcome = pb.RegisterAccepted_OUTCOME_ACCEPTED
	return &pb.Message{Body: &pb.Message_RegisterAccepted{RegisterAccepted: changed}}
}

// readWithoutConfirmation makes a proposer treat its own confirmation as that of a majority.
func readWithoutConfirmation(m *machine, from *pb.Replica, message *pb.Message) *pb.Message {
	accept := message.GetRegisterAccept()
	isOwnConfirmation := accept != nil && accept.GetChange() == nil && from.GetIdentity() == m.identity()
	if !isOwnConfirmation {
		return message
	}
	accepted := &pb.Message{Body: &pb.Message_RegisterAccepted{RegisterAccepted: &pb.RegisterAccepted{
		Name: accept.GetName(), Position: accept.GetPosition(), Poll: accept.GetPoll(), Outcome: pb.RegisterAccepted_OUTCOME_ACCEPTED,
	}}}
	for _, voter := range m.engine.replica.Membership().Voters {
		m.engine.Receive(m.clock(), voter, accepted)
	}
	return nil
}

func releaseAnyFence(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	if call.GetRelease() != nil && value.GetLock() != nil {
		call = proto.CloneOf(call)
		call.GetRelease().Fence = value.GetLock().GetFence()
		call.GetRelease().Holder = value.GetLock().GetHolder()
	}
	return Execute(value, call, conditions)
}

func renewAnyFence(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	if call.GetRenew() != nil && value.GetLock() != nil {
		call = proto.CloneOf(call)
		call.GetRenew().Fence = value.GetLock().GetFence()
		call.GetRenew().Holder = value.GetLock().GetHolder()
	}
	return Execute(value, call, conditions)
}

func reuseFence(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	if call.GetAcquire() != nil && value.GetLock().GetFence() > 0 && conditions.LeaseRemaining <= 0 {
		value = proto.CloneOf(value)
		value.GetLock().Fence--
	}
	return Execute(value, call, conditions)
}

func grantEarly(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	conditions.LeaseRemaining -= 150 * time.Millisecond
	return Execute(value, call, conditions)
}

func duplicatePut(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	group := value.GetGroup()
	if put := call.GetPut(); put != nil && group != nil {
		event := &pb.KeyEvent{Name: put.GetName(), Value: put.GetValue(), Revision: group.GetRevision() + 1}
		return register.Outcome{
			Result: &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK, Revision: event.GetRevision()},
			Change: register.EventsChange(event),
		}
	}
	return Execute(value, call, conditions)
}

func ignoreCondition(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	if call.GetPut() != nil {
		call = proto.CloneOf(call)
		call.GetPut().ExpectedRevision = nil
	}
	return Execute(value, call, conditions)
}

func skipEvent(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	outcome := Execute(value, call, conditions)
	if events := outcome.Result.GetEvents(); call.GetWatch() != nil && len(events) > 1 {
		outcome.Result = proto.CloneOf(outcome.Result)
		outcome.Result.Events = events[1:]
	}
	return outcome
}

func forgetEvents(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	group := value.GetGroup()
	if call.GetWatch() == nil || len(group.GetEvents()) < 3 {
		return Execute(value, call, conditions)
	}
	short := proto.CloneOf(group)
	short.Events = short.GetEvents()[len(short.GetEvents())-3:]
	return Execute(&pb.RegisterValue{Kind: &pb.RegisterValue_Group{Group: short}}, call, conditions)
}

// transferWithoutEntering makes a voter send its registers for an epoch that it has not entered, so that it keeps
// voting in the previous epoch.
func transferWithoutEntering(m *machine, from *pb.Replica, message *pb.Message) *pb.Message {
	request := message.GetRegisterTransferRequest()
	isLater := request != nil && request.GetEpoch() > m.engine.replica.Membership().Epoch
	if !isLater || !m.engine.replica.IsActive() {
		return message
	}
	answer := &pb.RegisterTransfer{Epoch: request.GetEpoch(), ActiveEpoch: m.engine.ActiveEpoch()}
	for _, record := range m.engine.Records() {
		if record.GetName() != "" {
			answer.Registers = append(answer.Registers, record)
		}
	}
	m.Send(from, &pb.Message{Body: &pb.Message_RegisterTransfer{RegisterTransfer: answer}})
	return nil
}
