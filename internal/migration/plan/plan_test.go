package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/migration/room"
)

var regionOf = map[string]string{"a": "west", "b": "west", "c": "east"}

func node(kind room.Kind, service, id, zone string, slots float64) room.Node {
	return room.Node{
		ID: id, Kind: kind, Service: service, Zone: zone, Region: regionOf[zone],
		Capacity: room.Amount{room.Slots: slots, room.Memory: 100 * slots, room.Prefill: 10 * slots},
	}
}

// drawInput draws a small case: three kinds of nodes, few replacements, one or two periods.
func drawInput(t *rapid.T) Input {
	zones := rapid.SampledFrom([]string{"a", "b", "c"})
	input := Input{
		Core: Core{Voters: []Voter{{"kept-a", "a"}, {"kept-b", "b"}, {"kept-c", "c"}}},
		Headroom: room.Headroom{
			Margin: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "margin"),
			Hosts:  rapid.IntRange(0, 1).Draw(t, "hosts"),
			Zones:  rapid.IntRange(0, 1).Draw(t, "zones"),
		},
		BatchFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "share"),
		Begin:         time.Duration(rapid.IntRange(0, 30).Draw(t, "begin")) * time.Second,
	}
	kinds := []struct {
		kind    room.Kind
		service string
	}{{room.Server, "lm"}, {room.Server, "lm"}, {room.Server, "plain"}, {room.Edge, ""}, {room.Core, ""}}
	left := rapid.IntRange(2, 4).Draw(t, "replacements")
	for number := range rapid.IntRange(6, 12).Draw(t, "nodes") {
		of := rapid.SampledFrom(kinds).Draw(t, "kind")
		zone := zones.Draw(t, "zone")
		slots := float64(rapid.IntRange(5, 7).Draw(t, "slots"))
		old := node(of.kind, of.service, fmt.Sprintf("old-%d", number), zone, slots)
		if of.kind == room.Core {
			input.Core.Voters = append(input.Core.Voters, Voter{ID: old.ID, Zone: zone})
		}
		input.Nodes = append(input.Nodes, old)
		if left == 0 || number > 0 && rapid.IntRange(0, 3).Draw(t, "kept") == 0 {
			continue
		}
		left--
		beside := of.kind == room.Core || rapid.IntRange(0, 2).Draw(t, "beside") > 0
		newZone := zone
		if beside && rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
			newZone = zones.Draw(t, "new zone")
		}
		grown := slots + float64(rapid.IntRange(0, 3).Draw(t, "grown")/2) - float64(rapid.IntRange(0, 9).Draw(t, "weaker")/9)
		input.Replacements = append(input.Replacements, Replacement{
			Old: old, New: node(of.kind, of.service, fmt.Sprintf("new-%d", number), newZone, grown), Surge: beside,
			Times: Times{Warm: time.Duration(rapid.IntRange(1, 3).Draw(t, "warm")) * 10 * time.Second, Drain: 5 * time.Second},
		})
	}
	input.Core.Hosts = rapid.IntRange(0, 1).Draw(t, "core hosts")
	input.Core.Zones = rapid.IntRange(0, 1).Draw(t, "core zones")
	if rapid.Bool().Draw(t, "few places") {
		input.SurgeCapacity = map[SurgePool]int{}
		for _, zone := range []string{"a", "b", "c"} {
			input.SurgeCapacity[SurgePool{zone, room.Server}] = rapid.IntRange(0, 2).Draw(t, "places")
		}
	}
	input.Demand = drawDemand(t)
	if rapid.IntRange(0, 3).Draw(t, "window") == 0 {
		input.Window = time.Duration(rapid.IntRange(30, 120).Draw(t, "seconds")) * time.Second
	}
	return input
}

func drawDemand(t *rapid.T) room.Profile {
	loads := func(label string) []room.Load {
		var all []room.Load
		for _, group := range []room.Group{{Kind: room.Server, Service: "lm"}, {Kind: room.Server, Service: "plain"}, {Kind: room.Edge}} {
			for _, region := range []string{"west", "east"} {
				slots := float64(rapid.IntRange(0, 4).Draw(t, label))
				one := room.Load{Region: region, Group: group, Required: room.Amount{room.Slots: slots, room.Prefill: 5 * slots}, CachedPrefill: 3 * slots}
				if rapid.IntRange(0, 3).Draw(t, "pinned") == 0 {
					one.HomeRegions = []string{region}
				}
				all = append(all, one)
			}
		}
		return all
	}
	if rapid.Bool().Draw(t, "constant") {
		return room.Constant(loads("slots"))
	}
	return room.Profile{Cycle: 100 * time.Second, Periods: []room.Period{
		{Begin: 0, End: 60 * time.Second, Loads: loads("by day")},
		{Begin: 60 * time.Second, End: 100 * time.Second, Loads: loads("by night")},
	}}
}

func TestShortestOfAllOrders(t *testing.T) {
	made, refused, stages := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		want, possible := exhaustive(&input)
		got, err := Make(input)
		if !possible {
			refused++
			var refusal *InfeasibleError
			require.True(t, errors.As(err, &refusal), "%+v %v", got, err)
			require.NotEmpty(t, refusal.Violated.String())
			return
		}
		made++
		require.NoError(t, err)
		require.True(t, got.Shortest)
		require.Equal(t, want, got.End)
		requireSafe(t, &input, got)
		stages += len(got.Stages)
		require.NoError(t, Verify(input, got.Stages))
		requireVerifiedAlike(t, &input)
	})
	t.Logf("%d plans with %d stages, %d refusals", made, stages, refused)
	require.Positive(t, made)
	require.Positive(t, refused)
}

// requireSafe goes through a plan's stages by the rules as the exhaustive search has them.
func requireSafe(t require.TestingT, input *Input, made *Plan) {
	e := &enumeration{input: input}
	done := make([]bool, len(input.Replacements))
	now := input.Begin
	for _, stage := range made.Stages {
		require.GreaterOrEqual(t, stage.Begin, now)
		chosen := make([]bool, len(done))
		for _, one := range stage.Replacements {
			for index := range input.Replacements {
				chosen[index] = chosen[index] || input.Replacements[index].Old.ID == one.Old.ID
			}
		}
		end, possible := e.stageEnd(done, chosen, stage.Begin)
		require.True(t, possible)
		require.Equal(t, stage.Begin+stage.Duration, end)
		now = end
		for index := range done {
			require.False(t, done[index] && chosen[index])
			done[index] = done[index] || chosen[index]
		}
	}
	require.NotContains(t, done, false)
	require.Equal(t, made.End, now)
}

// requireVerifiedAlike has all replacements made in one stage: that is found safe if it is.
func requireVerifiedAlike(t require.TestingT, input *Input) {
	all := make([]bool, len(input.Replacements))
	for index := range all {
		all[index] = true
	}
	end, possible := (&enumeration{input: input}).stageEnd(make([]bool, len(all)), all, input.Begin)
	lasts := time.Duration(0)
	for _, one := range input.Replacements {
		lasts = max(lasts, one.Times.Total())
	}
	err := Verify(*input, []Stage{{Begin: input.Begin, Replacements: input.Replacements}})
	require.Equal(t, possible && end == input.Begin+lasts, err == nil, "%v", err)
}

func TestVerifyRefusesWhatIsNoPlan(t *testing.T) {
	input := rodinne(true)
	made, err := Make(input)
	require.NoError(t, err)
	var contradiction *InputError
	require.True(t, errors.As(Verify(input, made.Stages[1:]), &contradiction))
	require.True(t, errors.As(Verify(input, append(made.Stages, made.Stages[0])), &contradiction))
	require.True(t, errors.As(Verify(input, append([]Stage{{}}, made.Stages...)), &contradiction))
	var refusal *InfeasibleError
	require.True(t, errors.As(Verify(input, []Stage{{Replacements: input.Replacements}}), &refusal))
	require.Equal(t, ConstraintBatchSize, refusal.Violated)
}

func TestGreedyOrdersAreSafe(t *testing.T) {
	stuck, equal, made := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		if checkInput(&input) != nil {
			return
		}
		s := newSearcher(&input)
		last, complete := s.searchGreedily()
		best, possible := exhaustive(&input)
		if !complete {
			if possible {
				stuck++
			}
			return
		}
		require.True(t, possible)
		made++
		if last.end == best {
			equal++
		}
		require.GreaterOrEqual(t, last.end, best)
		requireSafe(t, &input, s.planOf(last))
	})
	t.Logf("greedy: of %d made %d are shortest, %d stuck where there is an order", made, equal, stuck)
	require.Less(t, 10*stuck, made+1)
}

// rodinne is the smaller site: 11 model servers in 3 zones, one core machine in each.
func rodinne(beside bool) Input {
	input := Input{
		Headroom: room.Headroom{Margin: 0.2, Hosts: 1},
		Core:     Core{Hosts: 1, Zones: 1},
	}
	for index := range 11 {
		zone := []string{"a", "b", "c", "c", "a", "b", "c"}[index%7]
		old := node(room.Server, "lm", fmt.Sprintf("old-%02d", index), zone, 64)
		input.Nodes = append(input.Nodes, old)
		input.Replacements = append(input.Replacements, Replacement{
			Old: old, New: node(room.Server, "lm", fmt.Sprintf("new-%02d", index), zone, 64), Surge: beside,
			Times: Times{Start: 10 * time.Second, Warm: 3 * time.Second, Drain: 15 * time.Second, Linger: time.Second, Stop: 5 * time.Second},
		})
	}
	for _, zone := range []string{"a", "b", "c"} {
		old := node(room.Core, "", "core-"+zone, zone, 0)
		input.Nodes = append(input.Nodes, old)
		input.Core.Voters = append(input.Core.Voters, Voter{ID: old.ID, Zone: zone})
		input.Replacements = append(input.Replacements, Replacement{
			Old: old, New: node(room.Core, "", "core-new-"+zone, zone, 0), Surge: true,
			Times: Times{Start: 10 * time.Second, Warm: 5 * time.Second, Stop: 8 * time.Second},
		})
	}
	lm := room.Group{Kind: room.Server, Service: "lm"}
	input.Demand = room.Constant([]room.Load{
		{Region: "west", Group: lm, Required: room.Amount{room.Slots: 200}},
		{Region: "east", Group: lm, Required: room.Amount{room.Slots: 180}},
	})
	return input
}

func TestWholeSite(t *testing.T) {
	for _, beside := range []bool{true, false} {
		input := rodinne(beside)
		made, err := Make(input)
		require.NoError(t, err)
		require.True(t, made.Shortest)
		requireSafe(t, &input, made)
		t.Logf("beside %v: %d stages, %s", beside, len(made.Stages), made.End)
	}
}

func TestRefusals(t *testing.T) {
	lm := room.Group{Kind: room.Server, Service: "lm"}
	cases := map[string]struct {
		change func(*Input)
		check  func(*testing.T, *InfeasibleError)
	}{
		"a region with homes has no room": {
			func(input *Input) {
				for index := range input.Replacements {
					input.Replacements[index].Surge = false
				}
				input.Demand = room.Constant([]room.Load{{
					Region: "east", Group: lm, HomeRegions: []string{"east"}, Required: room.Amount{room.Slots: 200},
				}})
				input.Replacements = input.Replacements[:11]
			},
			func(t *testing.T, refusal *InfeasibleError) {
				require.Equal(t, ConstraintCapacity, refusal.Violated)
				require.Equal(t, "east", refusal.Region)
				require.Equal(t, room.Slots, refusal.Shortage.Resource)
				require.InDelta(t, 8, refusal.Shortage.Missing, 1e-6) // one of 5 away, another one lost
				require.Equal(t, []Spare{{Count: 1, Kind: room.Server, Service: "lm", Zone: "c"}}, refusal.Spares)
			},
		},
		"the stage that fails is numbered": {
			func(input *Input) {
				input.Replacements = input.Replacements[:3]
				input.Replacements[2].Surge = false // the only one of east that is taken out first
				input.BatchFraction = 1
				input.Demand = room.Constant([]room.Load{{
					Region: "east", Group: lm, HomeRegions: []string{"east"}, Required: room.Amount{room.Slots: 250},
				}})
			},
			func(t *testing.T, refusal *InfeasibleError) {
				require.Equal(t, 2, refusal.Stage)
				require.Equal(t, "old-02", refusal.Node)
			},
		},
		"voters": {
			func(input *Input) {
				input.Replacements = input.Replacements[11:]
				for index := range input.Replacements {
					input.Replacements[index].Surge = false
				}
			},
			func(t *testing.T, refusal *InfeasibleError) {
				require.Equal(t, ConstraintMajority, refusal.Violated)
				require.Equal(t, 1, refusal.Missing)
				require.Equal(t, []Spare{
					{Count: 1, Kind: room.Core, Zone: "a", Surge: true},
					{Count: 1, Kind: room.Core, Zone: "b", Surge: true},
					{Count: 1, Kind: room.Core, Zone: "c", Surge: true},
				}, refusal.Spares)
			},
		},
		"the last server of a zone": {
			func(input *Input) {
				plain := node(room.Server, "plain", "plain-1", "a", 6)
				input.Nodes = append(input.Nodes, plain)
				next := plain
				next.ID = "plain-2"
				input.Replacements = []Replacement{{Old: plain, New: next, Times: Times{Warm: time.Second}}}
			},
			func(t *testing.T, refusal *InfeasibleError) {
				require.Equal(t, ConstraintLastServer, refusal.Violated)
				require.Equal(t, []Spare{{Count: 1, Kind: room.Server, Service: "plain", Zone: "a", Surge: true}}, refusal.Spares)
			},
		},
		"no place": {
			func(input *Input) {
				input.SurgeCapacity = map[SurgePool]int{{"b", room.Server}: 0}
			},
			func(t *testing.T, refusal *InfeasibleError) {
				require.Equal(t, ConstraintSurge, refusal.Violated)
				require.Equal(t, "b", refusal.Zone)
				require.Equal(t, []Spare{{Count: 1, Kind: room.Server, Service: "lm", Zone: "b", Surge: true}}, refusal.Spares)
			},
		},
		"a later hour": {
			func(input *Input) {
				quiet := []room.Load{{Region: "east", Group: lm, Required: room.Amount{room.Slots: 100}}}
				busy := []room.Load{{Region: "east", Group: lm, Required: room.Amount{room.Slots: 640}}}
				input.Replacements = input.Replacements[:11]
				for index := range input.Replacements {
					input.Replacements[index].Surge = false
				}
				input.Demand = room.Profile{Cycle: 24 * time.Hour, Periods: []room.Period{
					{Begin: 0, End: 6 * time.Hour, Loads: quiet},
					{Begin: 6 * time.Hour, End: 22 * time.Hour, Loads: busy},
					{Begin: 22 * time.Hour, End: 24 * time.Hour, Loads: quiet},
				}}
				input.Begin = 12 * time.Hour
				input.Window = time.Hour
			},
			func(t *testing.T, refusal *InfeasibleError) {
				require.Equal(t, ConstraintCapacity, refusal.Violated)
				require.NotNil(t, refusal.FeasibleBegin)
				require.Equal(t, 22*time.Hour, *refusal.FeasibleBegin)
			},
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			input := rodinne(true)
			one.change(&input)
			_, err := Make(input)
			var refusal *InfeasibleError
			require.True(t, errors.As(err, &refusal), "%v", err)
			one.check(t, refusal)
			t.Log(refusal)
		})
	}
}

func TestContradictions(t *testing.T) {
	cases := map[string]func(*Input){
		"is listed twice":                func(input *Input) { input.Nodes = append(input.Nodes, input.Nodes[0]) },
		"is not there":                   func(input *Input) { input.Replacements[0].Old.ID = "gone" },
		"is there already":               func(input *Input) { input.Replacements[0].New.ID = "old-01" },
		"is replaced twice":              func(input *Input) { input.Replacements[1].Old = input.Replacements[0].Old },
		"replaces two nodes":             func(input *Input) { input.Replacements[1].New.ID = input.Replacements[0].New.ID },
		"of another kind or service":     func(input *Input) { input.Replacements[0].New.Service = "plain" },
		"place of a node in another":     func(input *Input) { input.Replacements[0].Surge, input.Replacements[0].New.Zone = false, "c" },
		"to take no time":                func(input *Input) { input.Replacements[0].Times = Times{} },
		"no contradiction, but no place": func(input *Input) { input.SurgeCapacity = map[SurgePool]int{{"a", room.Server}: 0} },
	}
	for reason, change := range cases {
		t.Run(reason, func(t *testing.T) {
			input := rodinne(true)
			change(&input)
			_, err := Make(input)
			var contradiction *InputError
			if reason == "no contradiction, but no place" {
				require.False(t, errors.As(err, &contradiction))
				return
			}
			require.True(t, errors.As(err, &contradiction), "%v", err)
			require.Contains(t, contradiction.Error(), reason)
		})
	}
}
