package plan

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
)

func TestInfeasiblePlansReportWhatIsMissing(t *testing.T) {
	lm := capacity.Group{Kind: capacity.Server, Service: "lm"}
	cases := map[string]struct {
		change func(*Input)
		check  func(*testing.T, *InfeasibleError)
	}{
		"insufficient capacity in a home region": {
			func(input *Input) {
				for index := range input.Replacements {
					input.Replacements[index].Surge = false
				}
				input.Demand = capacity.Constant([]capacity.Load{{
					Region: "east", Group: lm, HomeRegions: []string{"east"}, Required: capacity.Amount{capacity.Slots: 200},
				}})
				input.Replacements = input.Replacements[:11]
			},
			func(t *testing.T, infeasible *InfeasibleError) {
				require.Equal(t, ConstraintCapacity, infeasible.Violated)
				require.Equal(t, "east", infeasible.Region)
				require.Equal(t, capacity.Slots, infeasible.Shortage.Resource)
				require.InDelta(t, 8, infeasible.Shortage.Missing, 1e-6) // of 5 servers one is replaced and one fails
				require.Equal(t, []Spare{{Count: 1, Kind: capacity.Server, Service: "lm", Zone: "c"}}, infeasible.Spares)
			},
		},
		"number of the infeasible stage": {
			func(input *Input) {
				input.Replacements = input.Replacements[:3]
				input.Replacements[2].Surge = false // the only in-place replacement in region east
				input.BatchFraction = 1
				input.Demand = capacity.Constant([]capacity.Load{{
					Region: "east", Group: lm, HomeRegions: []string{"east"}, Required: capacity.Amount{capacity.Slots: 250},
				}})
			},
			func(t *testing.T, infeasible *InfeasibleError) {
				require.Equal(t, 2, infeasible.Stage)
				require.Equal(t, "old-02", infeasible.Node)
			},
		},
		"too few voters": {
			func(input *Input) {
				input.Replacements = input.Replacements[11:]
				for index := range input.Replacements {
					input.Replacements[index].Surge = false
				}
			},
			func(t *testing.T, infeasible *InfeasibleError) {
				require.Equal(t, ConstraintMajority, infeasible.Violated)
				require.Equal(t, 1, infeasible.Missing)
				require.Equal(t, []Spare{
					{Count: 1, Kind: capacity.Core, Zone: "a", Surge: true},
					{Count: 1, Kind: capacity.Core, Zone: "b", Surge: true},
					{Count: 1, Kind: capacity.Core, Zone: "c", Surge: true},
				}, infeasible.Spares)
			},
		},
		"last server of a zone": {
			func(input *Input) {
				plain := node(capacity.Server, "plain", "plain-1", "a", 6)
				input.Nodes = append(input.Nodes, plain)
				next := plain
				next.ID = "plain-2"
				input.Replacements = []Replacement{{Old: plain, New: next, Times: Times{Warm: time.Second}}}
			},
			func(t *testing.T, infeasible *InfeasibleError) {
				require.Equal(t, ConstraintLastServer, infeasible.Violated)
				require.Equal(t, []Spare{{Count: 1, Kind: capacity.Server, Service: "plain", Zone: "a", Surge: true}}, infeasible.Spares)
			},
		},
		"no surge capacity": {
			func(input *Input) {
				input.SurgeCapacity = map[SurgePool]int{{"b", capacity.Server}: 0}
			},
			func(t *testing.T, infeasible *InfeasibleError) {
				require.Equal(t, ConstraintSurge, infeasible.Violated)
				require.Equal(t, "b", infeasible.Zone)
				require.Equal(t, []Spare{{Count: 1, Kind: capacity.Server, Service: "lm", Zone: "b", Surge: true}}, infeasible.Spares)
			},
		},
		"feasible without the time window": {
			func(input *Input) {
				quiet := []capacity.Load{{Region: "east", Group: lm, Required: capacity.Amount{capacity.Slots: 100}}}
				busy := []capacity.Load{{Region: "east", Group: lm, Required: capacity.Amount{capacity.Slots: 640}}}
				input.Replacements = input.Replacements[:11]
				for index := range input.Replacements {
					input.Replacements[index].Surge = false
				}
				input.Demand = capacity.Profile{Cycle: 24 * time.Hour, Periods: []capacity.Period{
					{Begin: 0, End: 6 * time.Hour, Loads: quiet},
					{Begin: 6 * time.Hour, End: 22 * time.Hour, Loads: busy},
					{Begin: 22 * time.Hour, End: 24 * time.Hour, Loads: quiet},
				}}
				input.Begin = 12 * time.Hour
				input.Window = time.Hour
			},
			func(t *testing.T, infeasible *InfeasibleError) {
				require.Equal(t, ConstraintCapacity, infeasible.Violated)
				require.NotNil(t, infeasible.FeasibleBegin)
				require.Equal(t, 22*time.Hour, *infeasible.FeasibleBegin)
			},
		},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			input := smallSite(true)
			testCase.change(&input)
			_, err := Make(input)
			var infeasible *InfeasibleError
			require.True(t, errors.As(err, &infeasible), "%v", err)
			testCase.check(t, infeasible)
			t.Log(infeasible)
		})
	}
}
