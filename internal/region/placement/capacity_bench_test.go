package placement

import (
	"strconv"
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
)

// BenchmarkCapacityPick measures picks among up to 800 servers of one service, two thirds of them in the proxy's region.
func BenchmarkCapacityPick(b *testing.B) {
	for _, count := range []int{100, 200, 400, 800} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			benchmarkPick(b, serversOf(count), func(f *fixture, i int) *Request { return f.greeting(i) })
		})
	}
}

func serversOf(count int) []*pb.Server {
	servers := make([]*pb.Server, 0, count)
	for i := range count {
		servers = append(servers, listed(modelService, i, []string{zoneA, zoneB, zoneE}[i%3]))
	}
	return servers
}

// BenchmarkCapacitySetServers measures the application of a complete server list without changes.
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
