package placement

import (
	"testing"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// manyServers returns a list of 100 model servers in three zones.
func manyServers() []*pb.Server {
	var servers []*pb.Server
	for i := range 100 {
		servers = append(servers, listed(modelService, i, []string{zoneA, zoneB, zoneE}[i%3]))
	}
	return servers
}

// benchmarkPick measures picks for requests that are served one after the other.
func benchmarkPick(b *testing.B, servers []*pb.Server, request func(f *fixture, i int) *Request) {
	f := newFixture(b, 0, servers)
	requests := make([]*Request, 256)
	for i := range requests {
		requests[i] = request(f, i)
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

func BenchmarkPickLongPrompt(b *testing.B) {
	benchmarkPick(b, manyServers(), func(f *fixture, i int) *Request { return f.summary(i%37, i) })
}

func BenchmarkPickShortPrompt(b *testing.B) {
	benchmarkPick(b, manyServers(), func(f *fixture, i int) *Request { return f.greeting(i) })
}

func BenchmarkRefusalOfALateRequest(b *testing.B) {
	f := newFixture(b, 0, manyServers())
	request := f.greeting(1)
	request.Deadline = f.now + time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = f.p.Place(f.now, request)
	}
}

func BenchmarkSetServers(b *testing.B) {
	f := newFixture(b, 0, manyServers())
	b.ReportAllocs()
	for b.Loop() {
		f.relist()
	}
}
