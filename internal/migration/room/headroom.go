package room

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Shortage tells that a load finds too little room.
type Shortage struct {
	Region   string // of the clients
	Group    Group
	Model    string
	Resource Resource // the scarcest
	Required float64  // of the resource, by the whole load
	Missing  float64  // of the resource
	Fraction float64  // of the load that finds no room, up to 1
	Lost     []string // the nodes, zones or regions whose loss leaves this shortage; empty: none is needed
}

func (s *Shortage) String() string {
	text := fmt.Sprintf("%s in %s lacks %.4g of %.4g %s", s.Group, s.Region, s.Missing, s.Required, s.Resource)
	if s.Model != "" {
		text += " for model " + s.Model
	}
	if len(s.Lost) > 0 {
		text += " if " + strings.Join(s.Lost, " and ") + " is lost"
	}
	return text
}

// Headroom is what must stay free beside the demand.
type Headroom struct {
	Margin float64 // for bursts, as a part of the demand, while nothing is lost
	// Hosts, Zones and Regions may be lost, each number by itself, and the demand without its margin still fits.
	Hosts, Zones, Regions int
}

// Check returns the worst shortage of a group, or nil if there is room. Nodes and loads of other groups are
// passed over.
func (b Headroom) Check(group Group, nodes []Node, loads []Load) *Shortage {
	nodes = slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Group() != group })
	loads = slices.DeleteFunc(slices.Clone(loads), func(load Load) bool { return load.Group != group })
	worst := allocate(nodes, nil, loads, 1+b.Margin)
	for _, loss := range b.failures(nodes) {
		found := allocate(nodes, loss.nodes, loads, 1)
		if found != nil && (worst == nil || found.Fraction > worst.Fraction) {
			found.Lost = loss.names
			worst = found
		}
	}
	return worst
}

// loss is a set of nodes that go at once.
type failure struct {
	names []string
	nodes []bool // by index
}

// losses gives every loss within the budget, but for those that are like another one.
func (b Headroom) failures(nodes []Node) []failure {
	var all []failure
	all = append(all, combine(hostFailures(nodes, b.Hosts), b.Hosts)...)
	all = append(all, combine(domainFailures(nodes, func(node *Node) string { return node.Zone }), b.Zones)...)
	all = append(all, combine(domainFailures(nodes, func(node *Node) string { return node.Region }), b.Regions)...)
	return all
}

// hosts gives the loss of each node by itself. Of nodes that demand sees no difference between, as many are
// enough as may be lost at once.
func hostFailures(nodes []Node, count int) []failure {
	var single []failure
	for index := range nodes {
		if countInterchangeable(nodes[:index], &nodes[index]) >= count {
			continue
		}
		one := failure{names: []string{nodes[index].ID}, nodes: make([]bool, len(nodes))}
		one.nodes[index] = true
		single = append(single, one)
	}
	return single
}

// places gives the loss of each zone or region by itself.
func domainFailures(nodes []Node, domainOf func(*Node) string) []failure {
	byName := make(map[string]*failure)
	for index := range nodes {
		name := domainOf(&nodes[index])
		if byName[name] == nil {
			byName[name] = &failure{names: []string{name}, nodes: make([]bool, len(nodes))}
		}
		byName[name].nodes[index] = true
	}
	single := make([]failure, 0, len(byName))
	for _, one := range byName {
		single = append(single, *one)
	}
	slices.SortFunc(single, func(a, b failure) int { return cmp.Compare(a.names[0], b.names[0]) })
	return single
}

// combine gives the losses of so many at once, all if there are fewer. Budgets are small.
func combine(single []failure, count int) []failure {
	if count <= 0 || len(single) == 0 {
		return nil
	}
	if count == 1 || len(single) == 1 {
		return single
	}
	var all []failure
	for index, first := range single {
		rest := combine(single[index+1:], count-1)
		for _, other := range rest {
			all = append(all, first.with(other))
		}
	}
	return all
}

func (l *failure) with(other failure) failure {
	both := failure{names: append(slices.Clone(l.names), other.names...), nodes: slices.Clone(other.nodes)}
	for index, lost := range l.nodes {
		both.nodes[index] = both.nodes[index] || lost
	}
	return both
}

func countInterchangeable(nodes []Node, node *Node) int {
	count := 0
	for index := range nodes {
		if interchangeable(&nodes[index], node) {
			count++
		}
	}
	return count
}
