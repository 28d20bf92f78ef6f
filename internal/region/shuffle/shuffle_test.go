package shuffle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	swarmSize    = 400
	regions      = 3
	tickInterval = time.Second
)

// swarm simulates many members without a network: an exchange is delivered at once or fails.
type swarm struct {
	t        *testing.T
	random   *rand.Rand
	members  []*View
	index    map[string]int
	dead     map[string]bool
	now      time.Duration
	loss     float64
	onAction func(host string, action Action) // called with each action; may be nil
}

func member(i int) Neighbour {
	return Neighbour{
		Host:    fmt.Sprintf("edge-%d", i),
		Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Zone:    fmt.Sprintf("zone-%d", i%(2*regions)),
		Region:  fmt.Sprintf("region-%d", i%regions),
	}
}

func newSwarm(t *testing.T, seed uint64) *swarm {
	s := &swarm{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 1)),
		index:  make(map[string]int),
		dead:   make(map[string]bool),
	}
	for i := range swarmSize {
		self := member(i)
		s.index[self.Host] = i
		s.members = append(s.members, New(self, rand.New(rand.NewPCG(seed, uint64(i)+2))))
	}
	return s
}

// bootstrapFromPredecessors gives each member only its predecessors as neighbours, so that only exchanges can mix the
// graph.
func (s *swarm) bootstrapFromPredecessors(predecessors int) {
	for i, view := range s.members {
		var known []Neighbour
		for back := 1; back <= predecessors; back++ {
			known = append(known, member((i+swarmSize-back)%swarmSize))
		}
		view.Step(s.now, MembersReceived{Members: known})
		view.candidates = nil
	}
}

func (s *swarm) run(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += tickInterval {
		for _, i := range s.random.Perm(len(s.members)) {
			if view := s.members[i]; !s.dead[view.self.Host] {
				s.deliver(view, view.Step(s.now, Tick{}))
				s.check(view)
			}
		}
	}
}

func (s *swarm) deliver(from *View, actions []Action) {
	for _, action := range actions {
		exchange := action.(Exchange)
		if s.onAction != nil {
			s.onAction(from.self.Host, exchange)
		}
		require.LessOrEqual(s.t, len(exchange.Sample), ExchangeSize-1)
		partner := s.members[s.index[exchange.To.Host]]
		if s.dead[exchange.To.Host] || s.random.Float64() < s.loss {
			from.Step(s.now, ExchangeFailed{Host: exchange.To.Host})
			continue
		}
		answer := partner.Step(s.now, ExchangeRequested{From: exchange.From, Sample: exchange.Sample})[0].(ExchangeReply)
		if s.onAction != nil {
			s.onAction(exchange.To.Host, answer)
		}
		s.check(partner)
		if s.random.Float64() < s.loss {
			from.Step(s.now, ExchangeFailed{Host: exchange.To.Host})
			continue
		}
		from.Step(s.now, ExchangeAnswered{From: exchange.To, Sample: answer.Sample})
	}
}

// check checks the invariants of one view.
func (s *swarm) check(view *View) {
	if len(view.neighbours) > ViewSize {
		s.t.Fatalf("view holds %d neighbours, more than ViewSize", len(view.neighbours))
	}
	seen := make(map[string]bool, ViewSize)
	for _, neighbour := range view.neighbours {
		if neighbour.Host == view.self.Host || seen[neighbour.Host] {
			s.t.Fatalf("view of %s contains its own member or a duplicate: %v", view.self.Host, view.neighbours)
		}
		seen[neighbour.Host] = true
	}
}

// reached returns the number of live members that can be reached from the first one by following neighbours in either
// direction, and the number of all live members.
func (s *swarm) reached() (reached, live int) {
	links := make(map[string][]string)
	var start string
	for _, view := range s.members {
		if s.dead[view.self.Host] {
			continue
		}
		live++
		if start == "" {
			start = view.self.Host
		}
		for _, neighbour := range view.neighbours {
			if !s.dead[neighbour.Host] {
				links[view.self.Host] = append(links[view.self.Host], neighbour.Host)
				links[neighbour.Host] = append(links[neighbour.Host], view.self.Host)
			}
		}
	}
	seen := map[string]bool{start: true}
	for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
		for _, next := range links[queue[0]] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), live
}

func (s *swarm) requireConnected() {
	reached, live := s.reached()
	require.Equal(s.t, live, reached, "all live members must be reachable")
}

func (s *swarm) maxInDegree() int {
	degree := make(map[string]int)
	highest := 0
	for _, view := range s.members {
		for _, neighbour := range view.neighbours {
			degree[neighbour.Host]++
			highest = max(highest, degree[neighbour.Host])
		}
	}
	return highest
}

func TestSwarmMixesIntoAConnectedGraphOfBoundedDegree(t *testing.T) {
	for seed := range uint64(3) {
		s := newSwarm(t, seed)
		s.bootstrapFromPredecessors(3)
		s.run(3 * time.Minute)
		s.requireConnected()
		require.LessOrEqual(t, s.maxInDegree(), 4*ViewSize)
		for _, view := range s.members {
			require.Len(t, view.neighbours, ViewSize)
			require.GreaterOrEqual(t, view.countOwnRegion(), ownRegionSlots)
			require.GreaterOrEqual(t, len(view.neighbours)-view.countOwnRegion(), otherRegionSlots)
		}
	}
}

func TestSurvivorsStayConnectedWhenHalfDie(t *testing.T) {
	for seed := range uint64(3) {
		s := newSwarm(t, seed)
		s.bootstrapFromPredecessors(3)
		s.run(2 * time.Minute)
		for _, i := range s.random.Perm(swarmSize)[:swarmSize/2] {
			s.dead[member(i).Host] = true
		}
		s.run(3 * time.Minute)
		s.requireConnected()
		toDead := 0
		for _, view := range s.members {
			if s.dead[view.self.Host] {
				continue
			}
			for _, neighbour := range view.neighbours {
				if s.dead[neighbour.Host] {
					toDead++
				}
			}
		}
		require.Less(t, toDead, swarmSize/2*ViewSize/20, "dead neighbours in the views of survivors")
	}
}

func TestSwarmSurvivesLossesWithMembersFromControl(t *testing.T) {
	s := newSwarm(t, 9)
	all := make([]Neighbour, swarmSize)
	for i := range all {
		all[i] = member(i)
	}
	for _, view := range s.members {
		view.Step(0, MembersReceived{Members: all})
	}
	s.loss = 0.3
	s.run(2 * time.Minute)
	s.requireConnected()
}

func TestExchangeTakesTheOldestAndItsFailureDropsIt(t *testing.T) {
	view := New(member(0), rand.New(rand.NewPCG(1, 1)))
	old := member(1)
	old.Age = 7
	view.merge(0, []Neighbour{old, member(2), member(3)}, nil)
	view.Step(0, Tick{})
	exchange := view.Step(ExchangeInterval, Tick{})[0].(Exchange)
	require.Equal(t, old.Host, exchange.To.Host)
	require.Len(t, exchange.Sample, 2)
	view.Step(ExchangeInterval, ExchangeFailed{Host: old.Host})
	view.Step(ExchangeInterval, ExchangeRequested{From: member(2), Sample: []Neighbour{member(1)}})
	require.Equal(t, -1, view.find(old.Host), "samples from others must not reinsert a failed member")
	view.Step(ExchangeInterval, ExchangeRequested{From: member(1)})
	require.GreaterOrEqual(t, view.find(old.Host), 0, "a failed member that initiates an exchange must be inserted")
}

func TestNeighbourComesBackAfterItsExchange(t *testing.T) {
	view := New(member(0), rand.New(rand.NewPCG(1, 1)))
	view.Step(0, MembersReceived{Members: []Neighbour{member(0), member(1)}})
	view.Step(0, Tick{})
	exchange := view.Step(ExchangeInterval, Tick{})[0].(Exchange)
	require.Empty(t, view.Neighbours())
	view.Step(ExchangeInterval, ExchangeAnswered{From: member(2), Sample: []Neighbour{member(3)}})
	require.Empty(t, view.Neighbours(), "an answer from another member than the partner must be ignored")
	view.Step(ExchangeInterval, ExchangeAnswered{From: exchange.To, Sample: []Neighbour{member(0)}})
	require.Len(t, view.Neighbours(), 1)
}

func TestViewFillsAgainAfterEveryNeighbourFailed(t *testing.T) {
	view := New(member(0), rand.New(rand.NewPCG(1, 1)))
	view.Step(0, MembersReceived{Members: []Neighbour{member(1), member(2)}})
	view.Step(0, ExchangeFailed{Host: member(1).Host})
	view.Step(0, ExchangeFailed{Host: member(2).Host})
	require.Len(t, view.Neighbours(), 2, "failures must be cleared when the view is empty")
}

func TestSamplesOfStrangersAreBounded(t *testing.T) {
	view := New(member(0), rand.New(rand.NewPCG(1, 1)))
	many := make([]Neighbour, 100)
	for i := range many {
		many[i] = member(i + 2)
	}
	view.Step(0, ExchangeRequested{From: member(1), Sample: many})
	require.LessOrEqual(t, len(view.Neighbours()), ExchangeSize+1)
}
