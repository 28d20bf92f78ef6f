package verdict

// hasCapacity reports whether the caps for the whole list and for the node's zone allow one more node under verdict.
func (e *Evaluator) hasCapacity(node Node) bool {
	if e.cfg.Mutate == NoCap {
		return true
	}
	all, zone := 0, 0
	for _, s := range e.verdicts {
		if s.stage < stagePast {
			all++
			if s.node.Zone == node.Zone {
				zone++
			}
		}
	}
	return all < e.maxAvoided(len(e.nodes), minNodes) && zone < e.maxAvoided(e.zones[node.Zone], minNodesInZone)
}

// With fewer listed nodes than these, in total and in a zone, no node is avoided.
const minNodes, minNodesInZone = 3, 2

// maxAvoided returns how many of a number of nodes may be under verdict: none if there are fewer than least, else at least
// one.
func (e *Evaluator) maxAvoided(nodes, least int) int {
	if nodes < least {
		return 0
	}
	return max(1, nodes*e.cfg.MaxPercent/100)
}

// enforceCap ends the latest verdicts if the list has become too short for the number of nodes under verdict.
func (e *Evaluator) enforceCap() {
	for {
		var latest *verdict
		name, all := "", 0
		for n, s := range e.verdicts {
			if s.stage >= stagePast {
				continue
			}
			all++
			if latest == nil || s.avoidedAt > latest.avoidedAt || s.avoidedAt == latest.avoidedAt && n > name {
				latest, name = s, n
			}
		}
		if all <= e.maxAvoided(len(e.nodes), minNodes) {
			return
		}
		delete(e.verdicts, name)
		e.out = append(e.out, LogEntry{Node: name, Event: "back: few are listed"})
	}
}
