package capacity

// AddLostCachePrefill returns the loads after the departure of nodes: the other nodes must prefill the prompt prefixes
// that were cached on the departing ones again, which adds to the prefill rate of each load. The cached prefixes of a load
// are assumed to be distributed over its nodes in proportion to their memory; if nodes of its own region may serve it, over
// these only. nodes includes the departing nodes.
func AddLostCachePrefill(loads []Load, nodes, departing []Node) []Load {
	changed := make([]Load, 0, len(loads))
	for _, load := range loads {
		inOwnRegion := load.allowsRegion(load.Region) && memoryFor(&load, nodes, true) > 0
		if total := memoryFor(&load, nodes, inOwnRegion); total > 0 {
			lost := min(memoryFor(&load, departing, inOwnRegion)/total, 1)
			load.Required[Prefill] += load.CachedPrefill * lost
		}
		changed = append(changed, load)
	}
	return changed
}

// memoryFor sums the memory of the nodes that may serve a load, in its own region only or in all regions.
func memoryFor(load *Load, nodes []Node, inOwnRegion bool) float64 {
	total := 0.0
	for index := range nodes {
		node := &nodes[index]
		if inOwnRegion && node.Region != load.Region {
			continue
		}
		if node.Group() == load.Group && node.servesModel(load.Model) && load.allowsRegion(node.Region) {
			total += node.Capacity[Memory]
		}
	}
	return total
}
