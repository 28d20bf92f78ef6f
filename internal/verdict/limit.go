package verdict

// room tells whether one more node may be under verdict.
func (j *Evaluator) hasCapacity(node Node) bool {
	if j.cfg.Mutate == NoCap {
		return true
	}
	all, zone := 0, 0
	for _, s := range j.verdicts {
		if s.stage < stagePast {
			all++
			if s.node.Zone == node.Zone {
				zone++
			}
		}
	}
	return all < j.maxAvoided(len(j.nodes), minNodes) && zone < j.maxAvoided(j.zones[node.Zone], minNodesInZone)
}

// Where fewer are listed none is condemned.
const minNodes, minNodesInZone = 3, 2

// most is how many of some nodes may be under verdict.
func (j *Evaluator) maxAvoided(nodes, least int) int {
	if nodes < least {
		return 0
	}
	return max(1, nodes*j.cfg.MostPct/100)
}

// shrink lets the latest go where the list has become too short for so many.
func (j *Evaluator) enforceCap() {
	for {
		var latest *verdict
		name, all := "", 0
		for n, s := range j.verdicts {
			if s.stage >= stagePast {
				continue
			}
			all++
			if latest == nil || s.condemnedAt > latest.condemnedAt || s.condemnedAt == latest.condemnedAt && n > name {
				latest, name = s, n
			}
		}
		if all <= j.maxAvoided(len(j.nodes), minNodes) {
			return
		}
		delete(j.verdicts, name)
		j.out = append(j.out, LogEntry{Node: name, Event: "back: few are listed"})
	}
}
