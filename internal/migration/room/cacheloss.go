package room

// AddLostCachePrefill returns the loads as they are after nodes have left: what those kept of prompts is read anew by the
// others. A load's kept prompts are taken to lie with its nodes by their memory.
func AddLostCachePrefill(loads []Load, nodes, leaving []Node) []Load {
	changed := make([]Load, 0, len(loads))
	for _, load := range loads {
		own := load.allowsRegion(load.Region) && memoryFor(&load, nodes, true) > 0
		if all := memoryFor(&load, nodes, own); all > 0 {
			part := min(memoryFor(&load, leaving, own)/all, 1)
			load.Required[Prefill] += load.CachedPrefill * part
		}
		changed = append(changed, load)
	}
	return changed
}

// memoryFor is the memory of the nodes that may serve a load, only those of its own region or all.
func memoryFor(load *Load, nodes []Node, sameRegionOnly bool) float64 {
	total := 0.0
	for index := range nodes {
		node := &nodes[index]
		if sameRegionOnly && node.Region != load.Region {
			continue
		}
		if node.Group() == load.Group && node.servesModel(load.Model) && load.allowsRegion(node.Region) {
			total += node.Capacity[Memory]
		}
	}
	return total
}
