package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// observeLogs replaces the logger of a core by one whose lines the test can read.
func observeLogs(s *coreDriver) *observer.ObservedLogs {
	logged, logs := observer.New(zap.DebugLevel)
	s.core.logger = zap.New(logged)
	return logs
}

// requireLine requires exactly one log line with a message, and returns its fields.
func requireLine(t *testing.T, logs *observer.ObservedLogs, message string) map[string]any {
	t.Helper()
	lines := logs.FilterMessage(message).All()
	require.Len(t, lines, 1, message)
	return lines[0].ContextMap()
}

// tickFor advances the time by a duration, with a tick every 50 ms.
func (s *coreDriver) tickFor(duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now + duration; s.now < end; {
		s.now += step
		s.step(tick{})
	}
}

func TestReplicaLagIsLoggedFromTheAdvertisement(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	logs := observeLogs(s)
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	probe := requireWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true, Sequence: 2}})
	s.tickFor(replicaLagThreshold)
	require.Empty(t, logs.FilterMessage("replica lagging").All())
	s.tickFor(2 * replicaLagThreshold)
	line := requireLine(t, logs, "replica lagging")
	require.EqualValues(t, 0, line["sequence"])
	require.EqualValues(t, 2, line["advertised_sequence"])
	require.Equal(t, 3*replicaLagThreshold, s.core.lag.replicaLag(s.now))

	response := make(chan *pb.PushResponse, 1)
	push := &pb.PushRequest{From: &pb.Neighbour{Host: "edge-2", Address: "10.0.0.2:7661"}, Changes: []*pb.Change{change(1), change(2)}}
	s.step(pushRequested{request: push, response: response})
	line = requireLine(t, logs, "replica caught up")
	require.Equal(t, "push", line["source"])
	require.Equal(t, 3*replicaLagThreshold, line["max_lag"])
	require.Zero(t, s.core.lag.replicaLag(s.now))
}

func TestReplicaThatFollowsEachChangeIsNotLagging(t *testing.T) {
	var l lagMonitor
	logged, logs := observer.New(zap.DebugLevel)
	for sequence := range uint64(100) {
		now := time.Duration(sequence+1) * 300 * time.Millisecond
		advertised := watchDone{response: &pb.WatchResponse{Sequence: sequence + 1}}
		l.observe(now, advertised, sequence, nil)
		l.confirm(now)
		l.log(now, zap.New(logged))
	}
	require.Zero(t, logs.Len(), "the replica always lacks the newest change, but none for long")
}

func TestEveryUpdateAdvertisesItsSequence(t *testing.T) {
	digests := &pb.RangeDigests{Sequence: 5}
	for expected, events := range map[uint64][]event{
		0: {tick{}, shutdownRequested{}, proxyCallDone{}, watchDone{}, pushDone{}, compareDone{}, compareRequested{}, shuffleRequested{}},
		5: {
			watchDone{response: &pb.WatchResponse{Sequence: 5}},
			watchDone{response: &pb.WatchResponse{Sequence: 4, Changes: []*pb.Change{change(4), change(5)}}},
			pushDone{response: &pb.PushResponse{Sequence: 5}},
			pushRequested{request: &pb.PushRequest{Changes: []*pb.Change{change(4), change(5)}}},
			compareRequested{request: &pb.CompareRequest{Digests: digests}},
			compareDone{response: &pb.CompareResponse{Sequence: 5}},
		},
	} {
		for _, received := range events {
			require.Equal(t, expected, advertisedSequence(received), "%#v", received)
		}
	}
}

func TestUpdateSourcesAreNamed(t *testing.T) {
	for name, received := range map[string]event{
		"repair":  watchDone{response: &pb.WatchResponse{Repair: &pb.Repair{}}},
		"changes": watchDone{response: &pb.WatchResponse{}},
		"push":    pushRequested{},
		"compare": compareDone{call: compareCall{gossip.Compare{To: shuffle.Neighbour{Host: "edge-2"}}}},
		"unknown": tick{},
	} {
		require.Equal(t, name, updateSourceOf(received).String())
	}
}

func TestProxyLagIsLoggedAndMeasured(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	logs := observeLogs(s)
	s.now = time.Millisecond
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	repair := &pb.WatchResponse{Sequence: 1, Changes: []*pb.Change{change(1)}}
	s.step(watchDone{call: requireWatch(s, watchLongPoll), response: repair})
	require.Zero(t, s.core.lag.proxyLag(s.now))
	apply := requireCall[proxyCall](s)
	s.tickFor(2 * proxyLagThreshold)
	line := requireLine(t, logs, "proxy lagging")
	require.EqualValues(t, 1, line["sequence"])
	require.EqualValues(t, 0, line["proxy_sequence"])

	s.step(proxyCallDone{call: apply, status: &pb.ProxyStatus{Incarnation: 7, Sequence: 1}})
	line = requireLine(t, logs, "proxy caught up")
	require.Equal(t, 2*proxyLagThreshold, line["max_lag"])
	require.Equal(t, 2*proxyLagThreshold, s.core.lag.lastProxyLag)
	require.Equal(t, 2*proxyLagThreshold, s.core.lag.maxProxyLag)
	require.Zero(t, s.core.lag.proxyLag(s.now))
}

func TestNewProxyLagsFromItsOwnStart(t *testing.T) {
	var l lagMonitor
	l.observe(time.Second, tick{}, 3, nil)
	require.Zero(t, l.proxyLag(9*time.Second), "no proxy is known")
	l.observe(10*time.Second, tick{}, 3, &pb.ProxyStatus{Incarnation: 7})
	require.Zero(t, l.proxyLag(10*time.Second))
	require.Equal(t, time.Second, l.proxyLag(11*time.Second))
	l.observe(11*time.Second, tick{}, 3, &pb.ProxyStatus{Incarnation: 7, Sequence: 3})
	require.Equal(t, time.Second, l.maxProxyLag)
	l.observe(12*time.Second, tick{}, 3, &pb.ProxyStatus{Incarnation: 9})
	require.Zero(t, l.proxyLag(12*time.Second), "another process")
}

func TestUnconfirmedStateIsLogged(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	logs := observeLogs(s)
	s.tickFor(unconfirmedThreshold)
	require.Empty(t, logs.FilterMessage("state unconfirmed").All())
	s.tickFor(time.Second)
	requireLine(t, logs, "state unconfirmed")
	long := requireWatch(s, watchLongPoll)
	s.step(watchDone{call: long, response: &pb.WatchResponse{Authoritative: false}})
	require.Empty(t, logs.FilterMessage("state confirmed").All(), "the response is from a machine without authority")
	s.tickFor(time.Second)
	s.step(watchDone{call: requireWatch(s, watchLongPoll), response: &pb.WatchResponse{Authoritative: true}})
	line := requireLine(t, logs, "state confirmed")
	require.Equal(t, unconfirmedThreshold+2*time.Second, line["max_unconfirmed"])
}

func TestCountersContainTheLags(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	logs := observeLogs(s)
	s.tickFor(countersInterval + time.Second)
	lines := logs.FilterMessage("counters").All()
	require.NotEmpty(t, lines)
	line := lines[0].ContextMap()
	for _, field := range []string{
		"advertised_sequence", "replica_lag", "proxy_lag", "proxy_lag_last", "proxy_lag_max", "unconfirmed", "violations",
		"longest_watch", "largest_response_bytes",
		"watch_dial_timeouts", "watch_timeouts", "watch_resets", "watch_error_responses", "watch_other_failures",
		"proxy_timeouts", "peer_timeouts",
	} {
		require.Contains(t, line, field)
	}
	require.EqualValues(t, 0, line["violations"])
}
