package plan

import (
	"cmp"
	"slices"
	"time"
)

// maxGreedySteps bounds the states that a greedy order may look at; going back counts.
const maxGreedySteps = 2_000

// greedy makes one order for each longest duration that a stage may have at first, and returns the shortest.
func (s *searcher) searchGreedily() (last *step, complete bool) {
	farthest := &step{done: make(counts, len(s.goal)), end: s.input.Begin}
	var best *step
	for _, limit := range s.durations() {
		descent := &greedySearch{searcher: s, limit: limit, deadEnds: make(map[string]bool), farthest: farthest}
		end := descent.complete(&step{done: make(counts, len(s.goal)), end: s.input.Begin})
		if end != nil && (best == nil || end.less(best)) {
			best = end
		}
		farthest = descent.farthest
	}
	if best != nil {
		return best, true
	}
	return farthest, false
}

func (s *searcher) durations() []time.Duration {
	var all []time.Duration
	for index := range s.classes {
		all = append(all, s.classes[index].sample().Times.Total())
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// descent makes one order: it takes the stage that seems best and goes back where that leads nowhere.
type greedySearch struct {
	*searcher
	limit    time.Duration // stages within it come first
	deadEnds map[string]bool
	steps    int
	farthest *step
}

// from returns the last step of an order that goes on from a state; nil if none was found.
func (d *greedySearch) complete(current *step) *step {
	if slices.Equal(current.done, d.goal) {
		return current
	}
	if current.done.total() > d.farthest.done.total() {
		d.farthest = current
	}
	for _, alone := range d.singleStages(current) {
		for _, next := range []*step{d.enlarge(current, alone), alone} {
			d.steps++
			if d.steps > maxGreedySteps {
				return nil
			}
			if d.deadEnds[string(next.done)] {
				continue
			}
			if last := d.complete(next); last != nil {
				return last
			}
		}
	}
	d.deadEnds[string(current.done)] = true
	return nil
}

// singles gives the stages of one replacement that can follow: those within the limit first, the earlier ones
// before the others, and of these the longest, beside which most finds time.
func (d *greedySearch) singleStages(from *step) []*step {
	var found []*step
	for index := range d.goal {
		if from.done[index] == d.goal[index] {
			continue
		}
		single := make(counts, len(d.goal))
		single[index] = 1
		if alone, _ := d.extend(from, single); alone != nil {
			found = append(found, alone)
		}
	}
	slices.SortStableFunc(found, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(d.overLimit(a), d.overLimit(b)),
			cmp.Compare(a.begin, b.begin),
			cmp.Compare(b.end, a.end),
		)
	})
	return found
}

func (d *greedySearch) overLimit(one *step) int {
	if one.end-one.begin > d.limit {
		return 1
	}
	return 0
}

// grown adds replacements to a stage as long as it begins and ends no later.
func (d *greedySearch) enlarge(from, stage *step) *step {
	for changed := true; changed; {
		changed = false
		for index := range d.goal {
			if next := d.enlargeBy(from, stage, index); next != nil {
				stage, changed = next, true
			}
		}
	}
	return stage
}

func (d *greedySearch) enlargeBy(from, stage *step, index int) *step {
	if from.done[index]+stage.batch[index] >= d.goal[index] {
		return nil
	}
	batch := slices.Clone(stage.batch)
	batch[index]++
	if !d.withinPoolLimits(batch) {
		return nil
	}
	next, _ := d.extend(from, batch)
	if next == nil || next.begin > stage.begin || next.end > stage.end {
		return nil
	}
	return next
}
