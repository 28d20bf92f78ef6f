package execute

import (
	"slices"

	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// mayCordon reports whether the old node of a task can be spared now, with the margin that a plan leaves.
func (r *transition) mayCordon(index int) bool {
	replacement := r.replacement(index)
	if replacement.Old.Kind == room.Core {
		return r.mayExchange(index, replacement)
	}
	return r.canSpare(index, &replacement.Old, r.config.Headroom)
}

// mayDrainNew reports whether the new node of a task can be spared on the way back. No margin is asked for.
func (r *transition) mayDrainNew(index int) bool {
	replacement := r.replacement(index)
	if replacement.New.Kind == room.Core {
		return true
	}
	return r.canSpare(index, &replacement.New, r.withoutMargin())
}

// bare is the bound without its margin.
func (r *transition) withoutMargin() room.Headroom {
	bound := r.config.Headroom
	bound.Margin = 0
	return bound
}

// canSpare reports whether the rest serves the demand without a node. One that does not serve takes nothing away.
func (r *transition) canSpare(index int, node *room.Node, bound room.Headroom) bool {
	if !slices.ContainsFunc(r.observation.Fleet, func(one room.Node) bool { return one.ID == node.ID }) {
		return true
	}
	if r.hadShortage && r.now-r.lastShortageAt < r.config.ShortageBackoff {
		r.block(index, BlockShortageBackoff, nil)
		return false
	}
	withheld := append(r.cordoned(), node.ID)
	serving := r.serving(withheld)
	if r.isLast(node, serving) {
		r.block(index, BlockLastServer, nil)
		return false
	}
	leaving := slices.Clone(r.observation.Fleet)
	leaving = slices.DeleteFunc(leaving, func(one room.Node) bool { return !slices.Contains(withheld, one.ID) })
	loads := room.AddLostCachePrefill(r.observation.Loads, r.observation.Fleet, leaving)
	if shortage := bound.Check(node.Group(), serving, loads); shortage != nil {
		r.block(index, BlockCapacity, shortage)
		return false
	}
	return true
}

// withheld lists the nodes that the next state withholds.
func (r *transition) cordoned() []string {
	derived := r.next.clone()
	derived.derive(r.config.Plan)
	return derived.Cordoned
}

// serving gives the nodes that get new work while some are withheld.
func (r *transition) serving(withheld []string) []room.Node {
	return slices.DeleteFunc(slices.Clone(r.observation.Fleet), func(node room.Node) bool {
		return slices.Contains(withheld, node.ID)
	})
}

// isLast reports whether no other node of the group serves in a node's zone, though the zone is to keep one.
func (r *transition) isLast(node *room.Node, serving []room.Node) bool {
	sameZone := func(other *room.Node) bool { return other.Group() == node.Group() && other.Zone == node.Zone }
	if slices.ContainsFunc(serving, func(other room.Node) bool { return sameZone(&other) }) {
		return false
	}
	for _, stage := range r.config.Plan.Stages {
		if slices.ContainsFunc(stage.Replacements, func(one plan.Replacement) bool { return sameZone(&one.New) }) {
			return true
		}
	}
	return false
}

// mayExchange reports whether a voter can be exchanged now.
func (r *transition) mayExchange(index int, replacement *plan.Replacement) bool {
	in := plan.Voter{ID: replacement.New.ID, Zone: replacement.New.Zone}
	obstacle, _ := r.observation.Core.CheckExchange(replacement.Old.ID, in, replacement.Surge)
	if obstacle != 0 || !r.observation.CoreConverged {
		r.block(index, BlockCore, nil)
		return false
	}
	return true
}

// relieve gives nodes back, the last one first, as long as a group is short of room without its margin. It does
// not ask which of them helps: while a group is short anywhere, nothing of it is taken away.
func (r *transition) resolveShortages() {
	for _, group := range r.groups() {
		shortage := r.shortage(group)
		if shortage == nil {
			continue
		}
		r.hadShortage, r.lastShortageAt = true, r.now
		r.block(wholeStage, BlockCapacity, shortage)
		for index := len(r.next.Tasks) - 1; index >= 0 && shortage != nil; index-- {
			if r.canUncordon(index, group) {
				r.uncordon(index)
				shortage = r.shortage(group)
			}
		}
	}
}

// shortage is what a group lacks now, without its margin.
func (r *transition) shortage(group room.Group) *room.Shortage {
	return r.withoutMargin().Check(group, r.serving(r.cordoned()), r.observation.Loads)
}

func (r *transition) groups() []room.Group {
	var groups []room.Group
	for index := range r.next.Tasks {
		group := r.replacement(index).Old.Group()
		if group.Kind != room.Core && !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	return groups
}

// canUncordon reports whether a task withholds a node of a group that could serve at once.
func (r *transition) canUncordon(index int, group room.Group) bool {
	replacement := r.replacement(index)
	id := ""
	switch r.next.Tasks[index].Phase {
	case Cordoning, Draining:
		id = replacement.Old.ID
	case RollbackDraining:
		id = replacement.New.ID
	}
	return slices.ContainsFunc(r.observation.Fleet, func(node room.Node) bool {
		return node.ID == id && node.Group() == group
	})
}
