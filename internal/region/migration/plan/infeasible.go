package plan

// infeasibility returns the error that explains why no stage follows the farthest step. It is about the replacement that
// is closest to feasible.
func (s *searcher) infeasibility(farthest *step) *InfeasibleError {
	var best *InfeasibleError
	for index := range s.goal {
		if farthest.done[index] == s.goal[index] {
			continue
		}
		candidate := s.infeasibilityOf(farthest, index)
		if best == nil || candidate.closerToFeasible(best) {
			best = candidate
		}
	}
	return best
}

// infeasibilityOf returns the error that explains why no node of a class can be replaced after the farthest step. If no
// constraint is violated, the search found no order that continues from that step.
func (s *searcher) infeasibilityOf(farthest *step, index int) *InfeasibleError {
	single := make(counts, len(s.goal))
	single[index] = 1
	old := &s.classes[index].members[farthest.done[index]].Old
	infeasible := &InfeasibleError{Stage: farthest.stages + 1, Node: old.ID, Region: old.Region, Zone: old.Zone, Violated: ConstraintOrder}
	if _, found := s.extend(farthest, single); found != nil {
		infeasible.Violated, infeasible.Shortage, infeasible.Missing = found.constraint, found.shortage, found.missing
	}
	return infeasible
}

// closerToFeasible reports whether less capacity is missing than for another error, as far as that is known.
func (e *InfeasibleError) closerToFeasible(other *InfeasibleError) bool {
	if e.Violated == ConstraintOrder || other.Violated == ConstraintOrder {
		return e.Violated != ConstraintOrder
	}
	if e.Shortage != nil && other.Shortage != nil {
		return e.Shortage.Fraction < other.Shortage.Fraction
	}
	return e.Shortage == nil && other.Shortage != nil
}

// newInfeasible returns the error for the stage with an index that violates a constraint.
func newInfeasible(index int, stage *Stage, found *violation) error {
	old := &stage.Replacements[0].Old
	return &InfeasibleError{
		Stage:    index + 1,
		Node:     old.ID,
		Region:   old.Region,
		Zone:     old.Zone,
		Violated: found.constraint,
		Shortage: found.shortage,
		Missing:  found.missing,
	}
}
