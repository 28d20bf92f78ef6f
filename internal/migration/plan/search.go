package plan

import (
	"container/heap"
	"slices"
	"time"

	"fieldrelay/internal/migration/room"
)

// maxExhaustivePairs is the number of pairs of a state and a stage up to which all are tried.
const maxExhaustivePairs = 200_000

// searcher looks for an order of stages.
type searcher struct {
	input           *Input
	classes         []class
	groups          []groupView
	classPools      []int  // of each class, an index among most
	poolLimits      []int  // by pool, that a stage may replace
	goal            counts // everything is replaced
	shortageCache   map[shortageKey]*room.Shortage
	lastServerCache map[lastServerKey]bool
	restCache       map[string]*violation
}

func newSearcher(input *Input) *searcher {
	s := &searcher{
		input:           input,
		classes:         classify(input.Replacements),
		shortageCache:   make(map[shortageKey]*room.Shortage),
		lastServerCache: make(map[lastServerKey]bool),
		restCache:       make(map[string]*violation),
	}
	s.groups = groupsOf(input, s.classes)
	for _, one := range s.classes {
		s.goal = append(s.goal, uint8(len(one.members)))
	}
	s.computePoolLimits()
	return s
}

// exhaustiveIsAffordable reports whether all pairs of a state and a stage can be tried.
func (s *searcher) exhaustiveIsAffordable() bool {
	states := 1
	for _, count := range s.goal {
		states *= int(count) + 1
		if states > maxExhaustivePairs {
			return false
		}
	}
	stages := 0
	return s.eachBatch(make(counts, len(s.goal)), func(counts) bool {
		stages++
		return stages*states <= maxExhaustivePairs
	})
}

// step is a state that was reached, and how.
type step struct {
	done   counts
	end    time.Duration
	stages int
	parent *step
	batch  counts
	begin  time.Duration
}

// less orders by time, then by the number of stages.
func (s *step) less(other *step) bool {
	if s.end != other.end {
		return s.end < other.end
	}
	if s.stages != other.stages {
		return s.stages < other.stages
	}
	return slices.Compare(s.done, other.done) < 0
}

type frontier []*step

func (f frontier) Len() int           { return len(f) }
func (f frontier) Less(i, j int) bool { return f[i].less(f[j]) }
func (f frontier) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *frontier) Push(x any)        { *f = append(*f, x.(*step)) }
func (f *frontier) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// shortest tries all orders. To arrive at a state sooner is never worse, as it may be held there for any time; so the
// states are settled in the order of their time. It returns the last step, or the farthest that was reached.
func (s *searcher) searchExhaustively() (last *step, complete bool) {
	origin := &step{done: make(counts, len(s.goal)), end: s.input.Begin}
	open := &frontier{origin}
	settled := make(map[string]bool)
	farthest := origin
	for open.Len() > 0 {
		current := heap.Pop(open).(*step)
		if settled[string(current.done)] {
			continue
		}
		settled[string(current.done)] = true
		if slices.Equal(current.done, s.goal) {
			return current, true
		}
		if current.done.total() > farthest.done.total() {
			farthest = current
		}
		s.eachBatch(current.done, func(batch counts) bool {
			if settled[string(current.done.plus(batch))] {
				return true
			}
			if next, _ := s.extend(current, batch); next != nil {
				heap.Push(open, next)
			}
			return true
		})
	}
	return farthest, false
}

// eachBatch calls visit for every stage that could follow a state, as long as that returns true; it returns false
// if visit did. The batch is used again.
func (s *searcher) eachBatch(done counts, visit func(counts) bool) bool {
	return s.batchesFrom(0, done, make(counts, len(done)), slices.Clone(s.poolLimits), visit)
}

// batchesFrom varies the classes from an index on. most is what the pools may still give.
func (s *searcher) batchesFrom(index int, done, batch counts, most []int, visit func(counts) bool) bool {
	if index == len(batch) {
		return batch.total() == 0 || visit(batch)
	}
	from := s.classPools[index]
	for {
		if !s.batchesFrom(index+1, done, batch, most, visit) {
			return false
		}
		if batch[index] == s.goal[index]-done[index] || most[from] == 0 {
			break
		}
		batch[index]++
		most[from]--
	}
	most[from] += int(batch[index])
	batch[index] = 0
	return true
}

// extend makes a stage as early as may be after a step; nil, with what stands against it, if it cannot be made.
func (s *searcher) extend(from *step, batch counts) (*step, *violation) {
	if found := s.checkStructure(from.done, batch); found != nil {
		return nil, found
	}
	next := from.done.plus(batch)
	if found := s.checkRest(next); found != nil {
		return nil, found
	}
	lasts := s.duration(batch)
	best := &violation{constraint: ConstraintTime}
	for _, begin := range s.input.Demand.ChangesFrom(from.end) {
		if s.input.Window > 0 && begin+lasts > s.input.Begin+s.input.Window {
			break
		}
		shortage := s.worstShortage(from.done, batch, begin, begin+lasts)
		if shortage == nil {
			return s.newStep(from, batch, begin, lasts), nil
		}
		if best.shortage == nil || shortage.Fraction < best.shortage.Fraction {
			best = &violation{constraint: ConstraintCapacity, shortage: shortage}
		}
	}
	return nil, best
}

func (s *searcher) newStep(from *step, batch counts, begin, lasts time.Duration) *step {
	return &step{
		done:   from.done.plus(batch),
		end:    begin + lasts,
		stages: from.stages + 1,
		parent: from,
		batch:  slices.Clone(batch),
		begin:  begin,
	}
}

func (s *searcher) checkRest(done counts) *violation {
	key := string(done)
	found, known := s.restCache[key]
	if !known {
		found = s.computeRest(done)
		s.restCache[key] = found
	}
	return found
}

// worstShortage returns the worst shortage of a stage from begin to end, or nil.
func (s *searcher) worstShortage(done, batch counts, begin, end time.Duration) *room.Shortage {
	var worst *room.Shortage
	for _, period := range s.input.Demand.PeriodsDuring(begin, end) {
		for group := range s.groups {
			if s.groups[group].untouchedBy(batch) {
				continue
			}
			found := s.shortageOf(group, period, done, batch)
			if found != nil && (worst == nil || found.Fraction > worst.Fraction) {
				worst = found
			}
		}
	}
	return worst
}

func (s *searcher) duration(batch counts) time.Duration {
	longest := time.Duration(0)
	for index, count := range batch {
		if count > 0 {
			longest = max(longest, s.classes[index].sample().Times.Total())
		}
	}
	return longest
}
