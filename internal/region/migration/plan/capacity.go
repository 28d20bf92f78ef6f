package plan

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// shortageKey is the cache key of shortageOf: everything that its result depends on.
type shortageKey struct {
	group, period int
	done, batch   string
}

// shortageOf returns the shortage of a group during a stage with the demand of one period, or nil. Results are cached.
func (s *searcher) shortageOf(group, period int, done, batch counts) *capacity.Shortage {
	view := &s.groups[group]
	key := shortageKey{group, period, string(done.project(view.classes)), string(batch.project(view.classes))}
	if known, found := s.shortageCache[key]; found {
		return known
	}
	found := s.computeShortage(view, period, done, batch)
	s.shortageCache[key] = found
	return found
}

// computeShortage computes the result of shortageOf: the first shortage in the phases of the stage, or the shortage in the
// state before the stage if the stage replaces no node of the group.
func (s *searcher) computeShortage(view *groupView, period int, done, batch counts) *capacity.Shortage {
	loads := s.input.Demand.Periods[period].Loads
	if view.unaffectedBy(batch) {
		return s.input.Headroom.Check(view.group, s.servingNodes(view, done, batch, beforeStage), loads)
	}
	before := s.servingNodes(view, done, batch, beforeStage)
	for _, at := range []phase{inPlaceRemoved, surgeTakenOver, afterStage} {
		grown := capacity.AddLostCachePrefill(loads, before, s.departedNodes(view, done, batch, at))
		if found := s.input.Headroom.Check(view.group, s.servingNodes(view, done, batch, at), grown); found != nil {
			return found
		}
	}
	return nil
}

// worstShortage returns the worst shortage of the groups with replacements in a stage that lasts from begin to end, or nil.
func (s *searcher) worstShortage(done, batch counts, begin, end time.Duration) *capacity.Shortage {
	var worst *capacity.Shortage
	for _, period := range s.input.Demand.PeriodsDuring(begin, end) {
		for group := range s.groups {
			if s.groups[group].unaffectedBy(batch) {
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

// roundingTolerance is the largest difference between the fractions of two shortages that rounding alone may cause.
const roundingTolerance = 1e-6

// checkIntermediateState is computeRest with a cache.
func (s *searcher) checkIntermediateState(done counts) *violation {
	key := string(done)
	found, known := s.intermediateStateCache[key]
	if !known {
		found = s.computeIntermediateState(done)
		s.intermediateStateCache[key] = found
	}
	return found
}

// computeIntermediateState checks that a state between stages serves every period as well as the present fleet does, since
// an operator may pause the run in that state for a long time.
func (s *searcher) computeIntermediateState(done counts) *violation {
	none := make(counts, len(done))
	for group := range s.groups {
		for period := range s.input.Demand.Periods {
			found := s.shortageOf(group, period, done, none)
			if found == nil {
				continue
			}
			initial := s.shortageOf(group, period, none, none)
			if initial == nil || found.Fraction > initial.Fraction+roundingTolerance {
				return &violation{constraint: ConstraintCapacity, shortage: found}
			}
		}
	}
	return nil
}
