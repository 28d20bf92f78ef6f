package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/route"
)

// recordIn returns the record of an agent in a zone and a region.
func recordIn(host, zone, region string) *pb.AgentRecord {
	record := agentRecord(host, 1)
	record.Zone, record.Region = zone, region
	return record
}

// unreadableHomes are unknown home regions.
var unreadableHomes = route.HomeRegions{Unreadable: true}

// homes returns the home regions of the given number of routes; byRegion has the number of routes by home region.
func homes(routes int, byRegion map[string]int) route.HomeRegions {
	return route.HomeRegions{Routes: routes, ByRegion: byRegion}
}

// threeRegions returns edge machines in three regions, one of which has a single machine.
func threeRegions() []*pb.AgentRecord {
	return []*pb.AgentRecord{
		recordIn("a1", "a", "west"), recordIn("a2", "a", "west"),
		recordIn("b1", "b", "west"),
		recordIn("c1", "c", "east"),
		recordIn("d1", "d", "north"), recordIn("d2", "d", "north"), recordIn("d3", "d", "north"),
	}
}

func TestEndpointsPreferTheClientsZoneAndRegion(t *testing.T) {
	everyone := []string{"a1:80", "a2:80", "b1:80", "c1:80", "d1:80", "d2:80", "d3:80"}
	cases := map[string]struct {
		client Client
		want   []string
	}{
		"two in the zone":          {Client{Region: "west", Zone: "a"}, []string{"a1:80", "a2:80"}},
		"one of many: region":      {Client{Region: "west", Zone: "b"}, []string{"a1:80", "a2:80", "b1:80"}},
		"one in the region: all":   {Client{Region: "east", Zone: "c"}, everyone},
		"one in the region, bound": {Client{Region: "east", Zone: "c", HomeRegions: unreadableHomes}, []string{"c1:80"}},
		"one, the home is near":    {Client{Region: "east", Zone: "c", HomeRegions: homes(3, map[string]int{"west": 3})}, []string{"a1:80", "a2:80", "b1:80", "c1:80"}},
		"one, no proxy at home":    {Client{Region: "east", Zone: "c", HomeRegions: homes(3, map[string]int{"south": 3})}, []string{"c1:80"}},
		"none, the home is near":   {Client{Region: "south", Zone: "e", HomeRegions: homes(3, map[string]int{"east": 3})}, []string{"c1:80"}},
		"none in the region":       {Client{Region: "south", Zone: "e", HomeRegions: unreadableHomes}, everyone},
		"unknown place: all":       {Client{HomeRegions: unreadableHomes}, everyone},
		"unknown zone: region":     {Client{Region: "north", Zone: "x"}, []string{"d1:80", "d2:80", "d3:80"}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			for _, record := range threeRegions() {
				agents.Observe(0, record)
			}
			got := agents.Refresh(0).Endpoints(0, one.client, 3)
			slices.Sort(got)
			require.Equal(t, one.want, got)
		})
	}
}

// TestOtherRegionsServeOnlyAfterAnUnplannedLoss guards against clients that are sent to other regions without need: the
// remaining proxies of a region serve its clients, unless the region has recently lost a proxy that was not draining.
func TestOtherRegionsServeOnlyAfterAnUnplannedLoss(t *testing.T) {
	const now = time.Minute
	cases := map[string]struct {
		sinceReport time.Duration // time since the last report of the other proxy
		draining    bool          // the other proxy drains
		region      string        // region of the other proxy
		spillover   bool
	}{
		"both report":             {0, false, "east", false},
		"one drains":              {0, true, "east", false},
		"one drained and ended":   {FailureTimeout, true, "east", false},
		"one stopped reporting":   {FailureTimeout, false, "east", true},
		"one stopped a while ago": {recentLossWindow - time.Millisecond, false, "east", true},
		"one stopped long ago":    {recentLossWindow, false, "east", false},
		"one stopped elsewhere":   {FailureTimeout, false, "north", false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			other := recordIn("c2", "c", one.region)
			other.Draining = one.draining
			agents.Observe(now-one.sinceReport, other)
			for _, record := range threeRegions() {
				agents.Observe(now, record)
			}
			got := agents.Refresh(now).Endpoints(now, Client{Region: "east", Zone: "c", HomeRegions: unreadableHomes}, 0)
			require.Contains(t, got, "c1:80")
			outside := slices.ContainsFunc(got, func(address string) bool { return address[0] != 'c' })
			require.Equal(t, one.spillover, outside, "%v", got)
		})
	}
}

// TestClientsWithoutAProxyInTheirRegionAreSentToHomeRegions guards against clients that are sent to regions which may
// not process their requests: while their own region has no proxy, the clients of a host whose routes have home regions
// are sent to the home regions of the most routes.
func TestClientsWithoutAProxyInTheirRegionAreSentToHomeRegions(t *testing.T) {
	everyone := []string{"a1:80", "a2:80", "b1:80", "c1:80", "d1:80", "d2:80", "d3:80"}
	cases := map[string]struct {
		region string
		homes  route.HomeRegions
		want   []string
	}{
		"no homes":                      {"south", route.HomeRegions{}, everyone},
		"one home":                      {"south", homes(3, map[string]int{"east": 3}), []string{"c1:80"}},
		"a home without a proxy":        {"south", homes(3, map[string]int{"far": 3}), everyone},
		"two homes alike":               {"south", homes(4, map[string]int{"east": 2, "west": 2}), []string{"a1:80", "a2:80", "b1:80", "c1:80"}},
		"the home of most":              {"south", homes(9, map[string]int{"east": 2, "north": 5, "far": 9}), []string{"d1:80", "d2:80", "d3:80"}},
		"a region with a proxy is kept": {"east", homes(9, map[string]int{"north": 5}), []string{"c1:80"}},
		"unknown homes":                 {"south", unreadableHomes, everyone},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			for _, record := range threeRegions() {
				agents.Observe(0, record)
			}
			got := agents.Refresh(0).Endpoints(0, Client{Region: one.region, Zone: "e", HomeRegions: one.homes}, 1)
			slices.Sort(got)
			require.Equal(t, one.want, got)
		})
	}
}

// TestProxiesThatBeginToDrainAreNamedWhereNothingIsNear guards against a response without draining proxies if no other
// proxy is near. Such proxies still accept requests for a while, and no other region is the client's or a home region
// of all routes.
func TestProxiesThatBeginToDrainAreNamedWhereNothingIsNear(t *testing.T) {
	const now, gracePeriod = time.Minute, 2 * time.Second
	const just, long = now - gracePeriod + time.Millisecond, now - gracePeriod
	everyone := []string{"a1:80", "a2:80", "b1:80", "c1:80", "d1:80", "d2:80", "d3:80"}
	west := []string{"a1:80", "a2:80", "b1:80"}
	cases := map[string]struct {
		region string
		homes  route.HomeRegions
		since  time.Duration // time at which the proxy of the region south began to drain
		want   []string
	}{
		"no homes":                       {"south", route.HomeRegions{}, just, everyone},
		"a home of all":                  {"south", homes(3, map[string]int{"east": 3}), just, []string{"c1:80"}},
		"a home without a proxy":         {"south", homes(3, map[string]int{"far": 3}), just, []string{"s1:80"}},
		"its own region is the home":     {"south", homes(1, map[string]int{"south": 1}), just, []string{"s1:80"}},
		"the home of most":               {"south", homes(9, map[string]int{"east": 2, "west": 5}), just, []string{"s1:80"}},
		"the home of most, and too late": {"south", homes(9, map[string]int{"east": 2, "west": 5}), long, west},
		"unknown homes":                  {"south", unreadableHomes, just, []string{"s1:80"}},
		"a region with a proxy":          {"east", homes(5, map[string]int{"north": 4}), just, []string{"c1:80"}},
		"an unknown region":              {"", homes(5, map[string]int{"west": 4}), just, west},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			for _, record := range threeRegions() {
				agents.Observe(now, record)
			}
			agents.Observe(one.since-time.Second, recordIn("s1", "s", "south"))
			own := recordIn("s1", "s", "south")
			own.Draining, own.Ready = true, false
			agents.Observe(one.since, own)
			agents.Observe(now, own) // the draining proxy's agent keeps reporting
			client := Client{Region: one.region, Zone: "e", HomeRegions: one.homes, DrainGracePeriod: gracePeriod}
			got := agents.Refresh(now).Endpoints(now, client, 1)
			slices.Sort(got)
			require.Equal(t, one.want, got)
		})
	}
}

func TestEndpointsOfASmallSystem(t *testing.T) {
	agents := NewAgents(0)
	agents.Observe(0, agentRecord("a1", 1))
	agents.Observe(0, agentRecord("b1", 1))
	agents.Observe(0, agentRecord("c1", 1))
	members := agents.Refresh(0)
	require.Equal(t, []string{"b1:80"}, members.Endpoints(0, Client{Region: "region", Zone: "zone-b", HomeRegions: unreadableHomes}, 0), "a third of all proxies suffices")
}

func TestServes(t *testing.T) {
	agents := NewAgents(0)
	starting := recordIn("a1", "a", "west")
	starting.Ready = false
	agents.Observe(0, starting)
	require.False(t, agents.Refresh(0).Serves(0, ""))
	agents.Observe(0, recordIn("c1", "c", "east"))
	members := agents.Refresh(0)
	require.True(t, members.Serves(0, "east"))
	require.True(t, members.Serves(0, ""))
	require.False(t, members.Serves(0, "west"), "the proxy of the region is not ready")
	require.False(t, members.Serves(FailureTimeout, "east"), "an old snapshot must yield no proxies")
}

func TestEndpointsLeaveOutWhatTakesNoRequests(t *testing.T) {
	agents := NewAgents(0)
	for host, change := range map[string]func(*pb.AgentRecord){
		"a1": func(r *pb.AgentRecord) { r.Draining = true },
		"a2": func(r *pb.AgentRecord) { r.Ready = false },
		"a3": func(r *pb.AgentRecord) { r.EdgeAddress = "" },
		"a4": func(*pb.AgentRecord) {},
	} {
		record := agentRecord(host, 1)
		change(record)
		agents.Observe(0, record)
	}
	members := agents.Refresh(0)
	require.Equal(t, []string{"a4:80"}, members.Endpoints(0, Client{Region: "region", Zone: "zone-a", HomeRegions: unreadableHomes}, 0))
	require.Empty(t, members.Endpoints(FailureTimeout, Client{Region: "region", Zone: "zone-a", HomeRegions: unreadableHomes}, 0), "an old snapshot must yield no proxies")
}

func TestEndpointsRotateAndAreBounded(t *testing.T) {
	agents := NewAgents(0)
	for index := range 100 {
		agents.Observe(0, agentRecord(fmt.Sprintf("a%02d", index), 1))
	}
	members := agents.Refresh(0)
	firsts := make(map[string]bool)
	for rotation := range uint64(100) {
		endpoints := members.Endpoints(0, Client{Region: "region", Zone: "zone-a", HomeRegions: unreadableHomes}, rotation)
		require.Len(t, endpoints, MaxEndpoints)
		slices.Sort(endpoints[1:])
		require.Len(t, slices.Compact(endpoints), MaxEndpoints)
		firsts[endpoints[0]] = true
	}
	require.Len(t, firsts, 100)
}

func TestMostlyServing(t *testing.T) {
	cases := map[string]struct {
		ready, starting, lost int
		enough                bool
	}{
		"none":                   {0, 3, 0, false},
		"one of one":             {1, 0, 0, false},
		"two of two":             {2, 0, 0, true},
		"half":                   {2, 2, 0, true},
		"less than half":         {2, 3, 0, false},
		"lost ones do not count": {2, 0, 9, true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			for index := range one.ready + one.starting + one.lost {
				record := agentRecord(fmt.Sprintf("a%d", index), 1)
				record.Ready = index >= one.starting
				receivedAt := FailureTimeout
				if index >= one.ready+one.starting {
					receivedAt = 0
				}
				agents.Observe(receivedAt, record)
			}
			require.Equal(t, one.enough, agents.Refresh(FailureTimeout).MostlyServing(FailureTimeout))
		})
	}
}
