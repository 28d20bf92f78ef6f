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
	a.pass(SilenceLimit / 2)
	a.told(1, &pb.Heartbeat{ViewNumber: 1})
	a.pass(SilenceLimit / 2)
	require.True(t, a.machine.Authoritative())
	a.now += TickPeriod / 2
	a.told(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
	require.False(t, a.machine.Authoritative(), "the change may have come at any time in the silence")
}

// The grace for a change that is on its way begins with the last heartbeat that did not tell of it, not with the
// first one that does.
func TestGraceForChangesOnTheirWayEndsWithTheSilenceLimit(t *testing.T) {
	a := newAgreed(t)
	heardAt := a.now
	a.pass(SilenceLimit - TickPeriod)
	for a.now < heardAt+SilenceLimit+TickPeriod {
		a.told(0, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
		a.told(1, &pb.Heartbeat{ViewNumber: 1, Committed: 1})
		a.pass(TickPeriod)
	}
	require.False(t, a.machine.Authoritative(), "the change may have been acknowledged %v ago", a.now-heardAt)
}
