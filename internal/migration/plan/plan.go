package plan

import "slices"

// Make orders the replacements. The error is an *InputError or a *InfeasibleError.
func Make(input Input) (*Plan, error) {
	if err := checkInput(&input); err != nil {
		return nil, err
	}
	s := newSearcher(&input)
	last, complete := s.search()
	if complete {
		return s.planOf(last), nil
	}
	refusal := s.infeasibility(last)
	s.addRemedies(refusal)
	return nil, refusal
}

func (s *searcher) search() (last *step, complete bool) {
	if s.exhaustiveIsAffordable() {
		return s.searchExhaustively()
	}
	return s.searchGreedily()
}

// planOf lists the stages that led to a step.
func (s *searcher) planOf(last *step) *Plan {
	plan := &Plan{Begin: s.input.Begin, End: last.end, Shortest: s.exhaustiveIsAffordable()}
	for current := last; current.parent != nil; current = current.parent {
		stage := Stage{Begin: current.begin, Duration: current.end - current.begin}
		for index, count := range current.batch {
			first := current.parent.done[index]
			stage.Replacements = append(stage.Replacements, s.classes[index].members[first:first+count]...)
		}
		plan.Stages = append(plan.Stages, stage)
	}
	slices.Reverse(plan.Stages)
	return plan
}

// check looks for contradictions in the input.
func checkInput(input *Input) error {
	present := make(map[string]bool)
	for index := range input.Nodes {
		id := input.Nodes[index].ID
		if present[id] {
			return &InputError{Node: id, Reason: "is listed twice"}
		}
		present[id] = true
	}
	if len(input.Replacements) > maxReplacements {
		return &InputError{Node: input.Replacements[maxReplacements].Old.ID, Reason: "is one too many"}
	}
	used := make(map[string]bool)
	for index := range input.Replacements {
		if err := checkReplacement(&input.Replacements[index], present, used); err != nil {
			return err
		}
	}
	return nil
}

func checkReplacement(replacement *Replacement, present, used map[string]bool) error {
	old, next := &replacement.Old, &replacement.New
	switch {
	case !present[old.ID]:
		return &InputError{Node: old.ID, Reason: "is to be replaced, but is not there"}
	case present[next.ID]:
		return &InputError{Node: next.ID, Reason: "is to come, but is there already"}
	case used[old.ID]:
		return &InputError{Node: old.ID, Reason: "is replaced twice"}
	case used[next.ID]:
		return &InputError{Node: next.ID, Reason: "replaces two nodes"}
	case old.Group() != next.Group():
		return &InputError{Node: next.ID, Reason: "is of another kind or service than " + old.ID}
	case !replacement.Surge && old.Zone != next.Zone:
		return &InputError{Node: next.ID, Reason: "is to take the place of a node in another zone"}
	case replacement.Times.Total() <= 0:
		return &InputError{Node: next.ID, Reason: "is to take no time"}
	}
	used[old.ID], used[next.ID] = true, true
	return nil
}

// refusal tells what stands against the stage after the farthest step.
func (s *searcher) infeasibility(farthest *step) *InfeasibleError {
	var best *InfeasibleError
	for index := range s.goal {
		if farthest.done[index] == s.goal[index] {
			continue
		}
		refusal := s.infeasibilityOf(farthest, index)
		if best == nil || refusal.closerToFeasible(best) {
			best = refusal
		}
	}
	return best
}

// infeasibilityOf tells what stands against replacing a node of a class. If nothing does, the search has only failed to
// find its way from there.
func (s *searcher) infeasibilityOf(farthest *step, index int) *InfeasibleError {
	single := make(counts, len(s.goal))
	single[index] = 1
	old := &s.classes[index].members[farthest.done[index]].Old
	refusal := &InfeasibleError{Stage: farthest.stages + 1, Node: old.ID, Region: old.Region, Zone: old.Zone, Violated: ConstraintOrder}
	if _, found := s.extend(farthest, single); found != nil {
		refusal.Violated, refusal.Shortage, refusal.Missing = found.constraint, found.shortage, found.missing
	}
	return refusal
}

// milder reports whether less is lacking than in another refusal, as far as that is known.
func (e *InfeasibleError) closerToFeasible(other *InfeasibleError) bool {
	if e.Violated == ConstraintOrder || other.Violated == ConstraintOrder {
		return e.Violated != ConstraintOrder
	}
	if e.Shortage != nil && other.Shortage != nil {
		return e.Shortage.Fraction < other.Shortage.Fraction
	}
	return e.Shortage == nil && other.Shortage != nil
}
