package plan

import (
	"slices"

	"fieldrelay/internal/migration/room"
)

// class is a set of replacements between which the order makes no difference.
type class struct {
	members []Replacement // in the order of the input
}

func (c *class) sample() *Replacement { return &c.members[0] }

// classify sorts the replacements into classes, in the order of the input.
func classify(replacements []Replacement) []class {
	var classes []class
	for _, replacement := range replacements {
		found := slices.IndexFunc(classes, func(candidate class) bool {
			return equivalent(candidate.sample(), &replacement)
		})
		if found < 0 {
			classes = append(classes, class{})
			found = len(classes) - 1
		}
		classes[found].members = append(classes[found].members, replacement)
	}
	return classes
}

func equivalent(a, b *Replacement) bool {
	return a.Surge == b.Surge && a.Times == b.Times && equivalentNodes(&a.Old, &b.Old) && equivalentNodes(&a.New, &b.New)
}

func equivalentNodes(a, b *room.Node) bool {
	return a.Group() == b.Group() && a.Zone == b.Zone && a.Region == b.Region && a.Capacity == b.Capacity &&
		slices.Equal(a.Models, b.Models)
}

// counts tells, by class, how many replacements are made or are made at once.
type counts []uint8

// maxReplacements is the highest number that counts can hold.
const maxReplacements = 255

func (c counts) plus(other counts) counts {
	sum := slices.Clone(c)
	for index, count := range other {
		sum[index] += count
	}
	return sum
}

func (c counts) total() int {
	total := 0
	for _, count := range c {
		total += int(count)
	}
	return total
}

// only keeps the counts of some classes.
func (c counts) project(classes []int) counts {
	kept := make(counts, 0, len(classes))
	for _, index := range classes {
		kept = append(kept, c[index])
	}
	return kept
}

// groupView is a group of serving nodes of which some are replaced.
type groupView struct {
	group   room.Group
	fixed   []room.Node // that are not replaced
	classes []int       // index among all classes
}

// untouchedBy reports whether a stage replaces none of the group.
func (g *groupView) untouchedBy(batch counts) bool {
	for _, index := range g.classes {
		if batch[index] > 0 {
			return false
		}
	}
	return true
}

func groupsOf(input *Input, classes []class) []groupView {
	var groups []groupView
	for index := range classes {
		group := classes[index].sample().Old.Group()
		if group.Kind == room.Core {
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

func fixedNodes(input *Input, group room.Group) []room.Node {
	var fixed []room.Node
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

// phase is a part of a stage with nodes of its own.
type phase uint8

const (
	beforeStage    phase = iota // no stage is under way
	inPlaceRemoved              // what has no place beside is gone, the rest is as before
	surgeTakenOver              // besides, the other replacements have taken over
	afterStage                  // all replacements have
)

// fleet gives the nodes of a group that get new work in a phase of a stage.
func (s *searcher) servingNodes(view *groupView, done, batch counts, at phase) []room.Node {
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

// leaving gives the nodes of a group that have left in a phase of a stage.
func (s *searcher) departedNodes(view *groupView, done, batch counts, at phase) []room.Node {
	var nodes []room.Node
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
