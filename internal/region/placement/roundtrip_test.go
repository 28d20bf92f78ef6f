package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The round-trip time to a zone counts as it was measured, beyond the one within the proxy's own zone.
func TestRoundTripsAreMeasured(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	server := func(zone string) *server { return f.p.servers[listed(modelService, 0, zone).GetId()] }
	require.Zero(t, f.p.extraRoundTrip(server(zoneA)))
	require.Zero(t, f.p.extraRoundTrip(server(zoneB)))
	require.Equal(t, assumedRegionRoundTrip, f.p.extraRoundTrip(server(zoneE)), "nothing was measured")
	for range 100 {
		f.p.RoundTripMeasured(server(zoneA).id, time.Millisecond)
		f.p.RoundTripMeasured(server(zoneB).id, 4*time.Millisecond)
		f.p.RoundTripMeasured(server(zoneE).id, 91*time.Millisecond)
	}
	require.Zero(t, f.p.extraRoundTrip(server(zoneA)))
	require.Equal(t, 3*time.Millisecond, f.p.extraRoundTrip(server(zoneB)))
	require.Equal(t, 90*time.Millisecond, f.p.extraRoundTrip(server(zoneE)))
	f.p.RoundTripMeasured("unknown", time.Hour)
	f.p.RoundTripMeasured(server(zoneE).id, 0)
	require.Equal(t, 90*time.Millisecond, f.p.extraRoundTrip(server(zoneE)))
}

// A shorter round trip is preferred among servers that are otherwise alike, by as much as it is shorter.
func TestNearerServersArePreferredByTheRoundTrip(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	cost := func(zone string) time.Duration {
		f.p.buffers.prompt.reset(f.greeting(1))
		known := f.p.servers[listed(modelService, 0, zone).GetId()]
		known.estimate = f.p.servers[listed(modelService, 0, zoneA).GetId()].estimate
		return f.p.predict(f.now, known, &f.p.buffers.prompt, 0).cost
	}
	require.Equal(t, cost(zoneA), cost(zoneB))
	f.p.RoundTripMeasured(listed(modelService, 0, zoneA).GetId(), time.Millisecond)
	f.p.RoundTripMeasured(listed(modelService, 0, zoneB).GetId(), 21*time.Millisecond)
	require.InDelta(t, 20*time.Millisecond, cost(zoneB)-cost(zoneA), float64(time.Millisecond))
}
