// Package verdict holds what the sidecars of a fleet say about execute nodes, without I/O or clock:
//
//   - which nodes an operator suspended for the whole fleet, and which a member's list has as draining (Table, a map of
//     last-writer-wins registers that merge in any order, once or repeatedly);
//   - which nodes fail or are slow in the experience of most members (Tally, Evaluator), the verdicts.
//
// It needs no voters and no agreement: each member counts the votes that it has received. docs/design/shared.md describes the
// design, docs/sidecar/verdicts.md is the page for operators.
package verdict

import (
	"maps"
	"math"
	"slices"
	"time"
)

// stage is the stage of a verdict.
type stage uint8

const (
	stageAvoided stage = iota // no member sends to the node
	stageFew                  // a trial by a few members,
	stageHalf                 // and by half of them
	stagePast                 // all members send to it; the verdict is remembered, so that the next one lasts longer
)

// String is the stage as operators see it.
func (s stage) String() string { return [...]string{"avoid", "few", "half", "past"}[s] }

// verdict is a verdict on a node.
type verdict struct {
	node       Node
	stage      stage
	avoidedAt  time.Duration
	stageEnd   time.Duration
	trialStart time.Duration
	term       time.Duration // for how long the node is avoided
	count      uint64        // how often it was condemned in a row
	observers  []string      // who voted against it
}

// decide advances the verdicts, and reports which nodes to avoid if that has changed.
func (e *Evaluator) decide(now time.Duration) {
	names := e.nodesRatedBad()
	for n := range e.verdicts {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		e.advance(now, n)
	}
	if e.cfg.Mutate != NoCap {
		e.enforceCap()
	}
	var avoid []string
	for n, s := range e.verdicts {
		if s.stage == stageAvoided || s.stage < stagePast && !slices.Contains(e.trialMembers(n, s), e.cfg.Name) {
			avoid = append(avoid, n)
		}
	}
	slices.Sort(avoid)
	if !slices.Equal(avoid, e.avoided) {
		e.avoided = avoid
		e.out = append(e.out, Avoid{slices.Clone(avoid)})
	}
}

// advance advances the verdict on a node, or makes one.
func (e *Evaluator) advance(now time.Duration, name string) {
	v := e.verdicts[name]
	node, listed := e.nodes[name]
	if !listed || v != nil && v.node.Since != node.Since {
		delete(e.verdicts, name)
		return
	}
	after := time.Duration(math.MinInt64)
	if v != nil && v.stage > stageAvoided {
		after = v.trialStart + e.paces(trialGrace)
	}
	bad, good := e.votes(name, after)
	switch {
	case v == nil:
		if e.votesSuffice(bad, good) && e.hasCapacity(node) && len(e.verdicts) < maxVerdicts {
			v = &verdict{node: node, term: e.paces(minTerm)}
			e.verdicts[name] = v
			e.avoid(now, name, v, bad)
		}
	case v.stage == stageAvoided:
		if now >= v.stageEnd && e.cfg.Mutate != NoExpiry {
			e.beginTrial(now, name, v)
		}
	case v.stage == stagePast:
		if now >= v.stageEnd {
			delete(e.verdicts, name)
		} else if e.votesSuffice(bad, good) && e.hasCapacity(node) {
			e.avoidAgain(now, name, v, bad)
		}
	default:
		e.advanceTrial(now, name, v, bad, good)
	}
}

// beginTrial lets few members send to a node whose term is over. Evidence from before must not count against it.
func (e *Evaluator) beginTrial(now time.Duration, name string, v *verdict) {
	v.stage, v.trialStart, v.stageEnd = stageFew, now, now+e.paces(trialStage)
	if e.cfg.Mutate == AllAtOnce {
		v.stage, v.stageEnd = stagePast, now+memoryTerms*v.term
	}
	e.out = append(e.out, Forget{name}, LogEntry{Node: name, Event: "tried again"})
	delete(e.ratedBad, name)
}

// advanceTrial condemns a node again if most of those that try it rate it bad, and else goes on to the next stage in time.
func (e *Evaluator) advanceTrial(now time.Duration, name string, v *verdict, bad, good []string) {
	members := e.trialMembers(name, v)
	against := 0
	for _, observer := range bad {
		if slices.Contains(members, observer) {
			against++
		}
	}
	if against >= minVotes && 2*against > len(members) || e.votesSuffice(bad, good) {
		e.avoidAgain(now, name, v, bad)
		return
	}
	if now < v.stageEnd {
		return
	}
	v.stage++
	v.stageEnd = now + e.paces(trialStage)
	if v.stage == stagePast {
		v.stageEnd = now + memoryTerms*v.term
		e.out = append(e.out, LogEntry{Node: name, Event: "back"})
	}
}

// avoid has a node avoided for the verdict's term.
func (e *Evaluator) avoid(now time.Duration, name string, v *verdict, observers []string) {
	v.stage, v.avoidedAt, v.stageEnd, v.count, v.observers = stageAvoided, now, now+v.term, v.count+1, observers
	e.out = append(e.out, LogEntry{Node: name, Event: "avoided", Observers: observers, Term: v.term})
}

// avoidAgain does so for twice as long as before.
func (e *Evaluator) avoidAgain(now time.Duration, name string, v *verdict, observers []string) {
	v.term = min(2*v.term, e.paces(maxTerm))
	e.avoid(now, name, v, observers)
}
