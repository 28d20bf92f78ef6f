package plan

import (
	"cmp"
	"slices"
	"time"
)

// maxGreedySteps bounds the states that a greedy search visits, backtracking included.
const maxGreedySteps = 2_000

// searchGreedily runs one greedy search for each duration of a replacement, which prefers stages up to that duration, and
// returns the last step of the order that ends first. If none finds an order, it returns the step with the most
// replacements made.
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
	preferred time.Duration   // stages that take no longer come first
	deadEnds  map[string]bool // states from which no order was found
	steps     int
	farthest  *step // with the most replacements made
}

// complete returns the last step of an order that goes on from a step; nil if none was found.
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

// singleStages returns the feasible stages of one replacement: those of the preferred duration first, earlier ones before
// later ones, and of these the longest, beside which most others have time.
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

// enlarge adds replacements to a stage for as long as it neither begins nor ends later for it.
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

// enlargeBy returns the stage with one more replacement of a class, or nil if that is infeasible or delays it.
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
