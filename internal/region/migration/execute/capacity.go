package execute

import (
	"slices"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

// mayCordon reports whether the old node of a task can be cordoned now: without it the headroom of the plan remains, or the
// voters permit the exchange of the core machine.
func (t *transition) mayCordon(index int) bool {
	replacement := t.replacement(index)
	if replacement.Old.Kind == capacity.Core {
		return t.mayExchange(index, replacement)
	}
	return t.canSpare(index, &replacement.Old, t.config.Headroom)
}

// mayDrainNew reports whether the new node of a task can be cordoned now for a rollback. The margin is not required.
func (t *transition) mayDrainNew(index int) bool {
	replacement := t.replacement(index)
	if replacement.New.Kind == capacity.Core {
		return true
	}
	return t.canSpare(index, &replacement.New, t.withoutMargin())
}

// withoutMargin returns the headroom of the plan without its margin for bursts.
func (t *transition) withoutMargin() capacity.Headroom {
	headroom := t.config.Headroom
	headroom.Margin = 0
	return headroom
}

// canSpare reports whether the other nodes can serve the demand without a node, including the repeated prefill of the
// prefixes that are cached there. A node that does not serve can always be spared.
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

// serving returns the observed nodes without the cordoned ones.
func (t *transition) serving(cordoned []string) []capacity.Node {
	return slices.DeleteFunc(slices.Clone(t.observation.Fleet), func(node capacity.Node) bool {
		return slices.Contains(cordoned, node.ID)
	})
}

// isLast reports whether no other node of the group serves in the zone of a node, although the zone is to keep one: the
// plan has a new node of the group in it.
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

// resolveShortages uncordons nodes, the last task first, as long as their group is short of capacity even without the
// margin. It does not check which node would help, since a group with any shortage must not give up capacity.
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

// shortage returns the worst shortage of a group in the next state, without the margin, or nil.
func (t *transition) shortage(group capacity.Group) *capacity.Shortage {
	return t.withoutMargin().Check(group, t.serving(t.cordoned()), t.observation.Loads)
}

// groups returns the groups, except core machines, of the nodes that the stage replaces.
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
