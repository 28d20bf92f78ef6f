package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// newProbingCore is a core whose control machine has failed, with probes to the others under way.
func newProbingCore(t *testing.T) *coreDriver {
	s := newCoreDriver(t, "core-1:1", "core-2:1", "core-3:1", "core-4:1", "core-5:1")
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	s.step(watchDone{call: takeWatch(s, watchLongPoll), err: errModelTimeout})
	s.now += time.Millisecond
	s.step(tick{})
	return s
}

// stateRequests are the open calls whose answers carry the state that is lacked.
func stateRequests(s *coreDriver) []watchCall {
	var asking []watchCall
	for _, open := range s.open {
		if call, isWatch := open.(watchCall); isWatch && call.kind != watchProbe {
			asking = append(asking, call)
		}
	}
	return asking
}

// A machine that holds the agreed state becomes the current one: the long poll that goes there at once brings the state.
func TestStateThatTheNewMachineTellsOfIsAskedForOnce(t *testing.T) {
	s := newProbingCore(t)
	probe := takeWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true, Sequence: 9}})
	require.Equal(t, probe.address, s.core.control.current)
	require.Len(t, stateRequests(s), 1)
}

// Several machines that tell of the same state are not all asked for it at once.
func TestStateThatSeveralProbesTellOfIsAskedForOnce(t *testing.T) {
	s := newProbingCore(t)
	for range 3 {
		s.step(watchDone{call: takeWatch(s, watchProbe), response: &pb.WatchResponse{Sequence: 9}})
	}
	require.Len(t, stateRequests(s), 1)
}

// A machine without the changes asks for digests; the current machine, which knows less, does not make that forgotten.
func TestFetchBringsTheDigestsThatItsMachineAskedFor(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	first := &pb.Change{Sequence: 1, Generation: 1}
	s.step(watchDone{call: takeWatch(s, watchLongPoll), response: &pb.WatchResponse{Sequence: 1, Changes: []*pb.Change{first}}})
	answerCurrent := func() {
		s.now += maxEmptyBackoff
		s.step(tick{})
		for range 2 {
			s.step(watchDone{call: takeWatch(s, watchLongPoll), response: &pb.WatchResponse{Sequence: 1}})
			s.now += maxEmptyBackoff
			s.step(tick{})
		}
	}
	answerCurrent()
	s.now += nonAuthoritativeProbeDelay
	s.step(tick{})

	s.step(watchDone{call: takeWatch(s, watchProbe), response: &pb.WatchResponse{Sequence: 300}})
	s.step(watchDone{call: takeWatch(s, watchNotice), response: &pb.WatchResponse{Sequence: 300, NeedDigests: true}})
	answerCurrent()
	s.step(watchDone{call: takeWatch(s, watchProbe), response: &pb.WatchResponse{Sequence: 300}})
	require.NotNil(t, takeWatch(s, watchNotice).request.GetDigests(), "asked again, it would be told the same again")
}
