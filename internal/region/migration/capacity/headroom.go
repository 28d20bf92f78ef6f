package capacity

import "slices"

// Headroom is the capacity that must stay free beyond the demand.
type Headroom struct {
	// Margin is the capacity reserved for bursts while no node has failed, as a fraction of the demand.
	Margin float64
	// Hosts, Zones and Regions are the fault budget. The failure of that many hosts, of that many zones, or of that
	// many regions, but not of all three kinds together, must leave capacity for the demand without the margin.
	Hosts, Zones, Regions int
}

// Check returns the worst shortage of a group, by the fraction of a load that cannot be served, or nil if there is
// enough capacity. Nodes and loads of other groups are ignored.
func (h Headroom) Check(group Group, nodes []Node, loads []Load) *Shortage {
	nodes = slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Group() != group })
	loads = slices.DeleteFunc(slices.Clone(loads), func(load Load) bool { return load.Group != group })
	worst := allocate(nodes, nil, loads, 1+h.Margin)
	for _, failure := range h.failures(nodes) {
		found := allocate(nodes, failure.failed, loads, 1)
		if found != nil && (worst == nil || found.Fraction > worst.Fraction) {
			found.Lost = failure.names
			worst = found
		}
	}
	return worst
}
