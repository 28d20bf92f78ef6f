package plan

import (
	"fmt"
	"maps"
	"slices"

	"fieldrelay/internal/migration/room"
)

// maxSpares is the largest number of spare nodes and places that a refusal proposes.
const maxSpares = 4

// addRemedies looks for spare capacity that would do, one node or place after the other at what is lacking, and,
// if there is a window, for a later hour.
func (s *searcher) addRemedies(refusal *InfeasibleError) {
	if s.input.Window > 0 {
		later := *s.input
		later.Window = 0
		if last, complete := newSearcher(&later).search(); complete {
			begin := firstStage(last).begin
			refusal.FeasibleBegin = &begin
		}
	}
	spares := []Spare{}
	current, lacking := s, refusal
	for number := range maxSpares {
		spare := current.spareFor(lacking)
		if spare == nil {
			return
		}
		spares = addSpare(spares, *spare)
		current = newSearcher(current.withSpare(lacking, spare, spareID(number)))
		last, complete := current.searchGreedily()
		if complete {
			refusal.Spares = spares
			return
		}
		lacking = current.infeasibility(last)
	}
}

func firstStage(last *step) *step {
	for last.parent.parent != nil {
		last = last.parent
	}
	return last
}

func addSpare(spares []Spare, one Spare) []Spare {
	for index := range spares {
		same := spares[index]
		same.Count = one.Count
		if same == one {
			spares[index].Count++
			return spares
		}
	}
	return append(spares, one)
}

func spareID(number int) string { return fmt.Sprintf("(spare %d)", number+1) }

// spareFor proposes one node or place where it is lacking; nil if capacity would not help.
func (s *searcher) spareFor(refusal *InfeasibleError) *Spare {
	replacement := s.replacementOf(refusal.Node)
	old := &replacement.Old
	switch refusal.Violated {
	case ConstraintCapacity:
		model := s.templateNode(refusal.Shortage, old)
		return &Spare{Count: 1, Kind: model.Kind, Service: model.Service, Zone: model.Zone}
	case ConstraintSurge:
		return &Spare{Count: 1, Kind: old.Kind, Service: old.Service, Zone: replacement.New.Zone, Surge: true}
	case ConstraintMajority, ConstraintReplicas, ConstraintLastServer:
		if !replacement.Surge {
			return &Spare{Count: 1, Kind: old.Kind, Service: old.Service, Zone: old.Zone, Surge: true}
		}
	}
	return nil
}

func (s *searcher) replacementOf(id string) *Replacement {
	found := slices.IndexFunc(s.input.Replacements, func(one Replacement) bool { return one.Old.ID == id })
	return &s.input.Replacements[found]
}

// templateNode is the largest node in the region that is short, or the node that is to be replaced.
func (s *searcher) templateNode(shortage *room.Shortage, old *room.Node) *room.Node {
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

// withSpare returns the input with a spare node or place.
func (s *searcher) withSpare(refusal *InfeasibleError, spare *Spare, id string) *Input {
	input := *s.input
	if !spare.Surge {
		node := *s.templateNode(refusal.Shortage, &s.replacementOf(refusal.Node).Old)
		node.ID = id
		input.Nodes = append(slices.Clone(input.Nodes), node)
		return &input
	}
	if place := (SurgePool{Zone: spare.Zone, Kind: spare.Kind}); refusal.Violated == ConstraintSurge {
		input.SurgeCapacity = maps.Clone(input.SurgeCapacity)
		input.SurgeCapacity[place]++
		return &input
	}
	input.Replacements = slices.Clone(input.Replacements)
	for index := range input.Replacements {
		old := &input.Replacements[index].Old
		if old.Zone == spare.Zone && old.Group() == (room.Group{Kind: spare.Kind, Service: spare.Service}) {
			input.Replacements[index].Surge = true
		}
	}
	return &input
}
