package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// That the answer to one call has begun to come says nothing of another call.
func TestOnlyTheCallWhoseAnswerComesGetsLonger(t *testing.T) {
	s, earlier := newLinkedCore(t)
	s.step(watchResponseStarted{id: earlier.id})
	s.step(watchDone{call: earlier, response: &pb.WatchResponse{Authoritative: true}})
	s.now += maxEmptyBackoff
	s.step(tick{})
	present := takeWatch(s, watchLongPoll)
	overdueAt := present.started + watchWait + overdueMargin
	require.Equal(t, overdueAt, s.core.control.overdueAt())
	s.step(watchResponseStarted{id: earlier.id})
	require.Equal(t, overdueAt, s.core.control.overdueAt())
}

// The word that an answer comes is taken for the call under way.
func TestTheCallWhoseAnswerComesGetsLonger(t *testing.T) {
	s, call := newLinkedCore(t)
	s.step(watchResponseStarted{id: call.id})
	require.Equal(t, call.started+watchWait+overdueMargin+slowResponseAllowance, s.core.control.overdueAt())
}
