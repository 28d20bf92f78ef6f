package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// newProbingCore returns a core whose current control machine has failed, with probes to the others in flight.
func newProbingCore(t *testing.T) *coreDriver {
	t.Helper()
	s := newCoreDriver(t, "core-1:1", "core-2:1", "core-3:1", "core-4:1", "core-5:1")
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	s.step(watchDone{call: requireWatch(s, watchLongPoll), err: errModelTimeout})
	s.now += time.Millisecond
	s.step(tick{})
	return s
}

// stateRequests returns the pending calls whose responses carry state.
func stateRequests(s *coreDriver) []watchCall {
	var requests []watchCall
	for _, pending := range s.pending {
		if call, isWatch := pending.(watchCall); isWatch && call.kind != watchProbe {
			requests = append(requests, call)
		}
	}
	return requests
}

// A probed machine with authority becomes the current one, and the long poll to it requests the state: there must be no
// second request for the same state.
func TestStateNamedByTheNewMachineIsRequestedOnce(t *testing.T) {
	s := newProbingCore(t)
	probe := requireWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true, Sequence: 9}})
	require.Equal(t, probe.address, s.core.control.current)
	require.Len(t, stateRequests(s), 1)
}

// A state that several machines advertise is requested from one machine at a time.
func TestStateNamedBySeveralProbesIsRequestedOnce(t *testing.T) {
	s := newProbingCore(t)
	for range 3 {
		s.step(watchDone{call: requireWatch(s, watchProbe), response: &pb.WatchResponse{Sequence: 9}})
	}
	require.Len(t, stateRequests(s), 1)
}

// A machine that no longer has the changes requests digests. A response of the current machine, which has an older
// state, must not cancel that request.
func TestFetchCarriesTheDigestsThatItsMachineRequested(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	first := &pb.Change{Sequence: 1, Generation: 1}
	s.step(watchDone{call: requireWatch(s, watchLongPoll), response: &pb.WatchResponse{Sequence: 1, Changes: []*pb.Change{first}}})
	respondFromCurrent := func() {
		s.now += maxEmptyBackoff
		s.step(tick{})
		for range 2 {
			s.step(watchDone{call: requireWatch(s, watchLongPoll), response: &pb.WatchResponse{Sequence: 1}})
			s.now += maxEmptyBackoff
			s.step(tick{})
		}
	}
	respondFromCurrent()
	s.now += nonAuthoritativeProbeDelay
	s.step(tick{})

	s.step(watchDone{call: requireWatch(s, watchProbe), response: &pb.WatchResponse{Sequence: 300}})
	s.step(watchDone{call: requireWatch(s, watchNotice), response: &pb.WatchResponse{Sequence: 300, NeedDigests: true}})
	respondFromCurrent()
	s.step(watchDone{call: requireWatch(s, watchProbe), response: &pb.WatchResponse{Sequence: 300}})
	require.NotNil(t, requireWatch(s, watchNotice).request.GetDigests(), "without digests the machine would request them again")
}
