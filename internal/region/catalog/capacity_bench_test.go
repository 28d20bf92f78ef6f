package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/catalog"
)

// capacityRoutes is the size of a large operator's configuration.
const capacityRoutes = 1500

// capacityRoute returns a route of a realistic length.
func capacityRoute(number, deadline int) string {
	return fmt.Sprintf(`{"name":"r-%04d","vhost":"h%d.example","path-prefix":"/p%04d/","route-kind":"streaming","deadline-ms":%d,`+
		`"target-ms":1500,"prio":1,"backend":"s1","tries":2,"pinned":true,"resumable":true,"gap_aim_ms":400,"home-regions":[]}`,
		number, number%50, number, deadline)
}

func capacityConfiguration(generation uint64, deadline int) []byte {
	routes := make([]string, capacityRoutes)
	for number := range routes {
		routes[number] = capacityRoute(number, deadline)
	}
	return configuration(generation, routes...)
}

func capacitySnapshot(b *testing.B) *catalog.Snapshot {
	b.Helper()
	return replaced(b, catalog.Empty(), capacityConfiguration(1, 5000))
}

func capacityAmendment(generation uint64, number int) []byte {
	return fmt.Appendf(nil, `{"gen":%d,"routes":[%s]}`, generation, capacityRoute(number%capacityRoutes, 5000+number))
}

// BenchmarkCapacityAmend prepares an order that changes one of many routes.
func BenchmarkCapacityAmend(b *testing.B) {
	snapshot := capacitySnapshot(b)
	body := capacityAmendment(2, 7)
	b.ReportAllocs()
	for b.Loop() {
		_, err := catalog.PrepareAmend(snapshot, snapshot.Generation(), body)
		require.NoError(b, err)
	}
}

// BenchmarkCapacityApply applies a change of one of many routes.
func BenchmarkCapacityApply(b *testing.B) {
	snapshot := capacitySnapshot(b)
	change, err := catalog.PrepareAmend(snapshot, snapshot.Generation(), capacityAmendment(2, 7))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := snapshot.Apply(change)
		require.NoError(b, err)
	}
}

// BenchmarkCapacityReplace prepares an order that replaces all routes, and applies its change.
func BenchmarkCapacityReplace(b *testing.B) {
	snapshot := capacitySnapshot(b)
	body := capacityConfiguration(2, 6000)
	b.ReportAllocs()
	for b.Loop() {
		replaced(b, snapshot, body)
	}
}

// BenchmarkCapacityDigests applies a change and returns the digests of all ranges.
func BenchmarkCapacityDigests(b *testing.B) {
	snapshot := capacitySnapshot(b)
	change, err := catalog.PrepareAmend(snapshot, snapshot.Generation(), capacityAmendment(2, 7))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		next, err := snapshot.Apply(change)
		require.NoError(b, err)
		next.Digests()
	}
}

// BenchmarkCapacityMarshal serializes the whole state, as for a snapshot on disk or a new replica.
func BenchmarkCapacityMarshal(b *testing.B) {
	snapshot := capacitySnapshot(b)
	b.ReportAllocs()
	for b.Loop() {
		data, err := snapshot.Marshal()
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)), "B/state")
	}
}
