package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

func capacityMachine() *Machine {
	view := make(fixedView, shuffle.ViewSize)
	for i := range view {
		view[i] = shuffle.Neighbour{Host: fmt.Sprint("edge-", i), Address: fmt.Sprintf("10.0.0.%d:7661", i)}
	}
	replica := NewReplica()
	replica.ApplyChanges(changes(1, 1500))
	return New(replica, view, rand.New(rand.NewPCG(1, 2)))
}

// BenchmarkCapacityPushedChange applies one change from a neighbour and forwards it.
func BenchmarkCapacityPushedChange(b *testing.B) {
	machine := capacityMachine()
	sequence := machine.replica.Sequence()
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		pushed := PushRequested{From: shuffle.Neighbour{Host: "edge-1"}, Changes: []*pb.Change{change(sequence)}}
		machine.Step(time.Minute, pushed)
	}
}

// BenchmarkCapacityCompareRound compares with a neighbour that has the same state.
func BenchmarkCapacityCompareRound(b *testing.B) {
	machine, other := capacityMachine(), capacityMachine()
	self := shuffle.Neighbour{Host: "edge-9", Address: "10.0.0.9:7661"}
	b.ReportAllocs()
	for b.Loop() {
		compare := machine.versionComparison(self)
		reply := other.Step(time.Minute, CompareRequested{From: self, Digests: compare.Digests, List: compare.List})
		machine.Step(time.Minute, CompareAnswered{Request: compare, Response: reply[0].(CompareReply).Response})
	}
}

// BenchmarkCapacityNewList applies a complete list of 3,100 servers of which one has changed.
func BenchmarkCapacityNewList(b *testing.B) {
	ids := make([]string, 3100)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
	}
	lists := []*pb.ServerList{list(1, ids...), list(2, ids...)}
	lists[1].Servers[5].Draining = true
	machine := capacityMachine()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		next := &pb.ServerList{Version: version(1, "core-1", uint64(i)+1), Servers: lists[i%2].Servers}
		machine.Step(time.Minute, UpdateReceived{List: next})
	}
}
