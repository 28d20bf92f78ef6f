package room

// Reread returns the loads as they are after nodes have left: what those kept of prompts is read anew by the
// others. A load's kept prompts are taken to lie with its nodes by their memory.
func Reread(loads []Load, nodes, leaving []Node) []Load {
	changed := make([]Load, 0, len(loads))
	for _, load := range loads {
		own := load.serves(load.Region) && memoryOf(&load, nodes, true) > 0
		if all := memoryOf(&load, nodes, own); all > 0 {
			part := min(memoryOf(&load, leaving, own)/all, 1)
			load.Need[Reading] += load.Saved * part
		}
		changed = append(changed, load)
	}
	return changed
}

// memoryOf is the memory of the nodes that may serve a load, only those of its own region or all.
func memoryOf(load *Load, nodes []Node, own bool) float64 {
	total := 0.0
	for index := range nodes {
		node := &nodes[index]
		if own && node.Region != load.Region {
			continue
		}
		if node.Group() == load.Group && node.holds(load.Model) && load.serves(node.Region) {
			total += node.Capacity[Memory]
		}
	}
	return total
}
