package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// linked is a core whose proxy is known, with its first long poll under way.
func linked(t *testing.T) (*steps, watchCall) {
	s := newSteps(t, "core-1:1", "core-2:1")
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	return s, takeWatch(s, watchLong)
}

// An answer that came slowly was true when it was written, which may be long ago.
func TestAnAnswerThatCameSlowlyConfirmsNothing(t *testing.T) {
	s, call := linked(t)
	s.now = call.started + confirmWithin + time.Millisecond
	s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true}})
	require.False(t, s.core.feed.confirmed)

	s, call = linked(t)
	s.now = call.started + confirmWithin
	s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true}})
	require.True(t, s.core.feed.confirmed)
}

// While an answer comes, the same is not asked for elsewhere, but not for ever.
func TestOtherMachinesAreProbedLaterWhileAnAnswerComes(t *testing.T) {
	probed := func(coming bool, after time.Duration) bool {
		s, call := linked(t)
		s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true}})
		s.step(watchDone{call: takeWatch(s, watchProbe), response: &pb.WatchResponse{Authoritative: true}})
		s.now += longestPause
		s.step(tick{})
		call = takeWatch(s, watchLong)
		if coming {
			s.step(watchBegun{id: call.id})
		}
		s.now = call.started + watchHold + after
		s.step(tick{})
		for _, open := range s.open {
			if probe, isWatch := open.(watchCall); isWatch && probe.kind == watchProbe {
				return true
			}
		}
		return false
	}
	require.True(t, probed(false, overdueAfter))
	require.False(t, probed(true, overdueAfter))
	require.True(t, probed(true, overdueAfter+slowAnswer))
}

// What a probe's answer tells of is asked for where it was told, once.
func TestStateThatAProbeTellsOfIsFetched(t *testing.T) {
	s, call := linked(t)
	s.now += doubtPatience
	s.step(watchDone{call: call, err: errModelTimeout})
	s.now += longestBackoff
	s.step(tick{})
	probe := takeWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Sequence: 9}})
	fetch := takeWatch(s, watchNotice)
	require.Equal(t, probe.address, fetch.address)
	require.False(t, fetch.request.GetProbe())
	require.Zero(t, fetch.request.GetSequence())
}

// An agent that holds nothing is told the view first, by a machine that holds the agreed state: that confirms nothing.
func TestTheViewAloneConfirmsNothing(t *testing.T) {
	s, call := linked(t)
	view := &pb.View{Number: 2, Voters: []*pb.Replica{{Address: "core-1:1"}, {Address: "core-2:1"}}}
	s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true, Sequence: 5, View: view}})
	require.False(t, s.core.feed.confirmed)
	next := takeWatch(s, watchLong)
	require.EqualValues(t, 2, next.request.GetViewNumber())
	require.Nil(t, next.request.GetDigests())
}
