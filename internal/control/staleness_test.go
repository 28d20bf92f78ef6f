package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// agreed is a machine that holds the agreed state as the head of a chain of five.
type agreed struct {
	t       *testing.T
	machine *Machine
	peers   []*pb.Replica
	now     time.Duration
}

func newAgreed(t *testing.T) *agreed { return newAgreedIn(t, viewOfFive()) }

// newAgreedIn has the first voter of a view hold the agreed state, which is the head of its chain.
func newAgreedIn(t *testing.T, view *pb.View) *agreed {
	machine, peers := startedIn(t, view)
	a := &agreed{t: t, machine: machine, peers: peers}
	a.receive(0, &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{ViewNumber: 1}}})
	a.pass(time.Second, 0, 1)
	require.True(t, machine.Authoritative())
	return a
}

// pass lets time pass, in which some of the peers send heartbeats.
func (a *agreed) pass(span time.Duration, from ...int) {
	for end := a.now + span; a.now < end; {
		a.now += TickInterval
		a.machine.Step(a.now, Tick{})
		for _, index := range from {
			hear(a.machine, a.now, a.peers[index])
		}
	}
}

func (a *agreed) receive(from int, message *pb.Message) {
	message.From = a.peers[from]
	a.machine.Step(a.now, Received{Message: message})
}

func (a *agreed) told(from int, heartbeat *pb.Heartbeat) {
	a.receive(from, &pb.Message{Body: &pb.Message_Heartbeat{Heartbeat: heartbeat}})
}

func TestAuthorityNeedsHeartbeatsOfAMajority(t *testing.T) {
	a := newAgreed(t)
	a.pass(FailureTimeout, 0)
	a.pass(2*TickInterval, 0)
	require.False(t, a.machine.Authoritative())
	a.pass(TickInterval, 0, 1)
	require.True(t, a.machine.Authoritative())
}

// A chain that is out of reach as a whole may still acknowledge what was on its way.
func TestAuthorityNeedsAHeartbeatOfTheChain(t *testing.T) {
	view := viewOfFive()
	view.Chain = view.Chain[3:]
	machine, peers := startedIn(t, view)
	hear(machine, TickInterval, peers[0])
	hear(machine, TickInterval, peers[1])
	require.True(t, machine.peers.hasMajority(machine.View()))
	require.False(t, machine.staleness.hasHeartbeats())
	hear(machine, TickInterval, peers[3])
	require.True(t, machine.staleness.hasHeartbeats())
}

func TestOtherMessagesThanHeartbeatsGiveNoAuthority(t *testing.T) {
	a := newAgreed(t)
	for range 2 * FailureTimeout / TickInterval {
		a.pass(TickInterval)
		for index := range a.peers {
			a.receive(index, &pb.Message{Body: &pb.Message_ViewCheck{ViewCheck: &pb.ViewCheck{ViewNumber: 1}}})
		}
	}
	require.True(t, a.machine.peers.hasMajority(a.machine.View()))
	require.False(t, a.machine.Authoritative())
}

func TestAMachineThatIsToldOfALaterViewHasNoAuthority(t *testing.T) {
	a := newAgreed(t)
	a.told(3, &pb.Heartbeat{ViewNumber: 2})
	require.False(t, a.machine.Authoritative())
	a.pass(time.Second, 0, 1, 2, 3)
	require.False(t, a.machine.Authoritative(), "it has not learnt of that view")
}

func TestAMachineThatDoesNotGetWhatIsCommittedHasNoAuthority(t *testing.T) {
	a := newAgreed(t)
	a.told(2, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
	a.pass(lagTimeout, 0, 1, 2)
	require.False(t, a.machine.Authoritative())
}

func TestWhatAMachineThatJustStartedHasOnDiskMayBeCommitted(t *testing.T) {
	a := newAgreed(t)
	a.told(2, &pb.Heartbeat{ViewNumber: 1, Sequence: 1})
	a.pass(lagTimeout, 0, 1)
	require.False(t, a.machine.Authoritative())
}

func TestAMachineThatWasCutOffHasNoAuthorityUntilItHasAllThatItIsTold(t *testing.T) {
	a := newAgreed(t)
	a.pass(20 * time.Second)
	a.told(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	a.told(1, &pb.Heartbeat{ViewNumber: 1})
	require.False(t, a.machine.Authoritative(), "the change is not on its way only now")
}

// Messages that have waited for a machine that stood still do not show that it is in touch.
func TestAStandstillEndsTheAuthority(t *testing.T) {
	a := newAgreed(t)
	a.now += 20 * time.Second
	hear(a.machine, a.now, a.peers[0])
	hear(a.machine, a.now, a.peers[1])
	require.False(t, a.machine.Authoritative(), "before the first tick")
	a.pass(stallGracePeriod-TickInterval, 0, 1)
	require.False(t, a.machine.Authoritative())
	a.pass(2*TickInterval, 0, 1)
	require.True(t, a.machine.Authoritative())
}

func TestThePictureThatAStandingLoopLeftGivesNoAuthority(t *testing.T) {
	node := &Node{startedAt: time.Now().Add(-time.Hour)}
	node.status.Store(&Status{Authoritative: true})
	node.lastTickAt.Store(int64(time.Hour - stallThreshold))
	require.False(t, node.Status().Authoritative)
	node.lastTickAt.Store(int64(time.Hour))
	require.True(t, node.Status().Authoritative)
}
