package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// newLinkedCore returns a core whose proxy is known, with its first long poll in flight.
func newLinkedCore(t *testing.T) (*coreDriver, watchCall) {
	t.Helper()
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	return s, requireWatch(s, watchLongPoll)
}

// A slowly transferred response was valid when it was written, which may be long ago: it must not confirm the state.
func TestSlowResponseConfirmsNothing(t *testing.T) {
	s, call := newLinkedCore(t)
	s.now = call.started + maxConfirmationLatency + time.Millisecond
	s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true}})
	require.False(t, s.core.proxy.confirmed)

	s, call = newLinkedCore(t)
	s.now = call.started + maxConfirmationLatency
	s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true}})
	require.True(t, s.core.proxy.confirmed)
}

// While a response is being received, other machines are not probed for the same update, for a limited time.
func TestOtherMachinesAreProbedLaterOnceAResponseHasStarted(t *testing.T) {
	probed := func(responseStarted bool, after time.Duration) bool {
		s, call := newLinkedCore(t)
		s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true}})
		s.step(watchDone{call: requireWatch(s, watchProbe), response: &pb.WatchResponse{Authoritative: true}})
		s.now += maxEmptyBackoff
		s.step(tick{})
		call = requireWatch(s, watchLongPoll)
		if responseStarted {
			s.step(watchResponseStarted{id: call.id})
		}
		s.now = call.started + watchWait + after
		s.step(tick{})
		for _, pending := range s.pending {
			if probe, isWatch := pending.(watchCall); isWatch && probe.kind == watchProbe {
				return true
			}
		}
		return false
	}
	require.True(t, probed(false, overdueMargin))
	require.False(t, probed(true, overdueMargin))
	require.True(t, probed(true, overdueMargin+slowResponseAllowance))
}

// A state advertised in the response to a probe is requested from the probed machine.
func TestStateNamedByAProbeIsFetched(t *testing.T) {
	s, call := newLinkedCore(t)
	s.now += nonAuthoritativeProbeDelay
	s.step(watchDone{call: call, err: errModelTimeout})
	s.now += maxBackoff
	s.step(tick{})
	probe := requireWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Sequence: 9}})
	fetch := requireWatch(s, watchNotice)
	require.Equal(t, probe.address, fetch.address)
	require.False(t, fetch.request.GetProbe())
	require.Zero(t, fetch.request.GetSequence())
}

// A machine with authority may send an agent without state the view first: that response must not confirm the state.
func TestTheViewAloneConfirmsNothing(t *testing.T) {
	s, call := newLinkedCore(t)
	view := &pb.View{Number: 2, Voters: []*pb.Replica{{Address: "core-1:1"}, {Address: "core-2:1"}}}
	s.step(watchDone{call: call, response: &pb.WatchResponse{Authoritative: true, Sequence: 5, View: view}})
	require.False(t, s.core.proxy.confirmed)
	next := requireWatch(s, watchLongPoll)
	require.EqualValues(t, 2, next.request.GetViewNumber())
	require.Nil(t, next.request.GetDigests())
}
