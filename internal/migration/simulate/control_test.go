package simulate

import (
	"fmt"
	"slices"
	"time"

	"fieldrelay/internal/migration/execute"
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// store is the chain: it keeps one state, and answers, or not.
type store struct {
	*world
	committed *execute.State
	withheld  []withheldSince // of edge machines, for the directory
	cutUntil  time.Duration   // the core
	wish      execute.Directive
	instances []*instance
	names     int
	nextAt    time.Duration // when a next instance gets the duty; 0: it is held
	messages  []message
}

type withheldSince struct {
	at    time.Duration
	edges []string
}

// message is an event on its way to an instance, or an action on its way to the chain.
type message struct {
	at       time.Duration
	instance *instance
	event    execute.Event  // nil: asked is to be stored
	asked    *execute.State // to be stored
}

// instance is one executor process.
type instance struct {
	machine  *execute.Machine
	frozen   time.Duration // until which it does nothing
	observed time.Duration // when it last looked
	outdated bool          // another one has the duty
}

func newStore(w *world) *store { return &store{world: w, nextAt: tick} }

func (s *store) majority() bool {
	voters, live := 0, 0
	for _, one := range s.order {
		if one.votes {
			voters++
			if one.present {
				live++
			}
		}
	}
	return 2*live > voters && s.now >= s.cutUntil
}

func (s *store) step() {
	if s.nextAt > 0 && s.now >= s.nextAt && s.majority() {
		s.nextAt = 0
		s.take()
	}
	due := slices.DeleteFunc(slices.Clone(s.messages), func(one message) bool { return one.at > s.now })
	s.messages = slices.DeleteFunc(s.messages, func(one message) bool { return one.at <= s.now })
	for _, one := range due {
		if one.event != nil {
			s.feed(one.instance, one.event)
		} else {
			s.ask(one.instance, one.asked)
		}
	}
	for _, one := range slices.Clone(s.instances) {
		if one.machine.Fenced() {
			s.drop(one)
			continue
		}
		s.feed(one, execute.DirectiveSet{Directive: s.wish})
		if s.now-one.observed >= 300*time.Millisecond {
			one.observed = s.now
			observation := s.observe()
			s.later(one, execute.Observed{Observation: observation}, 400*time.Millisecond)
		}
		s.feed(one, execute.Tick{})
	}
}

// take gives a new instance the duty. It reads the committed state first.
func (s *store) take() {
	for _, one := range s.instances {
		one.outdated = true
	}
	s.names++
	fresh := &instance{machine: execute.NewMachine(execute.Config{
		Plan:               s.plan,
		Digest:             "plan",
		Owner:              fmt.Sprintf("core/%d", s.names),
		Headroom:           s.input.Headroom,
		MaxObservationAge:  2 * time.Second,
		ShortageBackoff:    2 * time.Second,
		StoreRetryInterval: time.Second,
		MaxStartDelay:      commandLife + time.Second,
	})}
	s.instances = append(s.instances, fresh)
	s.later(fresh, execute.Loaded{State: s.committed}, time.Second)
}

func (s *store) drop(one *instance) {
	s.instances = slices.DeleteFunc(s.instances, func(other *instance) bool { return other == one })
	if !one.outdated {
		s.nextAt = s.now + s.between(500*time.Millisecond, 3*time.Second)
	}
}

func (s *store) later(to *instance, event execute.Event, most time.Duration) {
	s.messages = append(s.messages, message{at: s.now + s.between(0, most), instance: to, event: event})
}

// feed hands an event to an instance and carries its actions, unless it is killed in between.
func (s *store) feed(to *instance, event execute.Event) {
	if !slices.Contains(s.instances, to) {
		return
	}
	if s.now < to.frozen {
		if _, passing := event.(execute.Tick); !passing {
			s.messages = append(s.messages, message{at: to.frozen, instance: to, event: event})
		}
		return
	}
	for _, action := range to.machine.Step(s.now, event) {
		asked, isStore := action.(execute.Store)
		if !isStore {
			continue
		}
		killed := s.faults.killAfterStore(s.world)
		if !killed || s.chance(0.5) {
			s.messages = append(s.messages, message{at: s.now + s.between(0, 200*time.Millisecond), instance: to, asked: asked.State})
		}
		if killed {
			s.drop(to)
			return
		}
	}
}

// ask puts a state in place of the one before, if it is that.
func (s *store) ask(from *instance, asked *execute.State) {
	if !s.majority() {
		return
	}
	if s.committed != nil && s.committed.Revision == asked.Revision && s.committed.Owner == asked.Owner {
		s.answer(from, execute.Stored{Revision: asked.Revision}) // it came before
		return
	}
	expected := asked.Revision == 1
	if s.committed != nil {
		expected = asked.Revision == s.committed.Revision+1 && asked.Epoch >= s.committed.Epoch
	}
	if !expected && s.flaw != flawStoresAll {
		s.answer(from, execute.Rejected{Current: s.committed})
		return
	}
	s.checker.stored(s.committed, asked)
	s.committed = asked
	s.noteEdges()
	s.answer(from, execute.Stored{Revision: asked.Revision})
}

func (s *store) answer(to *instance, event execute.Event) {
	if !s.chance(s.faults.lostAnswers) {
		s.later(to, event, 200*time.Millisecond)
	}
}

func (s *store) noteEdges() {
	var edges []string
	for _, id := range s.committed.Cordoned {
		if s.nodes[id].spec.Kind == room.Edge {
			edges = append(edges, id)
		}
	}
	s.withheld = append(s.withheld, withheldSince{at: s.now, edges: edges})
}

// directoryAt gives the edge machines that clients were not told of at a time.
func (s *store) directoryAt(at time.Duration) []string {
	var edges []string
	for _, one := range s.withheld {
		if one.at <= at {
			edges = one.edges
		}
	}
	return edges
}

// observe looks at the deployment as the shell of an executor does.
func (s *store) observe() *execute.Observation {
	seen := &execute.Observation{
		Began:             s.now,
		Elapsed:           s.now,
		Nodes:             map[string]execute.NodeStatus{},
		ConfirmedRevision: s.inForce(),
		Core:              plan.Core{Hosts: s.input.Core.Hosts, Zones: s.input.Core.Zones},
		CoreConverged:     s.majority(),
	}
	for _, one := range s.order {
		if one.votes {
			seen.Core.Voters = append(seen.Core.Voters, plan.Voter{ID: one.spec.ID, Zone: one.spec.Zone})
			seen.CoreConverged = seen.CoreConverged && one.present
		}
		if !one.present {
			continue
		}
		seen.Nodes[one.spec.ID] = s.status(one)
		if one.spec.Kind != room.Core && one.ready(s.now) {
			seen.Fleet = append(seen.Fleet, one.spec)
		}
	}
	seen.Loads = s.loads()
	s.flaw.distort(s.world, seen)
	return seen
}

func (s *store) status(one *node) execute.NodeStatus {
	status := execute.NodeStatus{Ready: one.ready(s.now), Votes: one.votes, InFlight: len(one.open)}
	if one.spec.Kind == room.Core && !s.input.Replacements[s.replacementOf(one)].Surge {
		status.Ready = status.Ready && one.votes
	}
	for _, open := range one.open {
		if open.resumable {
			status.Migratable++
		}
		// a proxy that is cut off reports nothing, and a server sees only what has arrived
		unseen := one.spec.Kind == room.Server && s.now < open.edge.cutUntil && s.now < open.arrivesAt
		if unseen || s.flaw == flawSeesArrived && s.now < open.arrivesAt {
			status.InFlight--
		}
	}
	return status
}

func (s *store) replacementOf(one *node) int {
	return max(slices.IndexFunc(s.input.Replacements, func(r plan.Replacement) bool {
		return r.New.ID == one.spec.ID || r.Old.ID == one.spec.ID
	}), 0)
}

// inForce is the revision that every edge machine has in force that may be sending; one that crashed counts
// until it is back.
func (s *store) inForce() uint64 {
	least := ^uint64(0)
	for _, one := range s.order {
		if one.spec.Kind == room.Edge && (one.present || one.restartAt > 0) {
			least = min(least, one.inForce.Revision)
		}
	}
	return least
}

// loads gives the demand as measured: the most that was open at once in the last seconds.
func (s *store) loads() []room.Load {
	edges := map[string]float64{}
	var loads []room.Load
	for _, from := range s.clients {
		from.samples = append(from.samples, s.openOf(from)+from.turnedAway)
		from.turnedAway = 0
		if len(from.samples) > 10 {
			from.samples = from.samples[1:]
		}
		most := float64(slices.Max(from.samples))
		edges[from.region] += most
		loads = append(loads, room.Load{Region: from.region, Group: serving, HomeRegions: from.homes, Required: room.Amount{room.Slots: most}})
	}
	for region, most := range edges {
		loads = append(loads, room.Load{
			Region: region, Group: room.Group{Kind: room.Edge}, HomeRegions: []string{region}, Required: room.Amount{room.Slots: most},
		})
	}
	slices.SortFunc(loads, func(a, b room.Load) int { return compareLoads(&a, &b) })
	return loads
}

// openOf counts the replies of a client that are open.
func (w *world) openOf(from *client) int {
	open := 0
	for _, one := range w.replies {
		if one.client == from {
			open++
		}
	}
	return open
}
