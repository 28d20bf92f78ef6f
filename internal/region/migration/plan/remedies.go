package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// maxSpares is the largest number of spares that an InfeasibleError proposes: nodes and surge capacity for one node each.
const maxSpares = 4

// addRemedies adds to the error what would make the plan feasible: spare capacity, found by adding one node, or surge
// capacity for one node, at a time where it is missing; and, if there is a window, the begin without a window.
func (s *searcher) addRemedies(infeasible *InfeasibleError) {
	infeasible.FeasibleBegin = s.beginWithoutWindow()
	spares := []Spare{}
	current, remaining := s, infeasible
	for number := range maxSpares {
		spare := current.spareFor(remaining)
		if spare == nil {
			return
		}
		spares = addSpare(spares, *spare)
		current = newSearcher(current.withSpare(remaining, spare, spareID(number)))
		last, complete := current.searchGreedily()
		if complete {
			infeasible.Spares = spares
			return
		}
		remaining = current.infeasibility(last)
	}
}

// firstStage returns the step of the first stage of an order.
func firstStage(last *step) *step {
	for last.parent.parent != nil {
		last = last.parent
	}
	return last
}

// addSpare adds a spare to a list. Spares that differ only in their count share one entry.
func addSpare(spares []Spare, added Spare) []Spare {
	for index := range spares {
		same := spares[index]
		same.Count = added.Count
		if same == added {
			spares[index].Count++
			return spares
		}
	}
	return append(spares, added)
}

func spareID(number int) string { return fmt.Sprintf("(spare %d)", number+1) }

// spareFor proposes one node, or surge capacity for one node, where it is missing; nil if spare capacity would not help.
func (s *searcher) spareFor(infeasible *InfeasibleError) *Spare {
	replacement := s.replacementOf(infeasible.Node)
	old := &replacement.Old
	switch infeasible.Violated {
	case ConstraintCapacity:
		template := s.templateNode(infeasible.Shortage, old)
		return &Spare{Count: 1, Kind: template.Kind, Service: template.Service, Zone: template.Zone}
	case ConstraintSurge:
		return &Spare{Count: 1, Kind: old.Kind, Service: old.Service, Zone: replacement.New.Zone, Surge: true}
	case ConstraintMajority, ConstraintReplicas, ConstraintLastServer:
		if !replacement.Surge {
			return &Spare{Count: 1, Kind: old.Kind, Service: old.Service, Zone: old.Zone, Surge: true}
		}
	}
	return nil
}

// replacementOf returns the replacement of an old node, which must be in the input.
func (s *searcher) replacementOf(id string) *Replacement {
	found := slices.IndexFunc(s.input.Replacements, func(candidate Replacement) bool { return candidate.Old.ID == id })
	return &s.input.Replacements[found]
}

// templateNode returns the node of which a spare is a copy: the largest one in the region with the shortage or, if the
// region has none, the node that is to be replaced.
func (s *searcher) templateNode(shortage *capacity.Shortage, old *capacity.Node) *capacity.Node {
	best := old
	for index := range s.input.Nodes {
		node := &s.input.Nodes[index]
		if node.Group() != shortage.Group || node.Region != shortage.Region {
			continue
		}
		if best.Region != shortage.Region || node.Capacity[shortage.Resource] > best.Capacity[shortage.Resource] {
			best = node
		}
	}
	return best
}

// withSpare returns a copy of the input with a spare node of the given ID, or with the spare surge capacity.
func (s *searcher) withSpare(infeasible *InfeasibleError, spare *Spare, id string) *Input {
	input := *s.input
	if !spare.Surge {
		node := *s.templateNode(infeasible.Shortage, &s.replacementOf(infeasible.Node).Old)
		node.ID = id
		input.Nodes = append(slices.Clone(input.Nodes), node)
		return &input
	}
	if pool := (SurgePool{Zone: spare.Zone, Kind: spare.Kind}); infeasible.Violated == ConstraintSurge {
		input.SurgeCapacity = maps.Clone(input.SurgeCapacity)
		input.SurgeCapacity[pool]++
		return &input
	}
	input.Replacements = slices.Clone(input.Replacements)
	for index := range input.Replacements {
		old := &input.Replacements[index].Old
		if old.Zone == spare.Zone && old.Group() == (capacity.Group{Kind: spare.Kind, Service: spare.Service}) {
			input.Replacements[index].Surge = true
		}
	}
	return &input
}

// beginWithoutWindow returns the begin of the first stage with an unlimited window; nil if no plan is feasible with it
// either, or if there is no window.
func (s *searcher) beginWithoutWindow() *time.Duration {
	if s.input.Window <= 0 {
		return nil
	}
	unlimited := *s.input
	unlimited.Window = 0
	last, complete := newSearcher(&unlimited).search()
	if !complete {
		return nil
	}
	return &firstStage(last).begin
}
