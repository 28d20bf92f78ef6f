package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// authoritativeMachine is a machine that holds the agreed state as the head of a chain of five.
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

// newAuthoritativeMachineIn makes the first voter of a view, which is the head of its chain, authoritative.
func newAuthoritativeMachineIn(t *testing.T, view *pb.View) *authoritativeMachine {
	t.Helper()
	machine, peers := newRestartedMachineIn(t, view)
	a := &authoritativeMachine{t: t, machine: machine, peers: peers}
	a.receive(0, &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{ViewNumber: 1}}})
	a.pass(time.Second, 0, 1)
	require.True(t, machine.Authoritative())
	return a
}

// pass advances the time by a span in which some of the peers send heartbeats.
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

// A majority may be reachable without any member of the chain. The chain may still acknowledge orders that it had
// already received, so this machine must not be authoritative.
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
	require.False(t, a.machine.Authoritative(), "the machine has not received the later view")
}

func TestAMachineThatDoesNotGetWhatIsCommittedHasNoAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.receiveHeartbeat(2, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may still arrive in time")
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
	require.False(t, a.machine.Authoritative(), "the change may have been acknowledged long ago")
}

// Messages that waited while this process was stalled do not prove that it is in contact now.
func TestAStallEndsTheAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.now += 20 * time.Second
	receiveHeartbeatOf(a.machine, a.now, a.peers[0])
	receiveHeartbeatOf(a.machine, a.now, a.peers[1])
	require.False(t, a.machine.Authoritative(), "before the first tick after the stall")
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

// Contact that is lost and restored between two ticks must count as lost: a change that is advertised then may have
// been acknowledged up to FailureTimeout ago.
func TestContactLostBetweenTwoTicksEndsTheAuthority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	a.pass(FailureTimeout / 2)
	a.receiveHeartbeat(1, &pb.Heartbeat{ViewNumber: 1})
	a.pass(FailureTimeout / 2)
	require.True(t, a.machine.Authoritative())
	a.now += TickInterval / 2
	a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.False(t, a.machine.Authoritative(), "the change may have been acknowledged at any time since the contact was lost")
}

// The grace period for an advertised change that has not arrived starts with the last heartbeat that did not advertise
// it, not with the first one that does.
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

// A voter outside the chain may not know what is committed, so its heartbeats must not extend the grace period.
func TestHeartbeatsFromOutsideOfTheChainDoNotProlongTheGrace(t *testing.T) {
	view := viewOfFive()
	view.Chain = view.Chain[:3]
	a := newAuthoritativeMachineIn(t, view)
	a.pass(FailureTimeout-TickInterval, 2, 3)
	a.receiveHeartbeat(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may still arrive in time")
	a.pass(2*TickInterval, 2, 3)
	require.False(t, a.machine.Authoritative())
}

// Heartbeats that waited while this process was stalled must not extend the grace period.
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
	require.True(t, a.machine.Authoritative(), "the change may still arrive in time")
	a.pass(TickInterval)
	require.False(t, a.machine.Authoritative())
}

// A machine that holds the state of a new view holds everything that was acknowledged before it learnt of that view, so
// the grace period starts again.
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
	require.True(t, a.machine.Authoritative(), "the change may still arrive in time")
}
