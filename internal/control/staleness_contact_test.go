package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Contact that was lost and came back between two ticks was lost all the same: a change that is told of then may have been
// acknowledged a silence limit ago.
func TestContactLostBetweenTwoTicksEndsTheAuthority(t *testing.T) {
	a := newAgreed(t)
	a.pass(FailureTimeout / 2)
	a.told(1, &pb.Heartbeat{ViewNumber: 1})
	a.pass(FailureTimeout / 2)
	require.True(t, a.machine.Authoritative())
	a.now += TickInterval / 2
	a.told(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.False(t, a.machine.Authoritative(), "the change may have come at any time in the silence")
}

// The grace for a change that is on its way begins with the last heartbeat that did not tell of it, not with the
// first one that does.
func TestGraceForChangesOnTheirWayEndsWithTheSilenceLimit(t *testing.T) {
	a := newAgreed(t)
	heardAt := a.now
	a.pass(FailureTimeout - TickInterval)
	for a.now < heardAt+FailureTimeout+TickInterval {
		a.told(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
		a.told(1, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
		a.pass(TickInterval)
	}
	require.False(t, a.machine.Authoritative(), "the change may have been acknowledged %v ago", a.now-heardAt)
}

// A voter outside of the chain may not know what is committed, so that its heartbeats do not prolong the grace.
func TestHeartbeatsFromOutsideOfTheChainDoNotProlongTheGrace(t *testing.T) {
	view := viewOfFive()
	view.Chain = view.Chain[:3]
	a := newAgreedIn(t, view)
	a.pass(FailureTimeout-TickInterval, 2, 3)
	a.told(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
	a.pass(2*TickInterval, 2, 3)
	require.False(t, a.machine.Authoritative())
}

// Heartbeats that have waited for a machine that stood still show nothing of the present.
func TestHeartbeatsThatCameLateDoNotProlongTheGrace(t *testing.T) {
	a := newAgreed(t)
	a.now += stallThreshold
	hear(a.machine, a.now, a.peers[0])
	hear(a.machine, a.now, a.peers[1])
	a.machine.Step(a.now, Tick{})
	a.pass(stallGracePeriod - stallGracePeriod%TickInterval)
	a.now += TickInterval / 2
	a.told(2, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	a.told(3, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
	a.pass(TickInterval)
	require.False(t, a.machine.Authoritative())
}

// A machine that holds the state of a new view holds all that was acknowledged before it learnt of that view.
func TestANewViewBeginsWithTheWholeGrace(t *testing.T) {
	a := newAgreed(t)
	missing := &pb.Heartbeat{ViewNumber: 1, Committed: 1}
	for range 2 * FailureTimeout / TickInterval {
		a.pass(TickInterval)
		a.told(0, missing)
		a.told(1, missing)
	}
	require.False(t, a.machine.Authoritative())
	view := viewOfFive()
	view.Number = 2
	a.receive(0, &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}})
	a.receive(0, &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{ViewNumber: 2}}})
	a.told(0, &pb.Heartbeat{ViewNumber: 2, Committed: 1})
	require.True(t, a.machine.Authoritative(), "the change may be on its way")
}
