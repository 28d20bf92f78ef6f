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
	Need     float64  // of the resource, by the whole load
	Lacking  float64  // of the resource
	Part     float64  // of the load that finds no room, up to 1
	Lost     []string // the nodes, zones or regions whose loss leaves this shortage; empty: none is needed
}

func (s *Shortage) String() string {
	text := fmt.Sprintf("%s in %s lacks %.4g of %.4g %s", s.Group, s.Region, s.Lacking, s.Need, s.Resource)
	if s.Model != "" {
		text += " for model " + s.Model
	}
	if len(s.Lost) > 0 {
		text += " if " + strings.Join(s.Lost, " and ") + " is lost"
	}
	return text
}

// Bound is what must stay free beside the demand.
type Bound struct {
	Margin float64 // for bursts, as a part of the demand, while nothing is lost
	// Hosts, Zones and Regions may be lost, each number by itself, and the demand without its margin still fits.
	Hosts, Zones, Regions int
}

// Check returns the worst shortage of a group, or nil if there is room. Nodes and loads of other groups are
// passed over.
func (b Bound) Check(group Group, nodes []Node, loads []Load) *Shortage {
	nodes = slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Group() != group })
	loads = slices.DeleteFunc(slices.Clone(loads), func(load Load) bool { return load.Group != group })
	worst := fit(nodes, nil, loads, 1+b.Margin)
	for _, loss := range b.losses(nodes) {
		found := fit(nodes, loss.nodes, loads, 1)
		if found != nil && (worst == nil || found.Part > worst.Part) {
			found.Lost = loss.names
			worst = found
		}
	}
	return worst
}

// loss is a set of nodes that go at once.
type loss struct {
	names []string
	nodes []bool // by index
}

// losses gives every loss within the budget, but for those that are like another one.
func (b Bound) losses(nodes []Node) []loss {
	var all []loss
	all = append(all, combine(hosts(nodes, b.Hosts), b.Hosts)...)
	all = append(all, combine(places(nodes, func(node *Node) string { return node.Zone }), b.Zones)...)
	all = append(all, combine(places(nodes, func(node *Node) string { return node.Region }), b.Regions)...)
	return all
}

// hosts gives the loss of each node by itself. Of nodes that demand sees no difference between, as many are
// enough as may be lost at once.
func hosts(nodes []Node, count int) []loss {
	var single []loss
	for index := range nodes {
		if countAlike(nodes[:index], &nodes[index]) >= count {
			continue
		}
		one := loss{names: []string{nodes[index].ID}, nodes: make([]bool, len(nodes))}
		one.nodes[index] = true
		single = append(single, one)
	}
	return single
}

// places gives the loss of each zone or region by itself.
func places(nodes []Node, placeOf func(*Node) string) []loss {
	byName := make(map[string]*loss)
	for index := range nodes {
		name := placeOf(&nodes[index])
		if byName[name] == nil {
			byName[name] = &loss{names: []string{name}, nodes: make([]bool, len(nodes))}
		}
		byName[name].nodes[index] = true
	}
	single := make([]loss, 0, len(byName))
	for _, one := range byName {
		single = append(single, *one)
	}
	slices.SortFunc(single, func(a, b loss) int { return cmp.Compare(a.names[0], b.names[0]) })
	return single
}

// combine gives the losses of so many at once, all if there are fewer. Budgets are small.
func combine(single []loss, count int) []loss {
	if count <= 0 || len(single) == 0 {
		return nil
	}
	if count == 1 || len(single) == 1 {
		return single
	}
	var all []loss
	for index, first := range single {
		rest := combine(single[index+1:], count-1)
		for _, other := range rest {
			all = append(all, first.with(other))
		}
	}
	return all
}

func (l *loss) with(other loss) loss {
	both := loss{names: append(slices.Clone(l.names), other.names...), nodes: slices.Clone(other.nodes)}
	for index, lost := range l.nodes {
		both.nodes[index] = both.nodes[index] || lost
	}
	return both
}

func countAlike(nodes []Node, node *Node) int {
	count := 0
	for index := range nodes {
		if alike(&nodes[index], node) {
			count++
		}
	}
	return count
}
