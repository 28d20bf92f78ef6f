package placement

import (
	"strconv"
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
)

// BenchmarkCapacityPick picks among more and more servers of one service, of which two thirds are in the own
// region.
func BenchmarkCapacityPick(b *testing.B) {
	for _, count := range []int{100, 200, 400, 800} {
		b.Run(strconv.Itoa(count), func(b *testing.B) { benchmarkPickAmong(b, count) })
	}
}

func benchmarkPickAmong(b *testing.B, count int) {
	f := newFixture(b, 0, serversOf(count))
	requests := make([]*Request, 256)
	for i := range requests {
		requests[i] = f.greeting(i)
	}
	f.warm()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		decision, err := f.p.Pick(f.now, requests[i%len(requests)])
		if err != nil {
			b.Fatal(err)
		}
		f.now += 100_000
		f.p.Started(f.now, decision.Attempt)
		f.p.Finished(f.now, decision.Attempt, Done)
	}
}

func serversOf(count int) []*pb.Server {
	servers := make([]*pb.Server, 0, count)
	for i := range count {
		servers = append(servers, listed(modelService, i, []string{zoneA, zoneB, zoneE}[i%3]))
	}
	return servers
}

// BenchmarkCapacitySetServers applies a complete list that changes nothing.
func BenchmarkCapacitySetServers(b *testing.B) {
	for _, count := range []int{100, 800, 3100} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			f := newFixture(b, 0, serversOf(count))
			b.ReportAllocs()
			for b.Loop() {
				f.relist()
			}
		})
	}
}
