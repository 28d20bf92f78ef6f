package capacity

import (
	"cmp"
	"slices"
)

// failure is a set of nodes that fail at the same time.
type failure struct {
	names  []string // of the hosts, zones or regions
	failed []bool   // by index of the node
}

// failures lists every failure within the fault budget, except those equivalent to another one.
func (h Headroom) failures(nodes []Node) []failure {
	var all []failure
	all = append(all, combinations(hostFailures(nodes, h.Hosts), h.Hosts)...)
	all = append(all, combinations(domainFailures(nodes, func(node *Node) string { return node.Zone }), h.Zones)...)
	all = append(all, combinations(domainFailures(nodes, func(node *Node) string { return node.Region }), h.Regions)...)
	return all
}

// hostFailures lists the failure of each node by itself. Of interchangeable nodes only the first `budget` are listed:
// any failure within the budget leaves the same capacity as one of these.
func hostFailures(nodes []Node, budget int) []failure {
	var single []failure
	for index := range nodes {
		if countInterchangeable(nodes[:index], &nodes[index]) >= budget {
			continue
		}
		hostFailure := failure{names: []string{nodes[index].ID}, failed: make([]bool, len(nodes))}
		hostFailure.failed[index] = true
		single = append(single, hostFailure)
	}
	return single
}

// domainFailures lists the failure of each failure domain (zone or region) by itself, ordered by name.
func domainFailures(nodes []Node, domainOf func(*Node) string) []failure {
	byName := make(map[string]*failure)
	for index := range nodes {
		name := domainOf(&nodes[index])
		if byName[name] == nil {
			byName[name] = &failure{names: []string{name}, failed: make([]bool, len(nodes))}
		}
		byName[name].failed[index] = true
	}
	single := make([]failure, 0, len(byName))
	for _, domainFailure := range byName {
		single = append(single, *domainFailure)
	}
	slices.SortFunc(single, func(a, b failure) int { return cmp.Compare(a.names[0], b.names[0]) })
	return single
}

// combinations lists the unions of count single failures, or of all of them if there are fewer. Their number grows with
// the power of count; fault budgets are small (planfile allows up to 3).
func combinations(failures []failure, count int) []failure {
	if count <= 0 || len(failures) == 0 {
		return nil
	}
	if count == 1 || len(failures) == 1 {
		return failures
	}
	var all []failure
	for index, first := range failures {
		for _, rest := range combinations(failures[index+1:], count-1) {
			all = append(all, first.union(rest))
		}
	}
	return all
}

func (f *failure) union(other failure) failure {
	both := failure{names: append(slices.Clone(f.names), other.names...), failed: slices.Clone(other.failed)}
	for index, failed := range f.failed {
		both.failed[index] = both.failed[index] || failed
	}
	return both
}

func countInterchangeable(nodes []Node, node *Node) int {
	count := 0
	for index := range nodes {
		if nodes[index].InterchangeableWith(node) {
			count++
		}
	}
	return count
}
