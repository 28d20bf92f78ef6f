package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
)

// A large deployment has too many orders for the exhaustive search. The plan of the greedy search must be safe.
func TestLargeDeployment(t *testing.T) {
	input := Input{Headroom: capacity.Headroom{Margin: 0.2, Hosts: 1, Zones: 1}, Core: Core{Hosts: 1, Zones: 1}}
	lm := capacity.Group{Kind: capacity.Server, Service: "lm"}
	add := func(kind capacity.Kind, service string, number int, slots float64, surge bool) {
		zone := fmt.Sprintf("zone-%d", number%9)
		old := capacity.Node{
			ID: fmt.Sprintf("%s-%d", kind, number), Kind: kind, Service: service, Zone: zone, Region: fmt.Sprintf("region-%d", number%9/3),
			Capacity: capacity.Amount{capacity.Slots: slots},
		}
		next := old
		next.ID += "-new"
		input.Nodes = append(input.Nodes, old)
		input.Replacements = append(input.Replacements, Replacement{Old: old, New: next, Surge: surge, Times: Times{
			Start: time.Minute, Warm: time.Duration(number%4) * 10 * time.Second, Drain: 15 * time.Second, Stop: 5 * time.Second,
		}})
		if kind == capacity.Core {
			input.Core.Voters = append(input.Core.Voters, Voter{ID: old.ID, Zone: zone})
		}
	}
	for number := range 54 {
		add(capacity.Server, "lm", number, 64, number%2 == 0)
	}
	for number := range 45 {
		add(capacity.Edge, "", number, 100, number%3 > 0)
	}
	for number := range 9 {
		add(capacity.Core, "", number, 0, true)
	}
	quiet := []capacity.Load{{Region: "region-0", Group: lm, Required: capacity.Amount{capacity.Slots: 900}}}
	busy := []capacity.Load{
		{Region: "region-0", Group: lm, Required: capacity.Amount{capacity.Slots: 700}},
		{Region: "region-1", Group: lm, HomeRegions: []string{"region-1"}, Required: capacity.Amount{capacity.Slots: 640}},
	}
	input.Demand = capacity.Profile{Cycle: 24 * time.Hour, Periods: []capacity.Period{
		{Begin: 0, End: 12 * time.Hour, Loads: quiet}, {Begin: 12 * time.Hour, End: 24 * time.Hour, Loads: busy},
	}}
	input.Begin = 11*time.Hour + 50*time.Minute

	began := time.Now()
	made, err := Make(input)
	require.NoError(t, err)
	took := time.Since(began)
	require.False(t, made.Shortest)
	requireSafe(t, &input, made)
	require.NoError(t, Verify(input, made.Stages))
	t.Logf("%d replacements in %d stages, %s, found in %s", len(input.Replacements), len(made.Stages), made.End-input.Begin, took)
}
