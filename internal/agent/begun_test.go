package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// That the answer to one call has begun to come says nothing of another call.
func TestOnlyTheCallWhoseAnswerComesGetsLonger(t *testing.T) {
	s, earlier := linked(t)
	s.step(watchBegun{id: earlier.id})
	s.step(watchDone{call: earlier, response: &pb.WatchResponse{Authoritative: true}})
	s.now += longestPause
	s.step(tick{})
	present := takeWatch(s, watchLong)
	overdueAt := present.started + watchHold + overdueAfter
	require.Equal(t, overdueAt, s.core.link.overdueAt())
	s.step(watchBegun{id: earlier.id})
	require.Equal(t, overdueAt, s.core.link.overdueAt())
}

// The word that an answer comes is taken for the call under way.
func TestTheCallWhoseAnswerComesGetsLonger(t *testing.T) {
	s, call := linked(t)
	s.step(watchBegun{id: call.id})
	require.Equal(t, call.started+watchHold+overdueAfter+slowAnswer, s.core.link.overdueAt())
}
