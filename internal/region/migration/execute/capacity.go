package execute

import (
	"slices"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

// mayCordon reports whether the old node of a task can be spared now, with the headroom of the plan.
func (t *transition) mayCordon(index int) bool {
	replacement := t.replacement(index)
	if replacement.Old.Kind == capacity.Core {
		return t.mayExchange(index, replacement)
	}
	return t.canSpare(index, &replacement.Old, t.config.Headroom)
}

// mayDrainNew reports whether the new node of a task can be spared for a rollback. No margin is required.
func (t *transition) mayDrainNew(index int) bool {
	replacement := t.replacement(index)
	if replacement.New.Kind == capacity.Core {
		return true
	}
	return t.canSpare(index, &replacement.New, t.withoutMargin())
}

// withoutMargin returns the headroom without its margin for bursts.
func (t *transition) withoutMargin() capacity.Headroom {
	headroom := t.config.Headroom
	headroom.Margin = 0
	return headroom
}

// canSpare reports whether the other nodes serve the demand without a node, and prefill anew what was cached there. A
// node that does not serve can always be spared.
func (t *transition) canSpare(index int, node *capacity.Node, headroom capacity.Headroom) bool {
	if !slices.ContainsFunc(t.observation.Fleet, func(candidate capacity.Node) bool { return candidate.ID == node.ID }) {
		return true
	}
	if t.hadShortage && t.now-t.lastShortageAt < t.config.ShortageBackoff {
		t.block(index, BlockShortageBackoff, nil)
		return false
	}
	cordoned := append(t.cordoned(), node.ID)
	serving := t.serving(cordoned)
	if t.isLast(node, serving) {
		t.block(index, BlockLastServer, nil)
		return false
	}
	departing := slices.Clone(t.observation.Fleet)
	departing = slices.DeleteFunc(departing, func(candidate capacity.Node) bool { return !slices.Contains(cordoned, candidate.ID) })
	loads := capacity.AddLostCachePrefill(t.observation.Loads, t.observation.Fleet, departing)
	if shortage := headroom.Check(node.Group(), serving, loads); shortage != nil {
		t.block(index, BlockCapacity, shortage)
		return false
	}
	return true
}

// cordoned returns the nodes that the next state cordons.
func (t *transition) cordoned() []string {
	derived := t.next.clone()
	derived.derive(t.config.Plan)
	return derived.Cordoned
}

// serving returns the nodes that get new requests while some are cordoned.
func (t *transition) serving(cordoned []string) []capacity.Node {
	return slices.DeleteFunc(slices.Clone(t.observation.Fleet), func(node capacity.Node) bool {
		return slices.Contains(cordoned, node.ID)
	})
}

// isLast reports whether a node is the last of its group that serves in its zone, and the zone is to keep one: new nodes of
// the plan are in it.
func (t *transition) isLast(node *capacity.Node, serving []capacity.Node) bool {
	sameZone := func(other *capacity.Node) bool { return other.Group() == node.Group() && other.Zone == node.Zone }
	if slices.ContainsFunc(serving, func(other capacity.Node) bool { return sameZone(&other) }) {
		return false
	}
	for _, stage := range t.config.Plan.Stages {
		if slices.ContainsFunc(stage.Replacements, func(replacement plan.Replacement) bool { return sameZone(&replacement.New) }) {
			return true
		}
	}
	return false
}

// resolveShortages uncordons nodes, the last task first, for as long as their group is short of capacity without the
// margin. It does not ask which of them helps: no capacity is taken from a group that is short anywhere.
func (t *transition) resolveShortages() {
	for _, group := range t.groups() {
		shortage := t.shortage(group)
		if shortage == nil {
			continue
		}
		t.hadShortage, t.lastShortageAt = true, t.now
		t.block(stageWide, BlockCapacity, shortage)
		for index := len(t.next.Tasks) - 1; index >= 0 && shortage != nil; index-- {
			if t.canUncordon(index, group) {
				t.uncordon(index)
				shortage = t.shortage(group)
			}
		}
	}
}

// shortage returns the shortage of a group in the next state, without the margin, or nil.
func (t *transition) shortage(group capacity.Group) *capacity.Shortage {
	return t.withoutMargin().Check(group, t.serving(t.cordoned()), t.observation.Loads)
}

// groups returns the groups of serving nodes of which the stage replaces some.
func (t *transition) groups() []capacity.Group {
	var groups []capacity.Group
	for index := range t.next.Tasks {
		group := t.replacement(index).Old.Group()
		if group.Kind != capacity.Core && !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups
}

// canUncordon reports whether a task cordons a node of a group that could serve at once.
func (t *transition) canUncordon(index int, group capacity.Group) bool {
	replacement := t.replacement(index)
	id := ""
	switch t.next.Tasks[index].Phase {
	case Cordoning, Draining:
		id = replacement.Old.ID
	case RollbackDraining:
		id = replacement.New.ID
	}
	return slices.ContainsFunc(t.observation.Fleet, func(node capacity.Node) bool {
		return node.ID == id && node.Group() == group
	})
}
