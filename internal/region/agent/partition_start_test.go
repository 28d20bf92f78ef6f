package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

const (
	partitionStep = 10 * time.Millisecond
	// maxPartition is the maximum duration of the partition of a control machine from the others.
	maxPartition = 22 * time.Second
	// commitInterval is the time between two changes of the agreed state.
	commitInterval = 300 * time.Millisecond
	// confirmedWithin is the time within which the state of the proxy has to be confirmed once the agent reaches the
	// other control machines.
	confirmedWithin = 3 * time.Second
	// maxStaleness is the maximum age of the confirmed state, since a call ends after watchTimeout.
	maxStaleness = watchTimeout + 100*time.Millisecond
)

// partitionedStart simulates an agent that starts while one of its seeds is partitioned from the other control
// machines. The agent may be on either side of the partition.
type partitionedStart struct {
	t               *testing.T
	random          *rand.Rand
	now             time.Duration
	core            *core
	pending         []pendingEvent
	partitionedAt   time.Duration
	healedAt        time.Duration
	reachableAt     time.Duration // time from which the agent reaches the other control machines
	claimsAuthority bool          // injects a fault: the partitioned machine claims authority

	proxy       *gossip.Replica
	confirmedAt time.Duration // 0: not yet
	staleness   time.Duration // age of the confirmed state
}

type pendingEvent struct {
	at    time.Duration
	event event
}

func newPartitionedStart(t *testing.T, seed uint64) *partitionedStart {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	s := &partitionedStart{t: t, random: random, proxy: gossip.NewReplica(), partitionedAt: 5 * time.Second}
	s.healedAt = s.partitionedAt + time.Duration(random.Int64N(int64(maxPartition)))
	s.now = s.partitionedAt + time.Duration(random.Int64N(int64(s.healedAt-s.partitionedAt)+1))
	s.reachableAt = s.now
	if random.IntN(2) == 0 {
		s.reachableAt = s.healedAt
	}
	self := shuffle.Neighbour{Host: "edge-1", Address: "10.0.0.1:7661", Zone: "zone-a", Region: "region-a"}
	s.core = newCore(identity{neighbour: self, incarnation: 1}, shuffledSeeds(random), 8*time.Second, random, zap.NewNop())
	s.core.control.nextLongPoll += s.now // the core's clock begins with the start
	return s
}

// partitionedSeed is the machine that is partitioned from the others.
const partitionedSeed = "core-0:1"

func shuffledSeeds(random *rand.Rand) []string {
	seeds := []string{partitionedSeed, "core-1:1", "core-2:1"}
	random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// agreed returns the newest committed sequence at a time.
func agreed(at time.Duration) uint64 { return uint64(at / commitInterval) }

// run simulates until the state of the proxy is confirmed, or the time limit for the confirmation is over.
func (s *partitionedStart) run() {
	for end := s.reachableAt + confirmedWithin; s.now < end && s.confirmedAt == 0; s.now += partitionStep {
		due := s.pending
		s.pending = nil
		for _, pending := range due {
			if pending.at > s.now {
				s.pending = append(s.pending, pending)
				continue
			}
			s.step(pending.event)
		}
		s.step(tick{})
	}
}

func (s *partitionedStart) step(received event) {
	for _, call := range s.core.step(s.now, received) {
		switch wanted := call.(type) {
		case watchCall:
			s.watch(wanted)
		case proxyCall:
			s.applyToProxy(wanted)
		}
	}
	require.Zero(s.t, s.core.violations.total())
}

func (s *partitionedStart) later(wait time.Duration, received event) {
	s.pending = append(s.pending, pendingEvent{at: s.now + wait, event: received})
}

// watch simulates a control machine, which responds at once if it has an update or authority, and otherwise at the end
// of the wait.
func (s *partitionedStart) watch(call watchCall) {
	if call.address != partitionedSeed && s.now < s.reachableAt {
		s.later(call.dialTimeout, watchDone{call: call, err: errors.Mark(errors.New("partitioned"), errDialTimeout)})
		return
	}
	isPartitioned := call.address == partitionedSeed && s.now < s.healedAt
	response := &pb.WatchResponse{Authoritative: !isPartitioned || s.claimsAuthority, Sequence: agreed(s.now)}
	if isPartitioned {
		response.Sequence = agreed(s.partitionedAt)
	}
	if response.Sequence > call.request.GetSequence() && !call.request.GetProbe() {
		response.Repair = stateUpTo(response.Sequence).Snapshot().RepairFor(nil)
	}
	wait := time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
	if response.Repair == nil && !response.Authoritative {
		wait += time.Duration(call.request.GetHoldMs()) * time.Millisecond
	}
	s.later(wait, watchDone{call: call, response: response})
}

// states caches replicas by sequence.
var states = make(map[uint64]*gossip.Replica)

func stateUpTo(sequence uint64) *gossip.Replica {
	if states[sequence] == nil {
		replica := gossip.NewReplica()
		for next := uint64(1); next <= sequence; next++ {
			replica.ApplyChanges([]*pb.Change{change(next)})
		}
		states[sequence] = replica
	}
	return states[sequence]
}

// applyToProxy simulates the proxy, which applies the update and responds with its status.
func (s *partitionedStart) applyToProxy(call proxyCall) {
	if repair := call.apply.GetRepair(); repair != nil {
		_, err := s.proxy.Restore(nil, repair)
		require.NoError(s.t, err)
	}
	s.proxy.ApplyChanges(call.apply.GetChanges())
	if call.apply.GetConfirmed() && s.confirmedAt == 0 {
		s.confirmedAt = s.now
		s.staleness = s.now - time.Duration(s.proxy.Sequence()+1)*commitInterval
	}
	status := &pb.ProxyStatus{Incarnation: 7, Sequence: s.proxy.Sequence(), Ready: s.confirmedAt > 0}
	s.later(time.Millisecond, proxyCallDone{call: call, status: status})
}

func TestAgentThatStartsDuringAPartitionIsConfirmedByTheOthersAlone(t *testing.T) {
	var waits, stales []time.Duration
	for seed := range uint64(400) {
		s := newPartitionedStart(t, seed)
		s.run()
		require.NotZero(t, s.confirmedAt, "seed %d: not confirmed", seed)
		require.LessOrEqual(t, s.staleness, maxStaleness, "seed %d", seed)
		require.GreaterOrEqual(t, s.confirmedAt, s.reachableAt, "seed %d: confirmed by the partitioned machine", seed)
		waits = append(waits, s.confirmedAt-s.reachableAt)
		stales = append(stales, s.staleness)
	}
	slices.Sort(waits)
	t.Logf("confirmed after %v (p50), %v (p99), %v at most; the state was %v old at most",
		waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1], slices.Max(stales))
}

func TestPartitionedMachineThatClaimsAuthorityIsFound(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		s := newPartitionedStart(t, seed)
		s.claimsAuthority = true
		s.run()
		if s.staleness > maxStaleness {
			found++
		}
	}
	require.Positive(t, found)
}
