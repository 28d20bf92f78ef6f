package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

var testBounds = LagBounds{MinContact: 4 * time.Second, ApplyDelay: 3 * time.Second, UnsynchronizedAllowance: 6 * time.Second}

// reportingAgent drives a LagMonitor with the reports of one agent.
type reportingAgent struct {
	t       *testing.T
	now     time.Duration
	monitor *LagMonitor
	record  *pb.AgentRecord
	events  []Action
}

// newReportingAgent returns an agent that has been in contact for the minimum time of the bounds, at sequence 1.
func newReportingAgent(t *testing.T) *reportingAgent {
	t.Helper()
	r := &reportingAgent{t: t, now: time.Second, monitor: NewLagMonitor(), record: agentRecord("edge-1", 1)}
	r.record.Sequence = 1
	r.monitor.SetBounds(testBounds)
	r.monitor.RecordCommit(r.now, 1)
	r.pass(testBounds.MinContact)
	require.Empty(t, r.take())
	return r
}

// report sends a report of the agent to the monitor.
func (r *reportingAgent) report() {
	record := &pb.AgentRecord{
		Host: r.record.Host, Incarnation: r.record.Incarnation, EdgeAddress: r.record.EdgeAddress,
		Ready: r.record.Ready, Draining: r.record.Draining, Sequence: r.record.Sequence,
	}
	r.events = append(r.events, r.monitor.Observe(r.now, record)...)
}

// pass advances the time by the duration, with a report each second and at the end.
func (r *reportingAgent) pass(duration time.Duration) {
	const step = 250 * time.Millisecond
	for end := r.now + duration; r.now < end; {
		if r.now%time.Second == 0 {
			r.report()
		}
		r.now += step
		r.events = append(r.events, r.monitor.Step(r.now)...)
	}
	r.report()
}

// take returns the events so far and clears them.
func (r *reportingAgent) take() []Action {
	taken := r.events
	r.events = nil
	return taken
}

func TestAgentLagsAfterASecondUntilItsProxyHasTheChange(t *testing.T) {
	r := newReportingAgent(t)
	r.monitor.RecordCommit(r.now, 2)
	r.pass(LagThreshold)
	require.Empty(t, r.take())
	require.Equal(t, LagStats{LongestLag: LagThreshold, LongestLagHost: "edge-1"}, r.monitor.Stats(r.now))
	r.pass(time.Second)
	lagging := r.take()
	require.Len(t, lagging, 1)
	require.Equal(t, AgentLagging{
		Host: "edge-1", Reported: 1, Committed: 2, Lag: 2 * time.Second, Ready: true,
	}, lagging[0])
	require.Equal(t, LagStats{Lagging: 1, LongestLag: 2 * time.Second, LongestLagHost: "edge-1"}, r.monitor.Stats(r.now))

	r.record.Sequence = 2
	r.report()
	require.Equal(t, []Action{AgentCaughtUp{Host: "edge-1", Reported: 2, LongestLag: 2 * time.Second}}, r.take())
	require.Zero(t, r.monitor.Stats(r.now))
}

// Guards against a proxy that counts as lagging because of its agent's long poll: the agent calls as soon as it has a
// change, before its proxy has it, and the call stays open for a second.
func TestAgentThatReportsInTimeDoesNotLag(t *testing.T) {
	r := newReportingAgent(t)
	r.monitor.RecordCommit(r.now, 2)
	r.now += 400 * time.Millisecond
	r.report()
	for range 4 {
		r.now += expectedReportInterval / 4
		r.events = append(r.events, r.monitor.Step(r.now)...)
		require.Zero(t, r.monitor.Stats(r.now).Lagging)
	}
	r.record.Sequence = 2
	r.report()
	require.Empty(t, r.take())
}

func TestSilentAgentLagsOnceItsReportIsOverdueAsWell(t *testing.T) {
	r := newReportingAgent(t)
	r.monitor.RecordCommit(r.now, 2)
	require.Empty(t, r.monitor.Step(r.now+LagThreshold+expectedReportInterval))
	lagging := r.monitor.Step(r.now + LagThreshold + expectedReportInterval + time.Millisecond)
	require.Len(t, lagging, 1)
	require.Equal(t, LagThreshold+time.Millisecond, lagging[0].(AgentLagging).Lag)
}

func TestProxyThatExceedsTheBoundIsReportedOnceInAnEpisode(t *testing.T) {
	r := newReportingAgent(t)
	for episode := range uint64(2) {
		committed := episode + 2
		r.monitor.RecordCommit(r.now, committed)
		r.pass(testBounds.ApplyDelay)
		require.Equal(t, episode, r.monitor.Stats(r.now).Violations, "a lag up to the bound is allowed")
		r.pass(3 * time.Second)
		require.Equal(t, episode+1, r.monitor.Stats(r.now).Violations)
		events := r.take()
		require.Len(t, events, 2)
		exceeded, isExceeded := events[1].(ProxyBoundExceeded)
		require.True(t, isExceeded)
		require.Equal(t, committed, exceeded.Committed)
		require.Equal(t, testBounds.ApplyDelay, exceeded.Bound)
		require.Greater(t, exceeded.Lag, exceeded.Bound)
		r.record.Sequence = committed
		r.report()
		require.IsType(t, AgentCaughtUp{}, r.take()[0])
	}
}

func TestOnlyProxiesInContactAreEvaluated(t *testing.T) {
	for name, change := range map[string]func(r *reportingAgent){
		"it drains":                   func(r *reportingAgent) { r.record.Draining = true },
		"no proxy is known":           func(r *reportingAgent) { r.record.EdgeAddress = "" },
		"the proxy takes no requests": func(r *reportingAgent) { r.record.Ready = false },
		"no bound is known":           func(r *reportingAgent) { r.monitor.SetBounds(LagBounds{}) },
		"this machine is out of sync": func(r *reportingAgent) {
			r.monitor.ObserveUnsynchronized(r.now)
		},
	} {
		r := newReportingAgent(t)
		change(r)
		r.monitor.RecordCommit(r.now, 2)
		r.pass(2 * testBounds.ApplyDelay)
		require.Zero(t, r.monitor.Stats(r.now).Violations, name)
	}
}

func TestRestartsAndLongGapsBeginANewContact(t *testing.T) {
	for name, change := range map[string]func(r *reportingAgent){
		"the agent restarts": func(r *reportingAgent) { r.record.Incarnation++ },
		"the proxy restarts": func(r *reportingAgent) { r.record.Sequence = 0 },
		"a break": func(r *reportingAgent) {
			r.now += FailureTimeout
			r.monitor.Step(r.now)
		},
	} {
		r := newReportingAgent(t)
		r.monitor.RecordCommit(r.now, 2)
		change(r)
		r.report()
		require.Zero(t, r.monitor.Stats(r.now).LongestLag, name)
		r.pass(testBounds.MinContact - 250*time.Millisecond)
		require.Zero(t, r.monitor.Stats(r.now).Violations, name)
		r.pass(time.Second)
		require.EqualValues(t, 1, r.monitor.Stats(r.now).Violations, name)
	}
}

func TestTimeWithoutReportsIsAllowedFor(t *testing.T) {
	r := newReportingAgent(t)
	r.monitor.RecordCommit(r.now, 2)
	r.now += FailureTimeout - 100*time.Millisecond
	r.report()
	for range 2 {
		r.pass(time.Second)
		require.Zero(t, r.monitor.Stats(r.now).Violations, "the agent may have been partitioned")
	}
	r.pass(time.Second)
	require.EqualValues(t, 1, r.monitor.Stats(r.now).Violations)
}

func TestAgentOfAnotherControlMachineIsNotEvaluatedHere(t *testing.T) {
	r := newReportingAgent(t)
	r.monitor.RecordCommit(r.now, 2)
	r.pass(2 * time.Second)
	require.IsType(t, AgentLagging{}, r.take()[0])
	merged := agentRecord("edge-1", 1)
	merged.Sequence = 1
	r.now += recordTolerance
	r.monitor.Merge(r.now, []*pb.AgentRecord{aged(merged, 100*time.Millisecond)})
	require.Zero(t, r.monitor.Stats(r.now))
	events := r.monitor.Step(r.now)
	require.Len(t, events, 1)
	require.True(t, events[0].(AgentCaughtUp).LostContact)

	r.report()
	r.monitor.Merge(r.now, []*pb.AgentRecord{aged(merged, time.Second)})
	require.Equal(t, 1, r.monitor.Stats(r.now).Lagging, "an older report must be ignored")
}

func TestLostAgentEndsItsEpisode(t *testing.T) {
	r := newReportingAgent(t)
	r.monitor.RecordCommit(r.now, 2)
	r.pass(2 * time.Second)
	r.take()
	events := r.monitor.Step(r.now + FailureTimeout)
	require.Equal(t, []Action{AgentCaughtUp{Host: "edge-1", Reported: 1, LongestLag: 2 * time.Second, LostContact: true}}, events)
	require.Empty(t, r.monitor.agents)
}

func TestLagMonitorIsBounded(t *testing.T) {
	l := NewLagMonitor()
	for host := range 2 * MaxAgents {
		l.Observe(0, agentRecord("edge-"+string(rune('a'+host%26))+time.Duration(host).String(), 1))
	}
	require.Len(t, l.agents, MaxAgents)
	l.Observe(0, &pb.AgentRecord{})
	require.Len(t, l.agents, MaxAgents)
}

func TestReportsInTimeAllocateNothing(t *testing.T) {
	l := NewLagMonitor()
	record := agentRecord("edge-1", 1)
	now := time.Duration(0)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now += 100 * time.Millisecond
		record.Sequence++
		l.RecordCommit(now, record.Sequence)
		l.Observe(now, record)
		l.Step(now)
	}))
}
