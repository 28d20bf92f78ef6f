package plan

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/migration/capacity"
)

var regionOf = map[string]string{"a": "west", "b": "west", "c": "east"}

func node(kind capacity.Kind, service, id, zone string, slots float64) capacity.Node {
	return capacity.Node{
		ID: id, Kind: kind, Service: service, Zone: zone, Region: regionOf[zone],
		Capacity: capacity.Amount{capacity.Slots: slots, capacity.Memory: 100 * slots, capacity.Prefill: 10 * slots},
	}
}

// drawInput draws a small input: nodes of three kinds, at most four replacements, one or two periods.
func drawInput(t *rapid.T) Input {
	zones := rapid.SampledFrom([]string{"a", "b", "c"})
	input := Input{
		Core: Core{Voters: []Voter{{"kept-a", "a"}, {"kept-b", "b"}, {"kept-c", "c"}}},
		Headroom: capacity.Headroom{
			Margin: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "margin"),
			Hosts:  rapid.IntRange(0, 1).Draw(t, "hosts"),
			Zones:  rapid.IntRange(0, 1).Draw(t, "zones"),
		},
		BatchFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "batch fraction"),
		Begin:         time.Duration(rapid.IntRange(0, 30).Draw(t, "begin")) * time.Second,
	}
	kinds := []struct {
		kind    capacity.Kind
		service string
	}{{capacity.Server, "lm"}, {capacity.Server, "lm"}, {capacity.Server, "plain"}, {capacity.Edge, ""}, {capacity.Core, ""}}
	remaining := rapid.IntRange(2, 4).Draw(t, "replacements")
	for number := range rapid.IntRange(6, 12).Draw(t, "nodes") {
		group := rapid.SampledFrom(kinds).Draw(t, "kind")
		zone := zones.Draw(t, "zone")
		slots := float64(rapid.IntRange(5, 7).Draw(t, "slots"))
		old := node(group.kind, group.service, fmt.Sprintf("old-%d", number), zone, slots)
		if group.kind == capacity.Core {
			input.Core.Voters = append(input.Core.Voters, Voter{ID: old.ID, Zone: zone})
		}
		input.Nodes = append(input.Nodes, old)
		if remaining == 0 || number > 0 && rapid.IntRange(0, 3).Draw(t, "not replaced") == 0 {
			continue
		}
		remaining--
		surge := group.kind == capacity.Core || rapid.IntRange(0, 2).Draw(t, "surge") > 0
		newZone := zone
		if surge && rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
			newZone = zones.Draw(t, "new zone")
		}
		newSlots := slots + float64(rapid.IntRange(0, 3).Draw(t, "more slots")/2) - float64(rapid.IntRange(0, 9).Draw(t, "fewer slots")/9)
		input.Replacements = append(input.Replacements, Replacement{
			Old: old, New: node(group.kind, group.service, fmt.Sprintf("new-%d", number), newZone, newSlots), Surge: surge,
			Times: Times{Warm: time.Duration(rapid.IntRange(1, 3).Draw(t, "warm")) * 10 * time.Second, Drain: 5 * time.Second},
		})
	}
	input.Core.Hosts = rapid.IntRange(0, 1).Draw(t, "core hosts")
	input.Core.Zones = rapid.IntRange(0, 1).Draw(t, "core zones")
	if rapid.Bool().Draw(t, "limited surge capacity") {
		input.SurgeCapacity = map[SurgePool]int{}
		for _, zone := range []string{"a", "b", "c"} {
			input.SurgeCapacity[SurgePool{zone, capacity.Server}] = rapid.IntRange(0, 2).Draw(t, "surge capacity")
		}
	}
	input.Demand = drawDemand(t)
	if rapid.IntRange(0, 3).Draw(t, "window") == 0 {
		input.Window = time.Duration(rapid.IntRange(30, 120).Draw(t, "seconds")) * time.Second
	}
	return input
}

func drawDemand(t *rapid.T) capacity.Profile {
	loads := func(label string) []capacity.Load {
		var all []capacity.Load
		for _, group := range []capacity.Group{{Kind: capacity.Server, Service: "lm"}, {Kind: capacity.Server, Service: "plain"}, {Kind: capacity.Edge}} {
			for _, region := range []string{"west", "east"} {
				slots := float64(rapid.IntRange(0, 4).Draw(t, label))
				load := capacity.Load{Region: region, Group: group, Required: capacity.Amount{capacity.Slots: slots, capacity.Prefill: 5 * slots}, CachedPrefill: 3 * slots}
				if rapid.IntRange(0, 3).Draw(t, "pinned") == 0 {
					load.HomeRegions = []string{region}
				}
				all = append(all, load)
			}
		}
		return all
	}
	if rapid.Bool().Draw(t, "constant") {
		return capacity.Constant(loads("slots"))
	}
	return capacity.Profile{Cycle: 100 * time.Second, Periods: []capacity.Period{
		{Begin: 0, End: 60 * time.Second, Loads: loads("by day")},
		{Begin: 60 * time.Second, End: 100 * time.Second, Loads: loads("by night")},
	}}
}

// smallSite is a site of 11 model servers in 3 zones, with a core machine in each zone.
func smallSite(surge bool) Input {
	input := Input{
		Headroom: capacity.Headroom{Margin: 0.2, Hosts: 1},
		Core:     Core{Hosts: 1, Zones: 1},
	}
	for index := range 11 {
		zone := []string{"a", "b", "c", "c", "a", "b", "c"}[index%7]
		old := node(capacity.Server, "lm", fmt.Sprintf("old-%02d", index), zone, 64)
		input.Nodes = append(input.Nodes, old)
		input.Replacements = append(input.Replacements, Replacement{
			Old: old, New: node(capacity.Server, "lm", fmt.Sprintf("new-%02d", index), zone, 64), Surge: surge,
			Times: Times{Start: 10 * time.Second, Warm: 3 * time.Second, Drain: 15 * time.Second, Linger: time.Second, Stop: 5 * time.Second},
		})
	}
	for _, zone := range []string{"a", "b", "c"} {
		old := node(capacity.Core, "", "core-"+zone, zone, 0)
		input.Nodes = append(input.Nodes, old)
		input.Core.Voters = append(input.Core.Voters, Voter{ID: old.ID, Zone: zone})
		input.Replacements = append(input.Replacements, Replacement{
			Old: old, New: node(capacity.Core, "", "core-new-"+zone, zone, 0), Surge: true,
			Times: Times{Start: 10 * time.Second, Warm: 5 * time.Second, Stop: 8 * time.Second},
		})
	}
	lm := capacity.Group{Kind: capacity.Server, Service: "lm"}
	input.Demand = capacity.Constant([]capacity.Load{
		{Region: "west", Group: lm, Required: capacity.Amount{capacity.Slots: 200}},
		{Region: "east", Group: lm, Required: capacity.Amount{capacity.Slots: 180}},
	})
	return input
}

// testingT has the methods that are common to *testing.T and *rapid.T and used here.
type testingT interface {
	require.TestingT
	Helper()
}
