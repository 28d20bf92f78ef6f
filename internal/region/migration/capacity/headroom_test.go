package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var service = Group{Kind: Server, Service: "lm"}

func server(id, zone, region string, slots float64, models ...string) Node {
	return Node{ID: id, Kind: Server, Zone: zone, Region: region, Service: "lm", Models: models, Capacity: Amount{Slots: slots}}
}

func load(region string, slots float64, homes ...string) Load {
	return Load{Region: region, Group: service, HomeRegions: homes, Required: Amount{Slots: slots}}
}

func TestCheck(t *testing.T) {
	nodes := []Node{
		server("a1", "a", "west", 10), server("a2", "a", "west", 10), server("b1", "b", "west", 10),
		server("c1", "c", "east", 10),
	}
	cases := map[string]struct {
		headroom Headroom
		loads    []Load
		want     *Shortage
	}{
		"fits":                               {Headroom{}, []Load{load("west", 30), load("east", 10)}, nil},
		"spills to another region":           {Headroom{}, []Load{load("west", 20), load("east", 20)}, nil},
		"total demand exceeds capacity":      {Headroom{}, []Load{load("west", 30), load("east", 20)}, &Shortage{Region: "east", Required: 20, Missing: 10, Fraction: 0.5}},
		"home regions forbid spilling":       {Headroom{}, []Load{load("west", 10), load("east", 20, "east")}, &Shortage{Region: "east", Required: 20, Missing: 10, Fraction: 0.5}},
		"loads with home regions come first": {Headroom{}, []Load{load("west", 30), load("east", 10, "west")}, nil},
		"margin":                             {Headroom{Margin: 0.5}, []Load{load("east", 10, "east")}, &Shortage{Region: "east", Required: 15, Missing: 5, Fraction: 1.0 / 3}},
		"loss of a host":                     {Headroom{Hosts: 1}, []Load{load("west", 25, "west")}, &Shortage{Region: "west", Required: 25, Missing: 5, Fraction: 0.2, Lost: []string{"a1"}}},
		"loss of two hosts":                  {Headroom{Hosts: 2}, []Load{load("west", 20, "west")}, &Shortage{Region: "west", Required: 20, Missing: 10, Fraction: 0.5, Lost: []string{"a1", "a2"}}},
		"loss of a zone":                     {Headroom{Zones: 1}, []Load{load("west", 15, "west")}, &Shortage{Region: "west", Required: 15, Missing: 5, Fraction: 1.0 / 3, Lost: []string{"a"}}},
		"loss of a region":                   {Headroom{Regions: 1}, []Load{load("east", 15)}, &Shortage{Region: "east", Required: 15, Missing: 5, Fraction: 1.0 / 3, Lost: []string{"west"}}},
		"tolerated losses":                   {Headroom{Hosts: 1, Zones: 1}, []Load{load("west", 20)}, nil},
		"home region lost":                   {Headroom{Zones: 1}, []Load{load("east", 1, "east")}, &Shortage{Region: "east", Required: 1, Missing: 1, Fraction: 1, Lost: []string{"c"}}},
		"other groups are ignored":           {Headroom{}, []Load{{Region: "west", Group: Group{Kind: Edge}, Required: Amount{Slots: 99}}}, nil},
		"no demand":                          {Headroom{Regions: 2}, []Load{load("west", 0)}, nil},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			got := testCase.headroom.Check(service, nodes, testCase.loads)
			if testCase.want == nil {
				require.Nil(t, got)
				return
			}
			require.NotNil(t, got)
			require.Equal(t, testCase.want.Region, got.Region)
			require.Equal(t, testCase.want.Lost, got.Lost)
			require.InDelta(t, testCase.want.Required, got.Required, 1e-6)
			require.InDelta(t, testCase.want.Missing, got.Missing, 1e-6)
			require.InDelta(t, testCase.want.Fraction, got.Fraction, 1e-6)
		})
	}
}

func TestEveryResourceBindsAtOnce(t *testing.T) {
	nodes := []Node{
		{ID: "fast", Kind: Server, Region: "west", Service: "lm", Capacity: Amount{Slots: 10, Memory: 100}},
		{ID: "large", Kind: Server, Region: "east", Service: "lm", Capacity: Amount{Slots: 10, Memory: 1000}},
	}
	heavy := Load{Region: "west", Group: service, Required: Amount{Slots: 12, Memory: 600}}
	require.Nil(t, Headroom{}.Check(service, nodes, []Load{heavy}))
	heavy.HomeRegions = []string{"west"}
	got := Headroom{}.Check(service, nodes, []Load{heavy})
	require.Equal(t, Memory, got.Resource)
	require.InDelta(t, 500, got.Missing, 1e-6)
	require.Contains(t, got.String(), "lm in west lacks 500 of 600 memory")
}

func TestModelsAreServedWhereTheyAre(t *testing.T) {
	nodes := []Node{server("x", "a", "west", 10, "m"), server("y", "a", "west", 10, "m", "n"), server("z", "c", "east", 10, "n")}
	loadOfModel := func(model string, slots float64) Load {
		modelLoad := load("west", slots)
		modelLoad.Model = model
		return modelLoad
	}
	require.Nil(t, Headroom{}.Check(service, nodes, []Load{loadOfModel("m", 15), loadOfModel("n", 15)}))
	require.Equal(t, "m", Headroom{}.Check(service, nodes, []Load{loadOfModel("m", 21)}).Model)
	require.Nil(t, Headroom{}.Check(service, nodes, []Load{loadOfModel("", 30)}))
}

// Guards against an allocation of more than the capacity: if Check reports no shortage, then for each set of regions the
// loads that only these regions may serve do not exceed the capacity of the set.
func TestAllocationNeverExceedsCapacity(t *testing.T) {
	regions := []string{"east", "north", "west"}
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		capacity := map[string]float64{}
		for index := range rapid.IntRange(1, 6).Draw(t, "nodes") {
			region := rapid.SampledFrom(regions).Draw(t, "region")
			slots := float64(rapid.IntRange(1, 9).Draw(t, "slots"))
			nodes = append(nodes, server(string(rune('a'+index)), region, region, slots))
			capacity[region] += slots
		}
		var loads []Load
		for range rapid.IntRange(1, 6).Draw(t, "loads") {
			region := rapid.SampledFrom(regions).Draw(t, "clients")
			homes := rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID[string]).Draw(t, "homes")
			loads = append(loads, load(region, float64(rapid.IntRange(1, 12).Draw(t, "need")), homes...))
		}
		fits := Headroom{}.Check(service, nodes, loads) == nil
		for set := range 1 << len(regions) {
			within := func(region string) bool {
				for index, name := range regions {
					if name == region {
						return set&(1<<index) != 0
					}
				}
				return false
			}
			need, have := 0.0, 0.0
			for _, region := range regions {
				if within(region) {
					have += capacity[region]
				}
			}
			for _, candidate := range loads {
				inside := len(candidate.HomeRegions) > 0 || set == 1<<len(regions)-1
				for _, home := range candidate.HomeRegions {
					inside = inside && within(home)
				}
				if inside {
					need += candidate.Required[Slots]
				}
			}
			if need > have+1e-6 {
				require.False(t, fits, "set %b needs %v of %v", set, need, have)
			}
		}
	})
}
