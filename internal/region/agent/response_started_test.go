package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// The start of the response to an earlier call must not extend the long poll in flight.
func TestOnlyTheCallWhoseResponseStartedGetsLonger(t *testing.T) {
	s, earlier := newLinkedCore(t)
	s.step(watchResponseStarted{id: earlier.id})
	s.step(watchDone{call: earlier, response: &pb.WatchResponse{Authoritative: true}})
	s.now += maxEmptyBackoff
	s.step(tick{})
	present := requireWatch(s, watchLongPoll)
	overdueAt := present.started + watchWait + overdueMargin
	require.Equal(t, overdueAt, s.core.control.overdueAt())
	s.step(watchResponseStarted{id: earlier.id})
	require.Equal(t, overdueAt, s.core.control.overdueAt())
}

// The start of its response extends the time until the long poll in flight is overdue.
func TestTheCallWhoseResponseStartedGetsLonger(t *testing.T) {
	s, call := newLinkedCore(t)
	s.step(watchResponseStarted{id: call.id})
	require.Equal(t, call.started+watchWait+overdueMargin+slowResponseAllowance, s.core.control.overdueAt())
}
