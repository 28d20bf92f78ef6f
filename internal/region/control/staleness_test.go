package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// authoritativeMachine holds the agreed state as the head of a chain of five.
type authoritativeMachine struct {
	t       *testing.T
	machine *Machine
	peers   []*pb.Replica
	now     time.Duration
}

func newAuthoritativeMachine(t *testing.T) *authoritativeMachine {
	t.Helper()
	return newAuthoritativeMachineIn(t, viewOfFive())
}

// newAuthoritativeMachineIn has the first voter of a view hold the agreed state, which is the head of its chain.
func newAuthoritativeMachineIn(t *testing.T, view *pb.View) *authoritativeMachine {
	t.Helper()
	machine, peers := newRestartedMachineIn(t, view)
	a := &authoritativeMachine{t: t, machine: machine, peers: peers}
	a.receive(0, &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{ViewNumber: 1}}})
	a.pass(time.Second, 0, 1)
	require.True(t, machine.Authoritative())
	return a
}

// pass lets time pass, in which some of the peers send heartbeats.
func (a *authoritativeMachine) pass(span time.Duration, from ...int) {
	for end := a.now + span; a.now < end; {
		a.now += TickInterval
		a.machine.Step(a.now, Tick{})
		for _, index := range from {
			receiveHeartbeatOf(a.machine, a.now, a.peers[index])
		}
	}
}

func (a *authoritativeMachine) receive(from int, message *pb.Message) {
	message.From = a.peers[from]
	a.machine.Step(a.now, Received{Message: message})
}

func (a *authoritativeMachine) receiveHeartbeat(from int, heartbeat *pb.Heartbeat) {
	a.receive(from, &pb.Message{Body: &pb.Message_Heartbeat{Heartbeat: heartbeat}})
}

func TestAuthorityNeedsHeartbeatsOfAMajority(t *testing.T) {
	a := newAuthoritativeMachine(t)
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
	machine, peers := newRestartedMachineIn(t, view)
	receiveHeartbeatOf(machine, TickInterval, peers[0])
	receiveHeartbeatOf(machine, TickInterval, peers[1])
	require.True(t, machine.peers.hasMajority(machine.View()))
	require.False(t, machine.staleness.hasHeartbeats())
	receiveHeartbeatOf(machine, TickInterval, peers[3])
	require.True(t, machine.staleness.hasHeartbeats())
}

func TestOtherMessagesThanHeartbeatsGiveNoAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
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
	a := newAuthoritativeMachine(t)
	a.receiveHeartbeat(3, &pb.Heartbeat{ViewNumber: 2})
	require.False(t, a.machine.Authoritative())
	a.pass(time.Second, 0, 1, 2, 3)
	require.False(t, a.machine.Authoritative(), "it has not learnt of that view")
}

func TestAMachineThatDoesNotGetWhatIsCommittedHasNoAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.receiveHeartbeat(2, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
	a.pass(lagTimeout, 0, 1, 2)
	require.False(t, a.machine.Authoritative())
}

func TestWhatAMachineThatJustStartedHasOnDiskMayBeCommitted(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.receiveHeartbeat(2, &pb.Heartbeat{ViewNumber: 1, Sequence: 1})
	a.pass(lagTimeout, 0, 1)
	require.False(t, a.machine.Authoritative())
}

func TestAMachineThatWasCutOffHasNoAuthorityUntilItHasAllThatItIsTold(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.pass(20 * time.Second)
	a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	a.receiveHeartbeat(1, &pb.Heartbeat{ViewNumber: 1})
	require.False(t, a.machine.Authoritative(), "the change is not on its way only now")
}

// Messages that have waited for a stalled process do not show that it is in contact.
func TestAStallEndsTheAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.now += 20 * time.Second
	receiveHeartbeatOf(a.machine, a.now, a.peers[0])
	receiveHeartbeatOf(a.machine, a.now, a.peers[1])
	require.False(t, a.machine.Authoritative(), "before the first tick")
	a.pass(stallGracePeriod-TickInterval, 0, 1)
	require.False(t, a.machine.Authoritative())
	a.pass(2*TickInterval, 0, 1)
	require.True(t, a.machine.Authoritative())
}

func TestStatusOfAStalledLoopIsNotAuthoritative(t *testing.T) {
	node := &Node{startedAt: time.Now().Add(-time.Hour)}
	node.status.Store(&Status{Authoritative: true})
	node.lastTickAt.Store(int64(time.Hour - stallThreshold))
	require.False(t, node.Status().Authoritative)
	node.lastTickAt.Store(int64(time.Hour))
	require.True(t, node.Status().Authoritative)
}

// Contact that was lost and came back between two ticks was lost all the same: a change that is advertised then may have
// been acknowledged a failure timeout ago.
func TestContactLostBetweenTwoTicksEndsTheAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.pass(FailureTimeout / 2)
	a.receiveHeartbeat(1, &pb.Heartbeat{ViewNumber: 1})
	a.pass(FailureTimeout / 2)
	require.True(t, a.machine.Authoritative())
	a.now += TickInterval / 2
	a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.False(t, a.machine.Authoritative(), "the change may have come at any time in the silence")
}

// The grace for a change that is on its way begins with the last heartbeat that did not advertise it, not with the
// first one that does.
func TestGraceForMissingChangesEndsWithTheFailureTimeout(t *testing.T) {
	a := newAuthoritativeMachine(t)
	lastHeartbeatAt := a.now
	a.pass(FailureTimeout - TickInterval)
	for a.now < lastHeartbeatAt+FailureTimeout+TickInterval {
		a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
		a.receiveHeartbeat(1, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
		a.pass(TickInterval)
	}
	require.False(t, a.machine.Authoritative(), "the change may have been acknowledged %v ago", a.now-lastHeartbeatAt)
}

// A voter outside of the chain may not know what is committed, so that its heartbeats do not prolong the grace.
func TestHeartbeatsFromOutsideOfTheChainDoNotProlongTheGrace(t *testing.T) {
	view := viewOfFive()
	view.Chain = view.Chain[:3]
	a := newAuthoritativeMachineIn(t, view)
	a.pass(FailureTimeout-TickInterval, 2, 3)
	a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
	a.pass(2*TickInterval, 2, 3)
	require.False(t, a.machine.Authoritative())
}

// Heartbeats that have waited for a stalled process show nothing of the present.
func TestHeartbeatsThatCameLateDoNotProlongTheGrace(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.now += stallThreshold
	receiveHeartbeatOf(a.machine, a.now, a.peers[0])
	receiveHeartbeatOf(a.machine, a.now, a.peers[1])
	a.machine.Step(a.now, Tick{})
	a.pass(stallGracePeriod - stallGracePeriod%TickInterval)
	a.now += TickInterval / 2
	a.receiveHeartbeat(2, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	a.receiveHeartbeat(3, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
	a.pass(TickInterval)
	require.False(t, a.machine.Authoritative())
}

// A machine that holds the state of a new view holds all that was acknowledged before it learnt of that view.
func TestANewViewBeginsWithTheWholeGrace(t *testing.T) {
	a := newAuthoritativeMachine(t)
	missing := &pb.Heartbeat{ViewNumber: 1, Committed: 1}
	for range 2 * FailureTimeout / TickInterval {
		a.pass(TickInterval)
		a.receiveHeartbeat(0, missing)
		a.receiveHeartbeat(1, missing)
	}
	require.False(t, a.machine.Authoritative())
	view := viewOfFive()
	view.Number = 2
	a.receive(0, &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}})
	a.receive(0, &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{ViewNumber: 2}}})
	a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 2, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
}
