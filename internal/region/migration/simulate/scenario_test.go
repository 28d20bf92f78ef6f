package simulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

var lmServers = capacity.Group{Kind: capacity.Server, Service: "lm"}

var regionOf = map[string]string{"a": "west", "b": "west", "c": "east"}

// zonesOf returns the zone of each node of a kind. There are two zones in one region and one zone in the other.
func zonesOf(random *rand.Rand, kind capacity.Kind) []string {
	switch kind {
	case capacity.Server:
		zones := []string{"a", "a", "b", "b", "c", "c", "c"}
		return zones[:len(zones)-random.IntN(2)]
	case capacity.Edge:
		return []string{"a", "a", "b", "c", "c"}
	}
	if random.IntN(2) == 0 {
		return []string{"a", "b", "c"}
	}
	return []string{"a", "b", "c", "a", "b"}
}

// drawCase draws a deployment, its clients and the replacements.
func drawCase(random *rand.Rand) (plan.Input, []*client) {
	input := plan.Input{
		Headroom:      capacity.Headroom{Margin: 0.1, Hosts: 1},
		Core:          plan.Core{Hosts: 1, Zones: random.IntN(2)},
		BatchFraction: 0.5,
	}
	for _, kind := range []capacity.Kind{capacity.Server, capacity.Edge, capacity.Core} {
		for number, zone := range zonesOf(random, kind) {
			spec := capacity.Node{ID: fmt.Sprintf("%s-%d", kind, number), Kind: kind, Zone: zone, Region: regionOf[zone]}
			switch kind {
			case capacity.Server:
				spec.Service = lmServers.Service
				spec.Capacity[capacity.Slots] = float64(14 + random.IntN(4))
			case capacity.Edge:
				spec.Capacity[capacity.Slots] = 100
			case capacity.Core:
				input.Core.Voters = append(input.Core.Voters, plan.Voter{ID: spec.ID, Zone: zone})
			}
			input.Nodes = append(input.Nodes, spec)
			if random.IntN(2) == 0 {
				replacement := drawReplacement(random, spec)
				if kind == capacity.Core && input.Core.Zones > 0 || kind == capacity.Edge && zone == "b" {
					replacement.Surge = true // an in-place replacement would be infeasible
				}
				input.Replacements = append(input.Replacements, replacement)
			}
		}
	}
	clients := drawClients(random)
	input.Demand = capacity.Constant(measuredPeaks(clients))
	return input, clients
}

// measuredPeaks returns the demand that a long measurement would show: the mean plus 2.5 standard deviations of a Poisson
// distribution.
func measuredPeaks(clients []*client) []capacity.Load {
	loads := offeredLoads(clients, 0, 1)
	for index := range loads {
		mean := loads[index].Required[capacity.Slots]
		loads[index].Required[capacity.Slots] = mean + 2.5*math.Sqrt(mean)
	}
	return loads
}

func drawReplacement(random *rand.Rand, old capacity.Node) plan.Replacement {
	next := old
	next.ID += "-new"
	next.Capacity[capacity.Slots] += float64(random.IntN(3))
	times := plan.Times{Start: maxCommandDelay, Warm: 3 * time.Second, Drain: longestResponse, Linger: time.Second, Stop: maxCommandDelay}
	if old.Kind == capacity.Edge {
		times.Linger += addressTTL
	}
	return plan.Replacement{Old: old, New: next, Surge: random.IntN(2) == 0, Times: times}
}

// scenario is a deployment with a plan for it.
type scenario struct {
	input   plan.Input
	plan    *plan.Plan
	clients []*client
}

// drawScenario draws cases until one has a feasible plan of at least one stage.
func drawScenario(seed uint64) *scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	for {
		input, clients := drawCase(random)
		migrationPlan, err := plan.Make(input)
		if err == nil && len(migrationPlan.Stages) > 0 {
			return &scenario{input: input, plan: migrationPlan, clients: clients}
		}
	}
}

// copyClients returns copies of the clients in their initial state, for one run.
func (s *scenario) copyClients() []*client {
	fresh := make([]*client, 0, len(s.clients))
	for _, original := range s.clients {
		copied := *original
		fresh = append(fresh, &copied)
	}
	return fresh
}

func drawClients(random *rand.Rand) []*client {
	var clients []*client
	for _, region := range []string{"west", "east"} {
		for number := range 2 {
			drawn := &client{
				region:       region,
				rate:         3 + 4*random.Float64(),
				meanDuration: time.Duration(1000+random.IntN(1500)) * time.Millisecond,
				resumable:    number == 0,
				burst:        1,
			}
			if random.IntN(3) == 0 {
				drawn.homeRegions = []string{region}
			}
			clients = append(clients, drawn)
		}
	}
	return clients
}
