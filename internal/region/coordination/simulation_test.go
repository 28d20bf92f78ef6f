package coordination

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/testkit/callers"
	"fieldrelay/internal/testkit/history"
)

// Durations and sizes of a simulated run.
const (
	faultPeriod    = 12 * time.Second // period with faults
	settlePeriod   = 8 * time.Second  // period without faults in which the callers continue
	finalPeriod    = 6 * time.Second  // period of the final calls
	retention      = 4 * time.Second
	zoneCount      = 3
	spareCount     = 2
	fastSyncMillis = 3
)

// simulation is a set of machines, each with an engine, a clock and a disk, together with the network between them and
// their callers. All random choices are drawn from the seed.
type simulation struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration // simulated time, independent of the machines' clocks
	events  eventQueue
	lastID  uint64
	planted plantedFault

	machines      []*machine // machines with a disk, running or stopped
	byIdentity    map[string]*machine
	network       *network
	view          *pb.View // view decided last
	faulty        bool
	maxSyncMillis float64 // maximum duration of a disk sync in milliseconds
}

// runSimulation runs a simulation and returns the history of its calls.
func runSimulation(seed uint64, fault plantedFault) []history.Call {
	s := newSimulation(seed, fault)
	s.bootstrap()
	s.faulty = true
	s.startFaults()
	applications := callers.Start(s, s.random)
	s.runUntil(faultPeriod)
	s.heal()
	s.runUntil(faultPeriod + settlePeriod)
	applications.Stop()
	s.runUntil(faultPeriod + settlePeriod + callers.FinalCallDelay)
	applications.StartFinalCalls()
	s.runUntil(faultPeriod + settlePeriod + callers.FinalCallDelay + finalPeriod)
	return applications.History()
}

func newSimulation(seed uint64, fault plantedFault) *simulation {
	s := &simulation{
		seed:       seed,
		random:     rand.New(rand.NewPCG(seed, 0)),
		planted:    fault,
		byIdentity: make(map[string]*machine),
	}
	s.network = newNetwork(s)
	s.maxSyncMillis = pick(s, []float64{fastSyncMillis, fastSyncMillis, 30, 150})
	return s
}

// bootstrap starts the machines and decides view 1.
func (s *simulation) bootstrap() {
	voters := 3 + 2*s.random.IntN(2)
	for range voters + spareCount {
		s.addMachine()
	}
	s.view = &pb.View{Number: 1, VotersEpoch: 1}
	for _, member := range s.machines[:voters] {
		s.view.Voters = append(s.view.Voters, member.replica)
	}
	for _, member := range s.machines[:voters] {
		member.adopt(s.view)
	}
	s.repeat(s.between(200, 400), s.changeView)
}

// addMachine starts a machine with an empty disk.
func (s *simulation) addMachine() {
	number := len(s.byIdentity)
	added := &machine{
		simulation: s,
		replica: &pb.Replica{
			Host:     fmt.Sprintf("host%d", number),
			Identity: fmt.Sprintf("m%d", number),
			Region:   fmt.Sprintf("region%d", number%zoneCount/2),
		},
	}
	added.disk = &disk{machine: added}
	s.machines = append(s.machines, added)
	s.byIdentity[added.identity()] = added
	added.start()
}

// after schedules an action.
func (s *simulation) after(delay time.Duration, action func()) {
	s.lastID++
	heap.Push(&s.events, &event{at: s.now + delay, id: s.lastID, action: action})
}

// repeat runs an action periodically.
func (s *simulation) repeat(interval time.Duration, action func()) {
	s.after(interval, func() {
		action()
		s.repeat(interval, action)
	})
}

func (s *simulation) runUntil(end time.Duration) {
	for s.events.Len() > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(*event)
		s.now = next.at
		next.action()
	}
	s.now = end
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// between draws a duration; the bounds are in milliseconds.
func (s *simulation) between(least, most float64) time.Duration {
	return time.Duration((least + s.random.Float64()*(most-least)) * float64(time.Millisecond))
}

// pick draws one element of a slice.
func pick[T any](s *simulation, from []T) T { return from[s.random.IntN(len(from))] }

type event struct {
	at     time.Duration
	id     uint64
	action func()
}

// eventQueue implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].id < q[b].id
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *eventQueue) Push(item any) { *q = append(*q, item.(*event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}
