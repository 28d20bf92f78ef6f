// Package verdict holds the state that the sidecars of a fleet share about execute nodes, without I/O or clock:
//
//   - which nodes an operator suspended for the whole fleet, and which nodes a member's list has as draining (Table, a map of
//     last-writer-wins registers that merge in any order, once or repeatedly);
//   - the verdicts: which nodes fail or are slow as observed by most members (Tally, Evaluator).
//
// It needs no voters and no consensus protocol: each member counts the votes that it has received. docs/design/shared.md
// describes the design, docs/sidecar/verdicts.md is the page for operators.
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
	stageFew                  // a few members send to the node, as a trial
	stageHalf                 // half of the members send to the node
	stagePast                 // all members send to the node; the verdict is remembered so that a repeated one lasts longer
)

// String returns the stage's name in the operator's output.
func (s stage) String() string { return [...]string{"avoid", "few", "half", "past"}[s] }

// verdict is the decision to avoid a node, with the trial and the time of remembrance after it.
type verdict struct {
	node       Node
	stage      stage
	avoidedAt  time.Duration
	stageEnd   time.Duration
	trialStart time.Duration
	term       time.Duration // how long the node is avoided
	count      uint64        // how many times in a row the node was avoided
	observers  []string      // members that voted against the node
}

// decide advances all verdicts, and emits Avoid if the nodes to avoid have changed.
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

// advance advances the verdict on a node, or creates one if the votes suffice.
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

// beginTrial lets a few members send to a node whose term is over. It discards the evidence from before the trial, which must
// not count against the node.
func (e *Evaluator) beginTrial(now time.Duration, name string, v *verdict) {
	v.stage, v.trialStart, v.stageEnd = stageFew, now, now+e.paces(trialStage)
	if e.cfg.Mutate == AllAtOnce {
		v.stage, v.stageEnd = stagePast, now+memoryTerms*v.term
	}
	e.out = append(e.out, Forget{name}, LogEntry{Node: name, Event: "tried again"})
	delete(e.ratedBad, name)
}

// advanceTrial avoids a node again if most of the members in the trial rate it bad, and otherwise enters the next stage when
// the current one is over.
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

// avoid starts the avoidance of a node for the verdict's term.
func (e *Evaluator) avoid(now time.Duration, name string, v *verdict, observers []string) {
	v.stage, v.avoidedAt, v.stageEnd, v.count, v.observers = stageAvoided, now, now+v.term, v.count+1, observers
	e.out = append(e.out, LogEntry{Node: name, Event: "avoided", Observers: observers, Term: v.term})
}

// avoidAgain starts the avoidance of a node for twice the previous term, up to maxTerm.
func (e *Evaluator) avoidAgain(now time.Duration, name string, v *verdict, observers []string) {
	v.term = min(2*v.term, e.paces(maxTerm))
	e.avoid(now, name, v, observers)
}
