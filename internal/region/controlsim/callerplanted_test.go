package controlsim

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/ring"
)

// callPlantedSeeds is the number of runs of a kind in which a planted fault must be found.
const callPlantedSeeds = 20

func TestHistoryOfCallsFindsPlantedFaults(t *testing.T) {
	requireFound(t, []plantedFault[mutation]{
		{name: "registers are not on disk", planted: mutation{records: withoutRegisters}, finding: "calls:"},
		{name: "a refusal counts as an acceptance", planted: mutation{message: acceptAllRegisters}, finding: "calls:"},
		{name: "a refusal counts as a promise", planted: mutation{message: promiseAllRegisters}, finding: "calls:"},
		{name: "new voters are given no registers", planted: mutation{message: emptyTransfers}, finding: "calls:"},
	}, isFoundByCallers)
}

func isFoundByCallers(planted mutation, finding string) bool {
	for seed := range uint64(callPlantedSeeds) {
		plan := randomPlan(seed)
		plan.callers = true
		plan.overlappingLosses = true
		plan.mutation = planted
		if playStorm(plan).checker.hasFinding(finding) {
			return true
		}
	}
	return false
}

func withoutRegisters(records []ring.Record) []ring.Record { return without(records, registerKind) }

func acceptAllRegisters(message *pb.Message) *pb.Message {
	if message.GetRegisterAccepted() == nil {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetRegisterAccepted().Outcome = pb.RegisterAccepted_OUTCOME_ACCEPTED
	return changed
}

func promiseAllRegisters(message *pb.Message) *pb.Message {
	if message.GetRegisterPromise() == nil {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetRegisterPromise().Granted = true
	return changed
}

func emptyTransfers(message *pb.Message) *pb.Message {
	if message.GetRegisterTransfer() == nil {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetRegisterTransfer().Registers = nil
	return changed
}
