package simulate

import (
	"fmt"
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
)

// store simulates the chain, which stores one state by compare-and-set and whose answers may be lost, and the executor
// instances that use it.
type store struct {
	*deployment
	committed        *execute.State
	cordons          []cordon      // cordons of edge machines over time, for the directory
	partitionedUntil time.Duration // end of the partition of the core machines
	directive        execute.Directive
	instances        []*instance
	starts           int           // number of instances started, for their names
	takeoverAt       time.Duration // time at which the next instance takes the singleton role; 0: the role has an owner
	messages         []message
}

// cordon lists the edge machines that are cordoned from a time on, until the next cordon.
type cordon struct {
	at    time.Duration
	edges []string
}

// message is an event in flight to an instance, or a state in flight to the chain.
type message struct {
	at        time.Duration
	instance  *instance
	event     execute.Event  // event for the instance; nil: requested is to be stored
	requested *execute.State // state to be stored
}

// instance is one executor process.
type instance struct {
	machine     *execute.Machine
	frozenUntil time.Duration
	observedAt  time.Duration
	outdated    bool // another instance owns the singleton role
}

func newStore(d *deployment) *store { return &store{deployment: d, takeoverAt: tick} }

// hasMajority reports whether a majority of the voters is live and not partitioned.
func (s *store) hasMajority() bool {
	voters, live := 0, 0
	for _, node := range s.orderedNodes {
		if node.votes {
			voters++
			if node.present {
				live++
			}
		}
	}
	return 2*live > voters && s.now >= s.partitionedUntil
}

// step delivers the due messages and passes events to the instances.
func (s *store) step() {
	if s.takeoverAt > 0 && s.now >= s.takeoverAt && s.hasMajority() {
		s.takeoverAt = 0
		s.startInstance()
	}
	due := slices.DeleteFunc(slices.Clone(s.messages), func(message message) bool { return message.at > s.now })
	s.messages = slices.DeleteFunc(s.messages, func(message message) bool { return message.at <= s.now })
	for _, message := range due {
		if message.event != nil {
			s.feed(message.instance, message.event)
		} else {
			s.compareAndSet(message.instance, message.requested)
		}
	}
	for _, instance := range slices.Clone(s.instances) {
		if instance.machine.Fenced() {
			s.endInstance(instance)
			continue
		}
		s.feed(instance, execute.DirectiveSet{Directive: s.directive})
		if s.now-instance.observedAt >= 300*time.Millisecond {
			instance.observedAt = s.now
			observation := s.observe()
			s.deliverLater(instance, execute.Observed{Observation: observation}, 400*time.Millisecond)
		}
		s.feed(instance, execute.Tick{})
	}
}

// startInstance makes a new instance the owner of the singleton role. The instance first reads the committed state.
func (s *store) startInstance() {
	for _, instance := range s.instances {
		instance.outdated = true
	}
	s.starts++
	fresh := &instance{machine: execute.NewMachine(execute.Config{
		Plan:               s.plan,
		Digest:             "plan",
		Owner:              fmt.Sprintf("core/%d", s.starts),
		Headroom:           s.input.Headroom,
		MaxObservationAge:  2 * time.Second,
		ShortageBackoff:    2 * time.Second,
		StoreRetryInterval: time.Second,
		MaxStartDelay:      maxCommandDelay + time.Second,
	})}
	s.instances = append(s.instances, fresh)
	s.deliverLater(fresh, execute.Loaded{State: s.committed}, time.Second)
}

// endInstance ends an instance; another one takes over later if the ended one was the owner.
func (s *store) endInstance(ended *instance) {
	s.instances = slices.DeleteFunc(s.instances, func(other *instance) bool { return other == ended })
	if !ended.outdated {
		s.takeoverAt = s.now + s.durationBetween(500*time.Millisecond, 3*time.Second)
	}
}

// deliverLater delivers an event after a random delay; most is the longest delay.
func (s *store) deliverLater(to *instance, event execute.Event, most time.Duration) {
	s.messages = append(s.messages, message{at: s.now + s.durationBetween(0, most), instance: to, event: event})
}

// feed passes an event to an instance and carries out its actions, until the instance is killed. Events for a frozen
// instance are delivered when it continues, except for ticks.
func (s *store) feed(to *instance, event execute.Event) {
	if !slices.Contains(s.instances, to) {
		return
	}
	if s.now < to.frozenUntil {
		if _, isTick := event.(execute.Tick); !isTick {
			s.messages = append(s.messages, message{at: to.frozenUntil, instance: to, event: event})
		}
		return
	}
	for _, action := range to.machine.Step(s.now, event) {
		store, isStore := action.(execute.Store)
		if !isStore {
			continue
		}
		killed := s.faults.killAfterStore(s.deployment)
		if !killed || s.happens(0.5) {
			s.messages = append(s.messages, message{at: s.now + s.durationBetween(0, 200*time.Millisecond), instance: to, requested: store.State})
		}
		if killed {
			s.endInstance(to)
			return
		}
	}
}

// compareAndSet replaces the committed state by its successor, if the committed state is the expected one.
func (s *store) compareAndSet(from *instance, next *execute.State) {
	if !s.hasMajority() {
		return
	}
	if s.committed != nil && s.committed.Revision == next.Revision && s.committed.Owner == next.Owner {
		s.answer(from, execute.Stored{Revision: next.Revision}) // the request is a repetition
		return
	}
	expected := next.Revision == 1
	if s.committed != nil {
		expected = next.Revision == s.committed.Revision+1 && next.Epoch >= s.committed.Epoch
	}
	if !expected && s.planted != faultUnconditionalStore {
		s.answer(from, execute.Rejected{Current: s.committed})
		return
	}
	s.checker.stored(s.committed, next)
	s.committed = next
	s.recordCordons()
	s.answer(from, execute.Stored{Revision: next.Revision})
}

// answer sends an answer, which may be lost.
func (s *store) answer(to *instance, event execute.Event) {
	if !s.happens(s.faults.lostAnswerFraction) {
		s.deliverLater(to, event, 200*time.Millisecond)
	}
}

// recordCordons records which edge machines the committed state cordons from now on.
func (s *store) recordCordons() {
	var edges []string
	for _, id := range s.committed.Cordoned {
		if s.nodes[id].spec.Kind == capacity.Edge {
			edges = append(edges, id)
		}
	}
	s.cordons = append(s.cordons, cordon{at: s.now, edges: edges})
}

// directoryAt returns the edge machines that were excluded from the directory at a time.
func (s *store) directoryAt(at time.Duration) []string {
	var edges []string
	for _, cordon := range s.cordons {
		if cordon.at <= at {
			edges = cordon.edges
		}
	}
	return edges
}
