package plan

import (
	"slices"
)

// Make returns a plan for all replacements of the input. The error is an *InputError, or an *InfeasibleError if no order
// was found. If the search was not exhaustive (see Plan.Shortest), a feasible order may exist nevertheless.
func Make(input Input) (*Plan, error) {
	if err := checkInput(&input); err != nil {
		return nil, err
	}
	s := newSearcher(&input)
	last, complete := s.search()
	if complete {
		return s.planOf(last), nil
	}
	infeasible := s.infeasibility(last)
	s.addRemedies(infeasible)
	return nil, infeasible
}

// search returns the last step of an order, or, if it found none, the step with the most replacements done.
func (s *searcher) search() (last *step, complete bool) {
	if s.exhaustiveIsAffordable() {
		return s.searchExhaustively()
	}
	return s.searchGreedily()
}

// planOf returns the plan with the stages that lead to a step.
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
