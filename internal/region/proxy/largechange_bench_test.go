package proxy

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// BenchmarkLargeChangeFromTheWire decodes and applies a change that adds 1,400 routes to 1,500. It measures the cost of one
// call of the agent, except for the network.
func BenchmarkLargeChangeFromTheWire(b *testing.B) {
	first := &pb.Change{Sequence: 1, Generation: 1}
	for number := range 1500 {
		first.Upserts = append(first.Upserts, capacityRoute(1, number))
	}
	second := &pb.Change{Sequence: 2, Generation: 2}
	for number := range 1400 {
		second.Upserts = append(second.Upserts, capacityRoute(2, 1500+number))
	}
	wire, err := proto.Marshal(&pb.ApplyRequest{Changes: []*pb.Change{second}})
	if err != nil {
		b.Fatal(err)
	}
	store := newSnapshotStore()
	store.apply(&pb.ApplyRequest{Changes: []*pb.Change{first}})
	before := store.load()
	b.ReportAllocs()
	b.ReportMetric(float64(len(wire)), "bytes-sent")
	for b.Loop() {
		store.current.Store(before)
		request := &pb.ApplyRequest{}
		if err := proto.Unmarshal(wire, request); err != nil {
			b.Fatal(err)
		}
		if _, applied := store.apply(request); !applied.tableChanged {
			b.Fatal("the change was not applied")
		}
	}
}
