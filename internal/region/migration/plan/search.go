package plan

import (
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// searcher looks for an order of stages. A state is the counts of the replacements done. Capacity checks depend on the
// classes of one group only, so that their results are cached by the counts of these classes.
type searcher struct {
	input                  *Input
	classes                []class
	groups                 []groupView
	classPools             []int  // index in poolLimits for each class
	poolLimits             []int  // number of nodes that a stage may replace, for each pool
	goal                   counts // the state in which all replacements are done
	shortageCache          map[shortageKey]*capacity.Shortage
	lastServerCache        map[lastServerKey]bool
	intermediateStateCache map[string]*violation // results of checkIntermediateState for each state
}

func newSearcher(input *Input) *searcher {
	s := &searcher{
		input:                  input,
		classes:                classify(input.Replacements),
		shortageCache:          make(map[shortageKey]*capacity.Shortage),
		lastServerCache:        make(map[lastServerKey]bool),
		intermediateStateCache: make(map[string]*violation),
	}
	s.groups = groupsOf(input, s.classes)
	for _, current := range s.classes {
		s.goal = append(s.goal, uint8(len(current.members)))
	}
	s.computePoolLimits()
	return s
}

// step is a state that was reached, with the stage (batch, begin, end) that led to it.
type step struct {
	done   counts
	end    time.Duration
	stages int
	parent *step // previous step; nil: this is the state before the first stage
	batch  counts
	begin  time.Duration // begin of the stage
}

// less orders steps by end, then by the number of stages, then by state so that the order is deterministic.
func (s *step) less(other *step) bool {
	if s.end != other.end {
		return s.end < other.end
	}
	if s.stages != other.stages {
		return s.stages < other.stages
	}
	return slices.Compare(s.done, other.done) < 0
}

// extend adds a stage after a step, beginning as early as the demand allows. If a constraint forbids the stage at any time,
// extend returns the violation instead; of capacity violations, the one with the least shortage.
func (s *searcher) extend(from *step, batch counts) (*step, *violation) {
	if found := s.checkStructure(from.done, batch); found != nil {
		return nil, found
	}
	next := from.done.plus(batch)
	if found := s.checkIntermediateState(next); found != nil {
		return nil, found
	}
	duration := s.duration(batch)
	best := &violation{constraint: ConstraintTime}
	for _, begin := range s.input.Demand.ChangesFrom(from.end) {
		if s.input.Window > 0 && begin+duration > s.input.Begin+s.input.Window {
			break
		}
		shortage := s.worstShortage(from.done, batch, begin, begin+duration)
		if shortage == nil {
			return s.newStep(from, batch, begin, duration), nil
		}
		if best.shortage == nil || shortage.Fraction < best.shortage.Fraction {
			best = &violation{constraint: ConstraintCapacity, shortage: shortage}
		}
	}
	return nil, best
}

func (s *searcher) newStep(from *step, batch counts, begin, duration time.Duration) *step {
	return &step{
		done:   from.done.plus(batch),
		end:    begin + duration,
		stages: from.stages + 1,
		parent: from,
		batch:  slices.Clone(batch),
		begin:  begin,
	}
}

// duration returns the expected duration of a stage, which is that of its longest replacement.
func (s *searcher) duration(batch counts) time.Duration {
	longest := time.Duration(0)
	for index, count := range batch {
		if count > 0 {
			longest = max(longest, s.classes[index].sample().Times.Total())
		}
	}
	return longest
}
