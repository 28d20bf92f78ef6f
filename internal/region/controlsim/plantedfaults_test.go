package controlsim

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/ring"
)

// plantedSeeds is the number of runs within which a planted fault must be found.
const plantedSeeds = 60

// plantedRestless makes view changes common, without which some faults do not show.
const plantedRestless = 0.2

// plantedFault is a fault that a simulation must find.
type plantedFault[P any] struct {
	name    string
	planted P      // a mutation, or what makes another one for each run
	finding string // part of one of the findings
}

// requireFound requires that each fault is found, by isFound.
func requireFound[P any](t *testing.T, faults []plantedFault[P], isFound func(planted P, finding string) bool) {
	t.Helper()
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			require.True(t, isFound(fault.planted, fault.finding), "%q was not found", fault.finding)
		})
	}
}

func TestCheckerFindsPlantedFaults(t *testing.T) {
	faults := []plantedFault[mutation]{
		{
			name:    "a write is told to be on disk but is not",
			planted: mutation{loseWrites: true},
			finding: "no acknowledgement within",
		},
		{
			name:    "promises are not on disk",
			planted: mutation{records: withoutPromises},
			finding: "forgets what it accepted",
		},
		{
			name:    "a voter accepts whatever it promised",
			planted: mutation{message: grantAll},
			finding: "breaks its promise",
		},
		{
			name:    "an order of unknown fate is answered 412",
			planted: mutation{reply: refuseUnclear},
			finding: "was refused (412) but came in force",
		},
		{
			name:    "a repair lacks what differs",
			planted: mutation{message: emptyRepairs},
			finding: "two states of sequence",
		},
		{
			name:    "changes are not on disk",
			planted: mutation{records: withoutChanges},
			finding: "was acknowledged",
		},
		{
			name:    "more disks are lost than the budget allows",
			planted: mutation{loseTwoDisks: true},
			finding: "no acknowledgement within",
		},
		{
			name:    "a refused configuration is acknowledged",
			planted: mutation{reply: acknowledgeRefused},
			finding: "was never committed",
		},
		{
			name:    "the loser of a race is acknowledged",
			planted: mutation{reply: acknowledgeRefused},
			finding: "are both acknowledged",
		},
		{
			name:    "an evacuation is ended where it should begin",
			planted: mutation{message: finishEvacuations},
			finding: "evacuated is false, acknowledged was true",
		},
		{
			name:    "an older state is told after a newer one",
			planted: mutation{commits: repeatFirst()},
			finding: "committed sequence falls",
		},
		{
			name:    "changes that are told lack one",
			planted: mutation{commits: withoutFirstChange},
			finding: "changes ",
		},
		{
			name:    "a result goes to another caller than its own",
			planted: mutation{message: swapResults()},
			finding: "was never committed",
		},
		{
			name:    "every view is proposed twice",
			planted: mutation{message: otherValue()},
			finding: "a second view",
		},
	}
	requireFound(t, faults, isFoundInStorm)
}

func isFoundInStorm(planted mutation, finding string) bool {
	for seed := range uint64(plantedSeeds) {
		plan := randomPlan(seed)
		plan.mutation = planted
		plan.spuriousProposals = plantedRestless
		w := playStorm(plan)
		if w.checker.hasFinding(finding) {
			return true
		}
	}
	return false
}

// Kinds of records, as package control writes them.
const (
	promiseKind  = 2
	changeKind   = 4
	registerKind = 7
)

func withoutPromises(records []ring.Record) []ring.Record { return without(records, promiseKind) }

func withoutChanges(records []ring.Record) []ring.Record { return without(records, changeKind) }

func without(records []ring.Record, kind uint8) []ring.Record {
	var kept []ring.Record
	for _, record := range records {
		if record.Kind != kind {
			kept = append(kept, record)
		}
	}
	return kept
}

func grantAll(message *pb.Message) *pb.Message {
	if message.GetAccepted() == nil {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetAccepted().Granted = true
	return changed
}

func refuseUnclear(result *pb.OrderResult) *pb.OrderResult {
	if result.GetStatus() != http.StatusServiceUnavailable {
		return result
	}
	return &pb.OrderResult{Status: http.StatusPreconditionFailed}
}

func acknowledgeRefused(result *pb.OrderResult) *pb.OrderResult {
	if result.GetStatus() != http.StatusPreconditionFailed {
		return result
	}
	return &pb.OrderResult{Status: http.StatusOK}
}

func finishEvacuations(message *pb.Message) *pb.Message {
	if message.GetOrder().GetKind() != pb.Order_KIND_EVACUATE_BEGIN {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetOrder().Kind = pb.Order_KIND_EVACUATE_FINISH
	return changed
}

// repeatFirst reports the first committed state again in place of every tenth.
func repeatFirst() func(control.Committed) control.Committed {
	count := 0
	var first control.Committed
	return func(committed control.Committed) control.Committed {
		count++
		if first.Snapshot == nil {
			first = committed
		}
		if count%10 == 0 {
			return control.Committed{Snapshot: first.Snapshot}
		}
		return committed
	}
}

func withoutFirstChange(committed control.Committed) control.Committed {
	if len(committed.Changes) > 0 {
		committed.Changes = committed.Changes[1:]
	}
	if len(committed.Changes) == 0 && committed.Snapshot.Sequence()%2 == 0 {
		committed.Changes = []*pb.Change{}
	}
	return committed
}

// emptyRepairs drops all ranges but the last, which has the request's ticket.
func emptyRepairs(message *pb.Message) *pb.Message {
	ranges := message.GetSyncResponse().GetRepair().GetRanges()
	if len(ranges) < 2 {
		return message
	}
	changed := proto.CloneOf(message)
	repair := changed.GetSyncResponse().GetRepair()
	repair.Ranges = repair.Ranges[len(ranges)-1:]
	return changed
}

// otherValue makes every second Decided name another chain than was decided.
func otherValue() func(*pb.Message) *pb.Message {
	count := 0
	return func(message *pb.Message) *pb.Message {
		view := message.GetDecided().GetView()
		count++
		if view == nil || count%2 == 0 || len(view.GetChain()) < 2 {
			return message
		}
		changed := proto.CloneOf(message)
		chain := changed.GetDecided().GetView().GetChain()
		chain[0], chain[1] = chain[1], chain[0]
		return changed
	}
}

// swapResults gives each result the id of the newest order of its origin.
func swapResults() func(*pb.Message) *pb.Message {
	newest := make(map[string]uint64) // order of each origin
	return func(message *pb.Message) *pb.Message {
		if order := message.GetOrder(); order != nil {
			newest[message.GetFrom().GetIdentity()] = order.GetId()
		}
		newer, known := newest[message.GetToIdentity()]
		if message.GetOrderResult() == nil || !known {
			return message
		}
		changed := proto.CloneOf(message)
		changed.GetOrderResult().Id = newer
		return changed
	}
}
