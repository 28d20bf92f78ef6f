package plan

import (
	"slices"
)

// Verify checks stages that were read from a file. The error is an *InputError if they do not contain every replacement
// of the input exactly once, or an *InfeasibleError for the first stage that violates a constraint. Stages may begin later
// than they could.
func Verify(input Input, stages []Stage) error {
	if err := checkInput(&input); err != nil {
		return err
	}
	s := newSearcher(&input)
	current := &step{done: make(counts, len(s.goal)), end: input.Begin}
	planned := make(map[string]bool)
	for index := range stages {
		next, err := s.verifyStage(current, index, &stages[index], planned)
		if err != nil {
			return err
		}
		current = next
	}
	if !slices.Equal(current.done, s.goal) {
		return &InputError{Node: s.firstUnplanned(planned), Reason: "is in no stage"}
	}
	return nil
}

// batchOf counts the replacements of a stage by class, and records them in planned.
func (s *searcher) batchOf(stage *Stage, planned map[string]bool) (counts, error) {
	batch := make(counts, len(s.goal))
	for _, replacement := range stage.Replacements {
		id := replacement.Old.ID
		index := slices.IndexFunc(s.classes, func(candidate class) bool {
			return slices.ContainsFunc(candidate.members, func(member Replacement) bool { return member.Old.ID == id })
		})
		if index < 0 || planned[id] {
			return nil, &InputError{Node: id, Reason: "is in a stage without a replacement, or in more than one place"}
		}
		planned[id] = true
		batch[index]++
	}
	return batch, nil
}

// firstUnplanned returns the old node of the first replacement that is in no stage.
func (s *searcher) firstUnplanned(planned map[string]bool) string {
	for index := range s.input.Replacements {
		if id := s.input.Replacements[index].Old.ID; !planned[id] {
			return id
		}
	}
	return ""
}

// verifyStage checks a stage that follows a step, and returns the step with it. It moves the end of the given step to the
// begin of the stage, since nothing is replaced between them.
func (s *searcher) verifyStage(current *step, index int, stage *Stage, planned map[string]bool) (*step, error) {
	batch, err := s.batchOf(stage, planned)
	if err != nil {
		return nil, err
	}
	if batch.total() == 0 {
		return nil, &InputError{Reason: "is missing: a stage contains no replacement"}
	}
	current.end = max(current.end, stage.Begin)
	next, found := s.extend(current, batch)
	if next != nil && next.begin != current.end { // the stage is feasible, but only later
		shortage := s.worstShortage(current.done, batch, current.end, current.end+s.duration(batch))
		found = &violation{constraint: ConstraintCapacity, shortage: shortage}
	}
	if !s.withinPoolLimits(batch) {
		found = &violation{constraint: ConstraintBatchSize}
	}
	if found != nil {
		return nil, newInfeasible(index, stage, found)
	}
	return next, nil
}
