package plan

import (
	"slices"

	"fieldrelay/internal/region/migration/capacity"
)

// groupView is a group of serving nodes, some of which are to be replaced.
type groupView struct {
	group   capacity.Group
	fixed   []capacity.Node // nodes that are not replaced
	classes []int           // indexes of the classes of the group's replacements
}

// unaffectedBy reports whether a stage replaces no node of the group.
func (g *groupView) unaffectedBy(batch counts) bool {
	for _, index := range g.classes {
		if batch[index] > 0 {
			return false
		}
	}
	return true
}

// groupsOf returns the groups with nodes to be replaced. Core machines serve no requests and are in no group.
func groupsOf(input *Input, classes []class) []groupView {
	var groups []groupView
	for index := range classes {
		group := classes[index].sample().Old.Group()
		if group.Kind == capacity.Core {
			continue
		}
		found := slices.IndexFunc(groups, func(candidate groupView) bool { return candidate.group == group })
		if found < 0 {
			groups = append(groups, groupView{group: group, fixed: fixedNodes(input, group)})
			found = len(groups) - 1
		}
		groups[found].classes = append(groups[found].classes, index)
	}
	return groups
}

// fixedNodes returns the nodes of a group that are not replaced.
func fixedNodes(input *Input, group capacity.Group) []capacity.Node {
	var fixed []capacity.Node
	for _, node := range input.Nodes {
		replaced := slices.ContainsFunc(input.Replacements, func(replacement Replacement) bool {
			return replacement.Old.ID == node.ID
		})
		if node.Group() == group && !replaced {
			fixed = append(fixed, node)
		}
	}
	return fixed
}

// phase is a part of a stage, distinguished by the nodes that get new requests. Each phase is checked as if it lasted from
// the beginning of the stage to its end.
type phase uint8

const (
	beforeStage    phase = iota // the stage has not begun
	inPlaceRemoved              // the old nodes that are replaced in place have been removed; the other nodes are as before
	surgeTakenOver              // in addition, the new nodes of surge replacements serve instead of their old ones
	afterStage                  // all new nodes of the stage serve
)

// servingNodes returns the nodes of a group that get new requests in a phase of a stage.
func (s *searcher) servingNodes(view *groupView, done, batch counts, at phase) []capacity.Node {
	nodes := slices.Clone(view.fixed)
	for _, index := range view.classes {
		for position, member := range s.classes[index].members {
			inStage := position >= int(done[index]) && position < int(done[index]+batch[index])
			switch {
			case position < int(done[index]), inStage && at == afterStage, inStage && at == surgeTakenOver && member.Surge:
				nodes = append(nodes, member.New)
			case inStage && !member.Surge && at != beforeStage:
			default:
				nodes = append(nodes, member.Old)
			}
		}
	}
	return nodes
}

// departedNodes returns the old nodes of a stage, of one group, that no longer serve in a phase of the stage.
func (s *searcher) departedNodes(view *groupView, done, batch counts, at phase) []capacity.Node {
	var nodes []capacity.Node
	for _, index := range view.classes {
		members := s.classes[index].members[done[index] : done[index]+batch[index]]
		for _, member := range members {
			if !member.Surge || at != inPlaceRemoved {
				nodes = append(nodes, member.Old)
			}
		}
	}
	return nodes
}
