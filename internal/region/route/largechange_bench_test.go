package route

import (
	"testing"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Sizes of a very large configuration and of a very large change to it.
const (
	largeTable  = 2900
	largeChange = 1400
)

func numberedRoutes(first, count int) []*pb.Item {
	items := make([]*pb.Item, 0, count)
	for number := range count {
		items = append(items, capacityRoute(first+number, 0))
	}
	return items
}

// BenchmarkLargeTableWithOneChange changes one of 2,900 routes.
func BenchmarkLargeTableWithOneChange(b *testing.B) {
	table, _ := FromItems(numberedRoutes(0, largeTable))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table, _ = table.With([]*pb.Item{capacityRoute(i%largeTable, i)}, nil, false)
	}
}

// BenchmarkLargeTableWithManyNewRoutes adds 1,400 routes to 1,500 by one change.
func BenchmarkLargeTableWithManyNewRoutes(b *testing.B) {
	table, _ := FromItems(numberedRoutes(0, largeTable-largeChange))
	added := numberedRoutes(largeTable-largeChange, largeChange)
	b.ReportAllocs()
	for b.Loop() {
		table.With(added, nil, false)
	}
}

// BenchmarkLargeTableWithManyChangedRoutes changes 1,400 of 2,900 routes by one change.
func BenchmarkLargeTableWithManyChangedRoutes(b *testing.B) {
	table, _ := FromItems(numberedRoutes(0, largeTable))
	changed := numberedRoutes(0, largeChange)
	b.ReportAllocs()
	for b.Loop() {
		table.With(changed, nil, false)
	}
}

// BenchmarkLargeTableOfOneHostWithManyNewRoutes adds 1,400 routes to 1,500 of the same host by one change.
func BenchmarkLargeTableOfOneHostWithManyNewRoutes(b *testing.B) {
	table := manyRoutes(largeTable - largeChange)
	whole := manyRoutes(largeTable)
	added := make([]*pb.Item, 0, largeChange)
	for _, route := range whole.routes {
		if _, found := table.Route(route.Name); !found {
			added = append(added, routeItem(route.Name, route.Host, route.PathPrefix))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		table.With(added, nil, false)
	}
}

// BenchmarkLargeTableOfAll compiles 2,900 routes from scratch, as after a repair of the configuration.
func BenchmarkLargeTableOfAll(b *testing.B) {
	items := numberedRoutes(0, largeTable)
	b.ReportAllocs()
	for b.Loop() {
		FromItems(items)
	}
}
