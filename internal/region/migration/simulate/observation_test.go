package simulate

import (
	"slices"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
	"fieldrelay/internal/region/migration/plan"
)

// observe returns an observation of the deployment as the caller of an executor makes it.
func (s *store) observe() *execute.Observation {
	observation := &execute.Observation{
		Began:             s.now,
		Elapsed:           s.now,
		Nodes:             map[string]execute.NodeStatus{},
		ConfirmedRevision: s.confirmedRevision(),
		Core:              plan.Core{Hosts: s.input.Core.Hosts, Zones: s.input.Core.Zones},
		CoreConverged:     s.hasMajority(),
	}
	for _, node := range s.orderedNodes {
		if node.votes {
			observation.Core.Voters = append(observation.Core.Voters, plan.Voter{ID: node.spec.ID, Zone: node.spec.Zone})
			observation.CoreConverged = observation.CoreConverged && node.present
		}
		if !node.present {
			continue
		}
		observation.Nodes[node.spec.ID] = s.status(node)
		if node.spec.Kind != capacity.Core && node.ready(s.now) {
			observation.Fleet = append(observation.Fleet, node.spec)
		}
	}
	observation.Loads = s.measuredLoads()
	s.planted.distort(s.deployment, observation)
	return observation
}

func (s *store) status(node *node) execute.NodeStatus {
	status := execute.NodeStatus{Ready: node.ready(s.now), Votes: node.votes, InFlight: len(node.inFlight)}
	if node.spec.Kind == capacity.Core && !s.input.Replacements[s.replacementOf(node)].Surge {
		status.Ready = status.Ready && node.votes
	}
	for _, response := range node.inFlight {
		if response.resumable {
			status.Migratable++
		}
		// A partitioned proxy reports nothing, and a server sees only the requests that have arrived.
		unseen := node.spec.Kind == capacity.Server && s.now < response.edge.partitionedUntil && s.now < response.arrivesAt
		if unseen || s.planted == faultArrivedOnly && s.now < response.arrivesAt {
			status.InFlight--
		}
	}
	return status
}

// replacementOf returns the index of the replacement that a node belongs to; 0 if it belongs to none.
func (s *store) replacementOf(node *node) int {
	return max(slices.IndexFunc(s.input.Replacements, func(r plan.Replacement) bool {
		return r.New.ID == node.spec.ID || r.Old.ID == node.spec.ID
	}), 0)
}

// confirmedRevision returns the revision in force at every edge machine that may be sending. A crashed machine that is to
// restart counts with its last revision.
func (s *store) confirmedRevision() uint64 {
	least := ^uint64(0)
	for _, edge := range s.orderedNodes {
		if edge.spec.Kind == capacity.Edge && (edge.present || edge.restartAt > 0) {
			least = min(least, edge.state.Revision)
		}
	}
	return least
}

// measuredLoads returns the measured demand: for each client the largest of its last ten samples.
func (s *store) measuredLoads() []capacity.Load {
	edges := map[string]float64{}
	var loads []capacity.Load
	for _, from := range s.clients {
		from.samples = append(from.samples, s.inFlightOf(from)+from.rejected)
		from.rejected = 0
		if len(from.samples) > 10 {
			from.samples = from.samples[1:]
		}
		peak := float64(slices.Max(from.samples))
		edges[from.region] += peak
		loads = append(loads, capacity.Load{Region: from.region, Group: lmServers, HomeRegions: from.homeRegions, Required: capacity.Amount{capacity.Slots: peak}})
	}
	for region, peak := range edges {
		loads = append(loads, capacity.Load{
			Region: region, Group: capacity.Group{Kind: capacity.Edge}, HomeRegions: []string{region}, Required: capacity.Amount{capacity.Slots: peak},
		})
	}
	slices.SortFunc(loads, func(a, b capacity.Load) int { return compareLoads(&a, &b) })
	return loads
}

// inFlightOf counts the responses of a client that are in flight.
func (d *deployment) inFlightOf(from *client) int {
	count := 0
	for _, response := range d.responses {
		if response.client == from {
			count++
		}
	}
	return count
}
