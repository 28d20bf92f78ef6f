// Package verdict holds what a fleet of sidecars says of execute nodes: which
// are suspended by hand for all of them, which one member's list has as
// draining (Table: words that merge the same way in any order, twice or once),
// and which most of them see failing (Judge). It has no I/O and no clock.
package verdict

import (
	"maps"
	"math"
	"slices"
	"time"
)

// stage is how far a verdict has come.
type stage uint8

const (
	stageAvoided stage = iota
	stageFew           // tried by few members,
	stageHalf          // by half of them
	stagePast          // all may send to it; remembered for what comes next
)

func (s stage) String() string { return [...]string{"avoid", "few", "half", "past"}[s] }

// standing is a verdict on a node.
type verdict struct {
	node        Node
	stage       stage
	condemnedAt time.Duration // of the verdict
	stageEnd    time.Duration // of the stage
	trialStart  time.Duration // when the trial began
	term        time.Duration
	round       uint64
	observers   []string
}

// decide moves the verdicts on.
func (j *Evaluator) decide(now time.Duration) {
	names := j.accused()
	for n := range j.verdicts {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		j.advance(now, n)
	}
	if j.cfg.Mutate != NoCap {
		j.enforceCap()
	}
	var avoid []string
	for n, s := range j.verdicts {
		if s.stage == stageAvoided || s.stage < stagePast && !slices.Contains(j.trialMembers(n, s), j.cfg.Name) {
			avoid = append(avoid, n)
		}
	}
	slices.Sort(avoid)
	if !slices.Equal(avoid, j.avoided) {
		j.avoided = avoid
		j.out = append(j.out, Avoid{slices.Clone(avoid)})
	}
}

func (j *Evaluator) advance(now time.Duration, name string) {
	s := j.verdicts[name]
	node, listed := j.nodes[name]
	if !listed || s != nil && s.node.Since != node.Since {
		delete(j.verdicts, name)
		return
	}
	after := time.Duration(math.MinInt64)
	if s != nil && s.stage > stageAvoided {
		after = s.trialStart + j.paces(trialGrace)
	}
	bad, good := j.votes(name, after)
	switch {
	case s == nil:
		if j.condemned(bad, good) && j.hasCapacity(node) && len(j.verdicts) < maxVerdicts {
			s = &verdict{node: node, term: j.paces(minTerm)}
			j.verdicts[name] = s
			j.condemn(now, name, s, bad)
		}
	case s.stage == stageAvoided:
		if now >= s.stageEnd && j.cfg.Mutate != NoExpiry {
			s.stage, s.trialStart, s.stageEnd = stageFew, now, now+j.paces(trialStage)
			if j.cfg.Mutate == AllAtOnce {
				s.stage, s.stageEnd = stagePast, now+memoryTerms*s.term
			}
			j.out = append(j.out, Forget{name}, LogEntry{Node: name, Event: "tried again"})
			delete(j.ratedBad, name)
		}
	case s.stage == stagePast:
		if now >= s.stageEnd {
			delete(j.verdicts, name)
		} else if j.condemned(bad, good) && j.hasCapacity(node) {
			s.term = min(2*s.term, j.paces(maxTerm))
			j.condemn(now, name, s, bad)
		}
	default:
		triers := j.trialMembers(name, s)
		against := 0
		for _, by := range bad {
			if slices.Contains(triers, by) {
				against++
			}
		}
		if against >= minVotes && 2*against > len(triers) || j.condemned(bad, good) {
			s.term = min(2*s.term, j.paces(maxTerm))
			j.condemn(now, name, s, bad)
		} else if now >= s.stageEnd {
			s.stage++
			s.stageEnd = now + j.paces(trialStage)
			if s.stage == stagePast {
				s.stageEnd = now + memoryTerms*s.term
				j.out = append(j.out, LogEntry{Node: name, Event: "back"})
			}
		}
	}
}

func (j *Evaluator) condemn(now time.Duration, name string, s *verdict, bad []string) {
	s.stage, s.condemnedAt, s.stageEnd, s.round, s.observers = stageAvoided, now, now+s.term, s.round+1, bad
	j.out = append(j.out, LogEntry{Node: name, Event: "avoided", Observers: bad, Term: s.term})
}
