package placement

import (
	"fmt"
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/route"
)

// Sizes of a large deployment.
const (
	benchServices = 60
	benchServers  = 3100
	benchRoutes   = 2900
)

// BenchmarkSetTable measures the application of a configuration of 2,900 routes and 60 services with 3,100 servers. The
// time matters because requests wait for the Placer's lock.
func BenchmarkSetTable(b *testing.B) {
	f, table := largeFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		f.p.SetTable(f.now, table)
	}
}

// BenchmarkSetEvacuated measures the evacuation of one zone.
func BenchmarkSetEvacuated(b *testing.B) {
	f, _ := largeFixture(b)
	zones := []string{zoneB}
	b.ReportAllocs()
	for b.Loop() {
		f.p.SetEvacuated(f.now, zones)
	}
}

func largeFixture(b *testing.B) (*fixture, *route.Table) {
	b.Helper()
	var servers []*pb.Server
	for number := range benchServers {
		service := fmt.Sprintf("s%d", number%benchServices)
		servers = append(servers, listed(service, number, []string{zoneA, zoneB, zoneE}[number%3]))
	}
	var items []*pb.Item
	for number := range benchServices {
		name := fmt.Sprintf("s%d", number)
		items = append(items, &pb.Item{Kind: catalog.KindBackends, Name: name, Body: []byte(`{"max-conns":100}`)})
	}
	for number := range benchRoutes {
		body := fmt.Sprintf(`{"vhost":"h","path-prefix":"/p%d/","backend":"s%d"}`, number, number%benchServices)
		items = append(items, &pb.Item{Kind: catalog.KindRoutes, Name: fmt.Sprintf("r%d", number), Body: []byte(body)})
	}
	table, faults := route.FromItems(items)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	return newFixture(b, 0, servers), table
}
