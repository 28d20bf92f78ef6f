package plan

import (
	"cmp"
	"slices"
	"time"
)

// greedySteps bounds the states that a greedy order may look at; going back counts.
const greedySteps = 2_000

// greedy makes one order for each longest duration that a stage may have at first, and returns the shortest.
func (s *searcher) greedy() (last *step, complete bool) {
	farthest := &step{done: make(counts, len(s.all)), end: s.input.Begin}
	var best *step
	for _, limit := range s.durations() {
		descent := &descent{searcher: s, limit: limit, dead: make(map[string]bool), farthest: farthest}
		end := descent.from(&step{done: make(counts, len(s.all)), end: s.input.Begin})
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
type descent struct {
	*searcher
	limit    time.Duration // stages within it come first
	dead     map[string]bool
	steps    int
	farthest *step
}

// from returns the last step of an order that goes on from a state; nil if none was found.
func (d *descent) from(current *step) *step {
	if slices.Equal(current.done, d.all) {
		return current
	}
	if current.done.total() > d.farthest.done.total() {
		d.farthest = current
	}
	for _, alone := range d.singles(current) {
		for _, next := range []*step{d.grown(current, alone), alone} {
			d.steps++
			if d.steps > greedySteps {
				return nil
			}
			if d.dead[string(next.done)] {
				continue
			}
			if last := d.from(next); last != nil {
				return last
			}
		}
	}
	d.dead[string(current.done)] = true
	return nil
}

// singles gives the stages of one replacement that can follow: those within the limit first, the earlier ones
// before the others, and of these the longest, beside which most finds time.
func (d *descent) singles(from *step) []*step {
	var found []*step
	for index := range d.all {
		if from.done[index] == d.all[index] {
			continue
		}
		single := make(counts, len(d.all))
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

func (d *descent) overLimit(one *step) int {
	if one.end-one.begin > d.limit {
		return 1
	}
	return 0
}

// grown adds replacements to a stage as long as it begins and ends no later.
func (d *descent) grown(from, stage *step) *step {
	for changed := true; changed; {
		changed = false
		for index := range d.all {
			if next := d.withOneMore(from, stage, index); next != nil {
				stage, changed = next, true
			}
		}
	}
	return stage
}

func (d *descent) withOneMore(from, stage *step, index int) *step {
	if from.done[index]+stage.batch[index] >= d.all[index] {
		return nil
	}
	batch := slices.Clone(stage.batch)
	batch[index]++
	if !d.withinShare(batch) {
		return nil
	}
	next, _ := d.extend(from, batch)
	if next == nil || next.begin > stage.begin || next.end > stage.end {
		return nil
	}
	return next
}
