package room

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var service = Group{Kind: Server, Service: "lm"}

func server(id, zone, region string, slots float64, models ...string) Node {
	return Node{ID: id, Kind: Server, Zone: zone, Region: region, Service: "lm", Models: models, Capacity: Amount{Slots: slots}}
}

func load(region string, slots float64, homes ...string) Load {
	return Load{Region: region, Group: service, Homes: homes, Need: Amount{Slots: slots}}
}

func TestCheck(t *testing.T) {
	nodes := []Node{
		server("a1", "a", "west", 10), server("a2", "a", "west", 10), server("b1", "b", "west", 10),
		server("c1", "c", "east", 10),
	}
	cases := map[string]struct {
		bound Bound
		loads []Load
		want  *Shortage
	}{
		"fits":                        {Bound{}, []Load{load("west", 30), load("east", 10)}, nil},
		"spills":                      {Bound{}, []Load{load("west", 20), load("east", 20)}, nil},
		"the whole is too much":       {Bound{}, []Load{load("west", 30), load("east", 20)}, &Shortage{Region: "east", Need: 20, Lacking: 10, Part: 0.5}},
		"homes forbid spilling":       {Bound{}, []Load{load("west", 10), load("east", 20, "east")}, &Shortage{Region: "east", Need: 20, Lacking: 10, Part: 0.5}},
		"homes come before the free":  {Bound{}, []Load{load("west", 30), load("east", 10, "west")}, nil},
		"margin":                      {Bound{Margin: 0.5}, []Load{load("east", 10, "east")}, &Shortage{Region: "east", Need: 15, Lacking: 5, Part: 1.0 / 3}},
		"loss of a host":              {Bound{Hosts: 1}, []Load{load("west", 25, "west")}, &Shortage{Region: "west", Need: 25, Lacking: 5, Part: 0.2, Lost: []string{"a1"}}},
		"loss of two hosts":           {Bound{Hosts: 2}, []Load{load("west", 20, "west")}, &Shortage{Region: "west", Need: 20, Lacking: 10, Part: 0.5, Lost: []string{"a1", "a2"}}},
		"loss of a zone":              {Bound{Zones: 1}, []Load{load("west", 15, "west")}, &Shortage{Region: "west", Need: 15, Lacking: 5, Part: 1.0 / 3, Lost: []string{"a"}}},
		"loss of a region":            {Bound{Regions: 1}, []Load{load("east", 15)}, &Shortage{Region: "east", Need: 15, Lacking: 5, Part: 1.0 / 3, Lost: []string{"west"}}},
		"a loss that leaves enough":   {Bound{Hosts: 1, Zones: 1}, []Load{load("west", 20)}, nil},
		"no home left":                {Bound{Zones: 1}, []Load{load("east", 1, "east")}, &Shortage{Region: "east", Need: 1, Lacking: 1, Part: 1, Lost: []string{"c"}}},
		"other groups are passed by":  {Bound{}, []Load{{Region: "west", Group: Group{Kind: Edge}, Need: Amount{Slots: 99}}}, nil},
		"no demand, no server needed": {Bound{Regions: 2}, []Load{load("west", 0)}, nil},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			got := one.bound.Check(service, nodes, one.loads)
			if one.want == nil {
				require.Nil(t, got)
				return
			}
			require.NotNil(t, got)
			require.Equal(t, one.want.Region, got.Region)
			require.Equal(t, one.want.Lost, got.Lost)
			require.InDelta(t, one.want.Need, got.Need, 1e-6)
			require.InDelta(t, one.want.Lacking, got.Lacking, 1e-6)
			require.InDelta(t, one.want.Part, got.Part, 1e-6)
		})
	}
}

func TestEveryResourceBindsAtOnce(t *testing.T) {
	nodes := []Node{
		{ID: "fast", Kind: Server, Region: "west", Service: "lm", Capacity: Amount{Slots: 10, Memory: 100}},
		{ID: "large", Kind: Server, Region: "east", Service: "lm", Capacity: Amount{Slots: 10, Memory: 1000}},
	}
	heavy := Load{Region: "west", Group: service, Need: Amount{Slots: 12, Memory: 600}}
	require.Nil(t, Bound{}.Check(service, nodes, []Load{heavy}))
	heavy.Homes = []string{"west"}
	got := Bound{}.Check(service, nodes, []Load{heavy})
	require.Equal(t, Memory, got.Resource)
	require.InDelta(t, 500, got.Lacking, 1e-6)
	require.Contains(t, got.String(), "lm in west lacks 500 of 600 memory")
}

func TestModelsAreServedWhereTheyAre(t *testing.T) {
	nodes := []Node{server("x", "a", "west", 10, "m"), server("y", "a", "west", 10, "m", "n"), server("z", "c", "east", 10, "n")}
	of := func(model string, slots float64) Load {
		one := load("west", slots)
		one.Model = model
		return one
	}
	require.Nil(t, Bound{}.Check(service, nodes, []Load{of("m", 15), of("n", 15)}))
	require.Equal(t, "m", Bound{}.Check(service, nodes, []Load{of("m", 21)}).Model)
	require.Nil(t, Bound{}.Check(service, nodes, []Load{of("", 30)}))
}

// What is found to fit must be servable: the total demand of any set of regions' pinned loads fits into them.
func TestFitNeverPromisesTooMuch(t *testing.T) {
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
		fits := Bound{}.Check(service, nodes, loads) == nil
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
			for _, one := range loads {
				inside := len(one.Homes) > 0 || set == 1<<len(regions)-1
				for _, home := range one.Homes {
					inside = inside && within(home)
				}
				if inside {
					need += one.Need[Slots]
				}
			}
			if need > have+1e-6 {
				require.False(t, fits, "set %b needs %v of %v", set, need, have)
			}
		}
	})
}

func TestReread(t *testing.T) {
	nodes := []Node{
		{ID: "1", Kind: Server, Region: "west", Service: "lm", Capacity: Amount{Memory: 300}},
		{ID: "2", Kind: Server, Region: "west", Service: "lm", Capacity: Amount{Memory: 100}},
		{ID: "3", Kind: Server, Region: "east", Service: "lm", Capacity: Amount{Memory: 100}},
	}
	loads := []Load{
		{Region: "west", Group: service, Need: Amount{Reading: 50}, Saved: 40},
		{Region: "east", Group: service, Need: Amount{Reading: 50}, Saved: 40},
		{Region: "west", Group: service, Homes: []string{"east"}, Need: Amount{Reading: 50}, Saved: 40},
	}
	changed := Reread(loads, nodes, nodes[1:2])
	require.InDelta(t, 60, changed[0].Need[Reading], 1e-9)
	require.InDelta(t, 50, changed[1].Need[Reading], 1e-9)
	require.InDelta(t, 50, changed[2].Need[Reading], 1e-9)
	require.InDelta(t, 50, loads[0].Need[Reading], 1e-9, "the loads are not written to")
	changed = Reread(loads, nodes, nodes[2:])
	require.InDelta(t, 90, changed[1].Need[Reading], 1e-9)
	require.InDelta(t, 90, changed[2].Need[Reading], 1e-9)
}

func TestProfile(t *testing.T) {
	day := 24 * time.Hour
	profile := Profile{Cycle: day, Periods: []Period{
		{Begin: 0, End: 8 * time.Hour}, {Begin: 8 * time.Hour, End: 20 * time.Hour}, {Begin: 20 * time.Hour, End: day},
	}}
	cases := map[string]struct {
		begin, end time.Duration
		want       []int
	}{
		"within one":        {time.Hour, 2 * time.Hour, []int{0}},
		"up to a border":    {time.Hour, 8 * time.Hour, []int{0}},
		"over a border":     {7 * time.Hour, 9 * time.Hour, []int{0, 1}},
		"over midnight":     {23 * time.Hour, 25 * time.Hour, []int{0, 2}},
		"on the next day":   {day + 9*time.Hour, day + 10*time.Hour, []int{1}},
		"a day and more":    {time.Hour, 2 * day, []int{0, 1, 2}},
		"a moment":          {20 * time.Hour, 20 * time.Hour, []int{2}},
		"a moment, day two": {day + 8*time.Hour, day + 8*time.Hour, []int{1}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, one.want, profile.During(one.begin, one.end))
		})
	}
	require.Equal(t, []time.Duration{9 * time.Hour, 20 * time.Hour, 24 * time.Hour, 32 * time.Hour}, profile.Starts(9*time.Hour))
	constant := Constant(nil)
	require.Equal(t, []int{0}, constant.During(time.Hour, 30*time.Hour))
	require.Equal(t, []time.Duration{time.Hour}, constant.Starts(time.Hour))
}
