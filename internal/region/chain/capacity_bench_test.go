package chain

import (
	"fmt"
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// benchmarkChain is a chain of replicas whose messages and writes take no time.
type benchmarkChain struct {
	b        *testing.B
	replicas map[string]*Replica
	messages int
	writes   int
}

func newBenchmarkChain(b *testing.B, length int) *benchmarkChain {
	b.Helper()
	view := &pb.View{Number: 1, Cluster: "c"}
	for i := range length {
		member := &pb.Replica{Host: fmt.Sprint("core-", i), Identity: fmt.Sprint("id-", i), Zone: fmt.Sprint("zone-", i)}
		view.Voters = append(view.Voters, member)
		view.Chain = append(view.Chain, member)
	}
	chain := &benchmarkChain{b: b, replicas: make(map[string]*Replica)}
	for _, member := range view.GetChain() {
		chain.replicas[member.GetIdentity()] = NewReplica(member.GetIdentity(), benchmarkState(b), 1)
	}
	for _, member := range view.GetChain() {
		chain.perform(member, chain.replicas[member.GetIdentity()].Adopt(view))
	}
	for range 4 { // ticks until all replicas are synchronized
		for _, member := range view.GetChain() {
			chain.perform(member, chain.replicas[member.GetIdentity()].Tick())
		}
	}
	return chain
}

// perform completes writes and delivers messages immediately.
func (c *benchmarkChain) perform(self *pb.Replica, output Output) {
	if len(output.Writes) > 0 {
		c.writes++
		c.perform(self, c.replicas[self.GetIdentity()].WritesPersisted())
	}
	for _, outgoing := range output.Messages {
		c.messages++
		to := c.replicas[outgoing.To.GetIdentity()]
		outgoing.Message.From = self
		c.perform(outgoing.To, handle(to, outgoing.Message))
	}
}

// BenchmarkCapacityChainWrite replicates one change from the head to the tail and returns the acknowledgement, with a
// state of 1,500 routes. It excludes disks and the network.
func BenchmarkCapacityChainWrite(b *testing.B) {
	for _, length := range []int{1, 3, 5} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			chain := newBenchmarkChain(b, length)
			head := chain.replicas["id-0"]
			if !head.AcceptsProposals() {
				b.Fatal("the head accepts no proposal")
			}
			self := &pb.Replica{Host: "core-0", Identity: "id-0"}
			chain.messages, chain.writes = 0, 0
			b.ReportAllocs()
			count := 0
			for b.Loop() {
				count++
				output, err := head.Propose(benchmarkChange(head.Newest().Sequence()+1, count))
				if err != nil {
					b.Fatal(err)
				}
				chain.perform(self, output)
			}
			b.ReportMetric(float64(chain.messages)/float64(count), "messages/op")
			b.ReportMetric(float64(chain.writes)/float64(count), "writes/op")
			if head.Committed().Sequence() != head.Newest().Sequence() {
				b.Fatal("not committed")
			}
		})
	}
}

func benchmarkChange(sequence uint64, number int) *pb.Change {
	item := &pb.Item{
		Kind:     catalog.KindRoutes,
		Name:     fmt.Sprintf("r-%04d", number%1500),
		Order:    uint64(number%1500) << 20,
		Sequence: sequence,
		Body:     make([]byte, 300),
	}
	return &pb.Change{Sequence: sequence, Generation: sequence, Upserts: []*pb.Item{item}, OrderDigest: make([]byte, 16)}
}

// benchmarkState holds 1,500 routes.
func benchmarkState(b *testing.B) State {
	b.Helper()
	change := benchmarkChange(1, 0)
	change.Upserts = nil
	for number := range 1500 {
		change.Upserts = append(change.Upserts, benchmarkChange(1, number).GetUpserts()...)
	}
	state := EmptyState()
	if err := state.Apply(Write{Change: change}); err != nil {
		b.Fatal(err)
	}
	return state
}
