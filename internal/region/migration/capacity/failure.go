package capacity

import (
	"cmp"
	"slices"
)

// failure is a set of nodes that fail together.
type failure struct {
	names  []string // names of the failed hosts, zones or regions
	failed []bool   // whether each node has failed, by index of the node
}

// failures returns every failure of as many hosts, zones or regions as the fault budget has, except failures that are
// equivalent to another one.
func (h Headroom) failures(nodes []Node) []failure {
	var all []failure
	all = append(all, combinations(hostFailures(nodes, h.Hosts), h.Hosts)...)
	all = append(all, combinations(domainFailures(nodes, func(node *Node) string { return node.Zone }), h.Zones)...)
	all = append(all, combinations(domainFailures(nodes, func(node *Node) string { return node.Region }), h.Regions)...)
	return all
}

// hostFailures returns the failure of each single node. Of interchangeable nodes only the first budget ones are included:
// any failure within the budget leaves the same capacity as a failure of these.
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

// domainFailures returns the failure of each single failure domain (zone or region), ordered by name.
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

// combinations returns the unions of count single failures, or of all if there are fewer. The number of unions grows
// with the count-th power of the number of failures; fault budgets are small (package planfile allows up to 3).
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
