package controlsim

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/control"
	"fieldrelay/internal/ring"
)

// plantedSeeds is the number of runs within which a planted fault must be found.
const plantedSeeds = 60

// plantedRestless makes changes of view common, without which some faults do not show.
const plantedRestless = 0.2

func TestCheckerFindsPlantedFaults(t *testing.T) {
	faults := []struct {
		name     string
		mutation mutation
		finding  string // part of one of the findings
	}{
		{
			name:     "a write is told to be on disk but is not",
			mutation: mutation{loseWrites: true},
			finding:  "no acknowledgement within",
		},
		{
			name:     "promises are not on disk",
			mutation: mutation{records: withoutPromises},
			finding:  "forgets what it accepted",
		},
		{
			name:     "a voter accepts whatever it promised",
			mutation: mutation{message: grantAll},
			finding:  "breaks its promise",
		},
		{
			name:     "an order of unknown fate is answered 412",
			mutation: mutation{reply: refuseUnclear},
			finding:  "was refused (412) but came in force",
		},
		{
			name:     "a repair lacks what differs",
			mutation: mutation{message: emptyRepairs},
			finding:  "two states of sequence",
		},
		{
			name:     "changes are not on disk",
			mutation: mutation{records: withoutChanges},
			finding:  "was acknowledged",
		},
		{
			name:     "more disks are lost than the budget allows",
			mutation: mutation{wipeTwo: true},
			finding:  "no acknowledgement within",
		},
		{
			name:     "a refused configuration is acknowledged",
			mutation: mutation{reply: acknowledgeRefused},
			finding:  "was never committed",
		},
		{
			name:     "the loser of a race is acknowledged",
			mutation: mutation{reply: acknowledgeRefused},
			finding:  "are both acknowledged",
		},
		{
			name:     "an evacuation is ended where it should begin",
			mutation: mutation{message: finishEvacuations},
			finding:  "evacuated is false, acknowledged was true",
		},
		{
			name:     "an older state is told after a newer one",
			mutation: mutation{commits: repeatFirst()},
			finding:  "committed sequence falls",
		},
		{
			name:     "changes that are told lack one",
			mutation: mutation{commits: withoutFirstChange},
			finding:  "changes ",
		},
		{
			name:     "a result goes to another caller than its own",
			mutation: mutation{message: swapResults()},
			finding:  "was never committed",
		},
		{
			name:     "every view is proposed twice",
			mutation: mutation{message: otherValue()},
			finding:  "a second view",
		},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			require.True(t, isFound(fault.mutation, fault.finding), "%q was not found", fault.finding)
		})
	}
}

func isFound(planted mutation, finding string) bool {
	for seed := range uint64(plantedSeeds) {
		plan := planOf(seed)
		plan.mutation = planted
		plan.restless = plantedRestless
		w := play(plan)
		if strings.Contains(strings.Join(w.checker.failures, "; "), finding) {
			return true
		}
	}
	return false
}

// Kinds of records, as package control writes them.
const (
	promiseKind = 2
	changeKind  = 4
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

// repeatFirst tells the first committed state again in place of every tenth.
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

// emptyRepairs drops all ranges but the last, which holds the request's ticket.
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

// otherValue makes every second Decided tell another chain than was decided.
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
