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
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

const (
	cutStep = 10 * time.Millisecond
	// longestCut is how long a control machine may be cut off from the others.
	longestCut = 22 * time.Second
	// commitEvery is the time between two changes of the agreed state.
	commitEvery = 300 * time.Millisecond
	// linkedWithin is how soon the proxy's state must be confirmed once the agent reaches the others.
	linkedWithin = 3 * time.Second
	// confirmedAge is how old the confirmed state may be: a call ends after watchTimeout.
	confirmedAge = watchTimeout + 100*time.Millisecond
)

// cutStart is a simulated agent that starts while the first of its seeds is cut off from the other control
// machines; the agent itself may be on either side.
type cutStart struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	core     *core
	pending  []pendingEvent
	cutAt    time.Duration
	joinAt   time.Duration
	reaches  time.Duration // when the agent reaches the others
	deceives bool          // the planted fault: the cut machine calls its state agreed

	proxy       *gossip.Replica
	confirmedAt time.Duration // 0: not yet
	stale       time.Duration // age of the confirmed state
}

type pendingEvent struct {
	at       time.Duration
	happened event
}

func newCutStart(t *testing.T, seed uint64) *cutStart {
	random := rand.New(rand.NewPCG(seed, 3))
	s := &cutStart{t: t, random: random, proxy: gossip.NewReplica(), cutAt: 5 * time.Second}
	s.joinAt = s.cutAt + time.Duration(random.Int64N(int64(longestCut)))
	s.now = s.cutAt + time.Duration(random.Int64N(int64(s.joinAt-s.cutAt)+1))
	s.reaches = s.now
	if random.IntN(2) == 0 {
		s.reaches = s.joinAt
	}
	self := shuffle.Neighbour{Host: "edge-1", Address: "10.0.0.1:7661", Zone: "zone-a", Region: "region-a"}
	s.core = newCore(identity{neighbour: self, incarnation: 1}, seedsOf(random), 8*time.Second, random, zap.NewNop())
	s.core.control.nextLongPoll += s.now // the core's clock begins with the start
	return s
}

// cutSeed is the machine that is cut off.
const cutSeed = "core-0:1"

func seedsOf(random *rand.Rand) []string {
	seeds := []string{cutSeed, "core-1:1", "core-2:1"}
	random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// agreed is the newest committed sequence at a time.
func agreed(at time.Duration) uint64 { return uint64(at / commitEvery) }

// run plays until the proxy's state is confirmed, or until it should have been.
func (s *cutStart) run() {
	for end := s.reaches + linkedWithin; s.now < end && s.confirmedAt == 0; s.now += cutStep {
		due := s.pending
		s.pending = nil
		for _, one := range due {
			if one.at > s.now {
				s.pending = append(s.pending, one)
				continue
			}
			s.step(one.happened)
		}
		s.step(tick{})
	}
}

func (s *cutStart) step(happened event) {
	for _, wanted := range s.core.step(s.now, happened) {
		switch wanted := wanted.(type) {
		case watchCall:
			s.watch(wanted)
		case proxyCall:
			s.feed(wanted)
		}
	}
	require.Zero(s.t, s.core.violations.total())
}

func (s *cutStart) later(wait time.Duration, happened event) {
	s.pending = append(s.pending, pendingEvent{at: s.now + wait, happened: happened})
}

// watch lets a control machine answer, at once if it has news, at the end of the hold otherwise.
func (s *cutStart) watch(call watchCall) {
	if call.address != cutSeed && s.now < s.reaches {
		s.later(call.dialTimeout, watchDone{call: call, err: errors.Mark(errors.New("cut"), errDialTimeout)})
		return
	}
	isCut := call.address == cutSeed && s.now < s.joinAt
	response := &pb.WatchResponse{Authoritative: !isCut || s.deceives, Sequence: agreed(s.now)}
	if isCut {
		response.Sequence = agreed(s.cutAt)
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

// states are copies by their sequence.
var states = make(map[uint64]*gossip.Replica)

func stateUpTo(sequence uint64) *gossip.Replica {
	if states[sequence] == nil {
		held := gossip.NewReplica()
		for next := uint64(1); next <= sequence; next++ {
			held.ApplyChanges([]*pb.Change{change(next)})
		}
		states[sequence] = held
	}
	return states[sequence]
}

// feed lets the proxy take what it is given.
func (s *cutStart) feed(call proxyCall) {
	if repair := call.apply.GetRepair(); repair != nil {
		_, err := s.proxy.Restore(nil, repair)
		require.NoError(s.t, err)
	}
	s.proxy.ApplyChanges(call.apply.GetChanges())
	if call.apply.GetConfirmed() && s.confirmedAt == 0 {
		s.confirmedAt = s.now
		s.stale = s.now - time.Duration(s.proxy.Sequence()+1)*commitEvery
	}
	status := &pb.ProxyStatus{Incarnation: 7, Sequence: s.proxy.Sequence(), Ready: s.confirmedAt > 0}
	s.later(time.Millisecond, proxyCallDone{call: call, status: status})
}

func TestAgentThatStartsDuringACutIsConfirmedByTheOthersAlone(t *testing.T) {
	var waits, stales []time.Duration
	for seed := range uint64(400) {
		s := newCutStart(t, seed)
		s.run()
		require.NotZero(t, s.confirmedAt, "seed %d: not confirmed", seed)
		require.LessOrEqual(t, s.stale, confirmedAge, "seed %d", seed)
		require.GreaterOrEqual(t, s.confirmedAt, s.reaches, "seed %d: by the cut machine", seed)
		waits = append(waits, s.confirmedAt-s.reaches)
		stales = append(stales, s.stale)
	}
	slices.Sort(waits)
	t.Logf("confirmed after %v (p50), %v (p99), %v at most; the state was %v old at most",
		waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1], slices.Max(stales))
}

func TestACutMachineThatCallsItsStateAgreedIsFound(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		s := newCutStart(t, seed)
		s.deceives = true
		s.run()
		if s.stale > confirmedAge {
			found++
		}
	}
	require.Positive(t, found)
}
