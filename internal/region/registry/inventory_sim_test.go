package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
)

const (
	simulationStep = 50 * time.Millisecond
	simulationRate = 30.0
)

// simulatedMachine is one control machine of a simulation.
type simulatedMachine struct {
	host                string
	inventory           *ServerInventory
	frozen              bool
	receivesNothing     bool // the machine receives no messages from others
	sendsNothing        bool // the other machines receive no messages from this one
	platformUnreachable bool // the machine's polls fail
	pollEnds            time.Duration
	poll                *PollDone
	last                *pb.ListVersion
}

// delivery is a message in transit.
type delivery struct {
	at    time.Duration
	to    int
	event Event
}

// simulation simulates several inventories that poll a platform whose servers change.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Duration
	machines     []*simulatedMachine
	inTransit    []delivery
	servers      []*pb.Server
	changed      time.Duration // time of the last change of the platform's list
	platformDown bool          // the polls of all machines fail
	lossy        bool          // one message in 20 is lost
	calls        []time.Duration
	watch        func(host string, action Action) // called with each action, unless nil
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), servers: []*pb.Server{serverNamed("s0")}}
	for index := range 4 {
		s.machines = append(s.machines, &simulatedMachine{host: fmt.Sprintf("m%d", index)})
		s.restart(index)
	}
	return s
}

func (s *simulation) restart(index int) {
	machine := s.machines[index]
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	*machine = simulatedMachine{host: machine.host, inventory: NewServerInventory(machine.host, simulationRate, random)}
	s.send(index, VersionObserved{Peer: true}) // the first heartbeat
}

// liveHosts returns the hosts that the given machine is in contact with, including its own.
func (s *simulation) liveHosts(self int) []string {
	var order []string
	for index, machine := range s.machines {
		reachable := !machine.frozen && !machine.sendsNothing && !s.machines[self].receivesNothing
		if index == self || reachable {
			order = append(order, machine.host)
		}
	}
	return order
}

func (s *simulation) send(from int, event Event) {
	for to, machine := range s.machines {
		if to == from || machine.receivesNothing || s.machines[from].sendsNothing || s.lossy && s.random.IntN(20) == 0 {
			continue
		}
		delay := time.Duration(s.random.IntN(60)) * time.Millisecond
		s.inTransit = append(s.inTransit, delivery{at: s.now + delay, to: to, event: event})
	}
}

func (s *simulation) step(index int, event Event) {
	machine := s.machines[index]
	for _, action := range machine.inventory.Step(s.now, event) {
		if s.watch != nil {
			s.watch(machine.host, action)
		}
		switch action := action.(type) {
		case StartPoll:
			s.startPoll(machine)
		case SendList:
			s.send(index, ListReceived(action))
		}
	}
	require.NoError(s.t, machine.inventory.Check())
	version := machine.inventory.Current().Version()
	require.GreaterOrEqual(s.t, serverlist.CompareVersions(version, machine.last), 0, "the list version of %s decreased", machine.host)
	machine.last = version
}

func (s *simulation) startPoll(machine *simulatedMachine) {
	s.calls = append(s.calls, s.now)
	machine.poll = &PollDone{SentAt: s.now, Pages: 1, Servers: slices.Clone(s.servers)}
	machine.pollEnds = s.now + time.Duration(s.random.IntN(300))*time.Millisecond
	if s.platformDown || machine.platformUnreachable {
		machine.poll.Failed = true
		machine.pollEnds = s.now + time.Second
	}
}

// advance advances the time by one step and delivers the messages and events that are due.
func (s *simulation) advance() {
	s.now += simulationStep
	due := s.inTransit
	s.inTransit = nil
	for _, one := range due {
		if one.at > s.now || s.machines[one.to].frozen {
			s.inTransit = append(s.inTransit, one)
			continue
		}
		s.step(one.to, one.event)
	}
	for index, machine := range s.machines {
		if machine.frozen {
			continue
		}
		if machine.poll != nil && machine.pollEnds <= s.now {
			done := *machine.poll
			machine.poll = nil
			s.step(index, done)
		}
		if s.now%(250*time.Millisecond) == 0 {
			order := s.liveHosts(index)
			s.step(index, Tick{LiveHosts: order, Position: index, Partitioned: 2*len(order) <= len(s.machines)})
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.send(index, VersionObserved{Version: machine.inventory.AdvertisedVersion(), Peer: true})
		}
	}
	s.checkCalls()
}

// checkCalls requires that the calls within one second stay below half of the platform's rate.
func (s *simulation) checkCalls() {
	for len(s.calls) > 0 && s.calls[0] <= s.now-time.Second {
		s.calls = s.calls[1:]
	}
	require.Less(s.t, float64(len(s.calls)), simulationRate/2)
}

// injectFault injects or ends a fault, or changes the servers, at random.
func (s *simulation) injectFault() {
	machine := s.machines[s.random.IntN(len(s.machines))]
	switch s.random.IntN(6) {
	case 0:
		machine.frozen = !machine.frozen
	case 1:
		partitioned := !machine.sendsNothing
		machine.sendsNothing, machine.receivesNothing, machine.platformUnreachable = partitioned, partitioned, partitioned
	case 2:
		s.platformDown = !s.platformDown
	case 3:
		s.restart(slices.Index(s.machines, machine))
	default:
		s.changeServers()
	}
}

func (s *simulation) changeServers() {
	s.changed = s.now
	s.servers = slices.Clone(s.servers)
	if len(s.servers) > 1 && s.random.IntN(2) == 0 {
		s.servers = s.servers[1:]
		return
	}
	s.servers = append(s.servers, serverNamed(fmt.Sprintf("s%d", s.random.IntN(1000))))
	s.servers = slices.CompactFunc(sortServers(s.servers), func(one, other *pb.Server) bool { return one.Id == other.Id })
}

// heal ends all faults.
func (s *simulation) heal() {
	s.platformDown = false
	s.lossy = false
	for _, machine := range s.machines {
		machine.frozen, machine.sendsNothing, machine.receivesNothing, machine.platformUnreachable = false, false, false, false
	}
}

// run advances the time by the duration and calls each after every step.
func (s *simulation) run(duration time.Duration, each func()) {
	for end := s.now + duration; s.now < end; {
		s.advance()
		each()
	}
}

// requireAgreement requires that there is one owner and that all machines have the platform's list.
func (s *simulation) requireAgreement() {
	owners := 0
	for _, machine := range s.machines {
		if machine.inventory.IsOwner() {
			owners++
		}
		list := machine.inventory.Current()
		require.NotNil(s.t, list)
		require.Less(s.t, list.Age(s.now), 2500*time.Millisecond, machine.host)
		require.Equal(s.t, s.machines[0].last, list.Version())
		if s.now-s.changed > 2500*time.Millisecond {
			require.Equal(s.t, sortServers(s.servers), list.servers)
		}
	}
	require.Equal(s.t, 1, owners)
}

func TestInventoriesAgreeAfterFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed)
			for range 4 {
				s.lossy = true
				s.run(20*time.Second, func() {
					if s.random.IntN(30) == 0 {
						s.injectFault()
					}
				})
				s.heal()
				s.run(12*time.Second, func() {})
				s.requireAgreement()
				require.Equal(t, "m0", s.machines[0].inventory.Current().Version().Holder, "the first in order is the owner")
				s.changeServers()
				s.run(3*time.Second, func() {})
				s.requireAgreement()
			}
		})
	}
}

// TestListsAreBackSoonAfterAllMachinesRestart guards against a long time without a list after a restart of all
// machines, during which no proxy could serve requests.
func TestListsAreBackSoonAfterAllMachinesRestart(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, seed)
		s.run(10*time.Second, func() {})
		s.requireAgreement()
		s.inTransit = nil // all machines were down for longer than a message is in transit
		for index := range s.machines {
			s.restart(index)
		}
		s.run(time.Second, func() {}) // covers the listen window, a tick, the slowest poll and the messages to the others
		for _, machine := range s.machines {
			require.NotNil(t, machine.inventory.Current())
		}
		s.run(10*time.Second, func() {})
		s.requireAgreement()
	}
}

// TestRestartOfOneMachineKeepsTheOwner guards against a restarted machine that replaces the owner's list: in response
// to its first heartbeat it gets the owner's list.
func TestRestartOfOneMachineKeepsTheOwner(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, seed)
		s.run(10*time.Second, func() {})
		before := s.machines[0].last
		s.restart(2)
		s.run(5*time.Second, func() {})
		s.requireAgreement()
		require.Equal(t, before, s.machines[0].last)
	}
}

// TestFrozenOwnerIsReplacedInTime guards against a list that grows older than the bounds on draining allow after the
// owner froze.
func TestFrozenOwnerIsReplacedInTime(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, seed)
		s.run(10*time.Second, func() {})
		s.requireAgreement()
		s.machines[0].frozen = true
		s.run(15*time.Second, func() {
			for _, machine := range s.machines[1:] {
				require.Less(t, machine.inventory.Current().Age(s.now), 3500*time.Millisecond)
			}
		})
	}
}
