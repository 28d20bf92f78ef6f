package route

import (
	"fmt"
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// capacityRoutes is the number of routes in the configuration of a large operator.
const capacityRoutes = 1500

func capacityRoute(number, revision int) *pb.Item {
	body := fmt.Sprintf(`{"name":"r-%04d","vhost":"h%d.example","path-prefix":"/p%04d/","route-kind":"streaming","deadline-ms":%d,
		"target-ms":1500,"prio":1,"backend":"lm","tries":2,"pinned":true,"resumable":true,"gap_aim_ms":400,"home-regions":[]}`,
		number, number%50, number, 5000+revision)
	return &pb.Item{Kind: catalog.KindRoutes, Name: fmt.Sprintf("r-%04d", number), Order: uint64(number), Body: []byte(body)}
}

func capacityItems() []*pb.Item {
	items := make([]*pb.Item, 0, capacityRoutes+1)
	for number := range capacityRoutes {
		items = append(items, capacityRoute(number, 0))
	}
	backend := &pb.Item{Kind: catalog.KindBackends, Name: "lm", Body: []byte(`{"name":"lm","max-conns":360}`)}
	return append(items, backend)
}

func capacityTable(b *testing.B) *Table {
	b.Helper()
	table, faults := FromItems(capacityItems())
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	return table
}

func BenchmarkCapacityLookup(b *testing.B) {
	table := capacityTable(b)
	hosts := make([]string, capacityRoutes)
	paths := make([]string, capacityRoutes)
	for number := range capacityRoutes {
		hosts[number] = fmt.Sprintf("h%d.example", number%50)
		paths[number] = fmt.Sprintf("/p%04d/chat/1", number)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, found := table.Lookup(hosts[i%capacityRoutes], paths[i%capacityRoutes]); !found {
			b.Fatal("no route")
		}
	}
}

func BenchmarkCapacityTableOfAll(b *testing.B) {
	items := capacityItems()
	b.ReportAllocs()
	for b.Loop() {
		FromItems(items)
	}
}

func BenchmarkCapacityTableWithOneChange(b *testing.B) {
	table := capacityTable(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table, _ = table.With([]*pb.Item{capacityRoute(i%capacityRoutes, i)}, nil, false)
	}
}
