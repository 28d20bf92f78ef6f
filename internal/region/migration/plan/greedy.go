package plan

import (
	"cmp"
	"slices"
	"time"
)

// maxGreedySteps is the largest number of steps that a greedy search tries, including those after backtracking.
const maxGreedySteps = 2_000

// searchGreedily runs a greedy search for each distinct duration of a replacement. Each search prefers stages up to its
// duration. The result is the last step of the order that ends first or, if no search finds an order, the step with the
// most replacements done.
func (s *searcher) searchGreedily() (last *step, complete bool) {
	farthest := &step{done: make(counts, len(s.goal)), end: s.input.Begin}
	var best *step
	for _, preferred := range s.durations() {
		search := &greedySearch{searcher: s, preferred: preferred, deadEnds: make(map[string]bool), farthest: farthest}
		end := search.complete(&step{done: make(counts, len(s.goal)), end: s.input.Begin})
		if end != nil && (best == nil || end.less(best)) {
			best = end
		}
		farthest = search.farthest
	}
	if best != nil {
		return best, true
	}
	return farthest, false
}

// durations returns the distinct durations of the replacements, in ascending order.
func (s *searcher) durations() []time.Duration {
	var all []time.Duration
	for index := range s.classes {
		all = append(all, s.classes[index].sample().Times.Total())
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// greedySearch is a depth-first search with backtracking that tries the most promising stage first.
type greedySearch struct {
	*searcher
	preferred time.Duration   // stages up to this duration are tried first
	deadEnds  map[string]bool // states from which no order was found
	steps     int
	farthest  *step // step with the most replacements done
}

// complete returns the last step of an order that continues from a step; nil if none was found.
func (g *greedySearch) complete(current *step) *step {
	if slices.Equal(current.done, g.goal) {
		return current
	}
	if current.done.total() > g.farthest.done.total() {
		g.farthest = current
	}
	for _, singleStage := range g.singleStages(current) {
		for _, next := range []*step{g.enlarge(current, singleStage), singleStage} {
			g.steps++
			if g.steps > maxGreedySteps {
				return nil
			}
			if g.deadEnds[string(next.done)] {
				continue
			}
			if last := g.complete(next); last != nil {
				return last
			}
		}
	}
	g.deadEnds[string(current.done)] = true
	return nil
}

// singleStages returns the feasible stages with one replacement each, sorted: stages up to the preferred duration first,
// then by begin, then the longer ones first, since more other replacements fit into their duration.
func (g *greedySearch) singleStages(from *step) []*step {
	var found []*step
	for index := range g.goal {
		if from.done[index] == g.goal[index] {
			continue
		}
		single := make(counts, len(g.goal))
		single[index] = 1
		if stage, _ := g.extend(from, single); stage != nil {
			found = append(found, stage)
		}
	}
	slices.SortStableFunc(found, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(g.overPreferred(a), g.overPreferred(b)),
			cmp.Compare(a.begin, b.begin),
			cmp.Compare(b.end, a.end),
		)
	})
	return found
}

// overPreferred returns the sort key of a stage: 1 if it takes longer than preferred, else 0.
func (g *greedySearch) overPreferred(stage *step) int {
	if stage.end-stage.begin > g.preferred {
		return 1
	}
	return 0
}

// enlarge adds replacements to a stage as long as the stage then neither begins nor ends later.
func (g *greedySearch) enlarge(from, stage *step) *step {
	for changed := true; changed; {
		changed = false
		for index := range g.goal {
			if next := g.enlargeBy(from, stage, index); next != nil {
				stage, changed = next, true
			}
		}
	}
	return stage
}

// enlargeBy returns the stage with one more replacement of a class, or nil if that is infeasible or delays
// the begin or the end of the stage.
func (g *greedySearch) enlargeBy(from, stage *step, index int) *step {
	if from.done[index]+stage.batch[index] >= g.goal[index] {
		return nil
	}
	batch := slices.Clone(stage.batch)
	batch[index]++
	if !g.withinPoolLimits(batch) {
		return nil
	}
	next, _ := g.extend(from, batch)
	if next == nil || next.begin > stage.begin || next.end > stage.end {
		return nil
	}
	return next
}
