package plan

import "slices"

// Verify checks stages that were read from a file: the error is an *InputError if they do not make every
// replacement of the input once, or a *InfeasibleError for the first stage that is not safe. Stages may begin later
// than they could.
func Verify(input Input, stages []Stage) error {
	if err := checkInput(&input); err != nil {
		return err
	}
	s := newSearcher(&input)
	current := &step{done: make(counts, len(s.goal)), end: input.Begin}
	made := make(map[string]bool)
	for number, stage := range stages {
		batch, err := s.batchOf(&stage, made)
		if err != nil {
			return err
		}
		if batch.total() == 0 {
			return &InputError{Reason: "is missing in an empty stage"}
		}
		current.end = max(current.end, stage.Begin)
		next, found := s.extend(current, batch)
		if next != nil && next.begin != current.end { // it could be made, but later
			found = &violation{constraint: ConstraintCapacity, shortage: s.worstShortage(current.done, batch, current.end, current.end+s.duration(batch))}
		}
		if !s.withinPoolLimits(batch) {
			found = &violation{constraint: ConstraintBatchSize}
		}
		if found != nil {
			return newInfeasible(number, &stage, found)
		}
		current = next
	}
	if !slices.Equal(current.done, s.goal) {
		return &InputError{Node: s.firstUnplanned(made), Reason: "is in no stage"}
	}
	return nil
}

// batchOf finds the classes of a stage's replacements.
func (s *searcher) batchOf(stage *Stage, made map[string]bool) (counts, error) {
	batch := make(counts, len(s.goal))
	for _, replacement := range stage.Replacements {
		id := replacement.Old.ID
		index := slices.IndexFunc(s.classes, func(one class) bool {
			return slices.ContainsFunc(one.members, func(member Replacement) bool { return member.Old.ID == id })
		})
		if index < 0 || made[id] {
			return nil, &InputError{Node: id, Reason: "is in a stage, but not to be replaced, or twice"}
		}
		made[id] = true
		batch[index]++
	}
	return batch, nil
}

func newInfeasible(number int, stage *Stage, found *violation) error {
	old := &stage.Replacements[0].Old
	return &InfeasibleError{
		Stage:    number + 1,
		Node:     old.ID,
		Region:   old.Region,
		Zone:     old.Zone,
		Violated: found.constraint,
		Shortage: found.shortage,
		Missing:  found.missing,
	}
}

func (s *searcher) firstUnplanned(made map[string]bool) string {
	for index := range s.input.Replacements {
		if id := s.input.Replacements[index].Old.ID; !made[id] {
			return id
		}
	}
	return ""
}
