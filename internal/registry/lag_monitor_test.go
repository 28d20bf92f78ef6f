package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

var testBounds = LagBounds{Contact: 4 * time.Second, Apply: 3 * time.Second, Stretch: 6 * time.Second}

// reporting is a Lateness with the time and the reports of one agent.
type reporting struct {
	t        *testing.T
	now      time.Duration
	lateness *LagMonitor
	record   *pb.AgentRecord
	events   []Action
}

// newReporting begins with an agent that has been in contact for as long as is asked, at sequence 1.
func newReporting(t *testing.T) *reporting {
	r := &reporting{t: t, now: time.Second, lateness: NewLagMonitor(), record: agentRecord("edge-1", 1)}
	r.record.Sequence = 1
	r.lateness.SetBounds(testBounds)
	r.lateness.Committed(r.now, 1)
	r.pass(testBounds.Contact)
	require.Empty(t, r.take())
	return r
}

// report lets the agent say what its proxy holds.
func (r *reporting) report() {
	record := &pb.AgentRecord{
		Host: r.record.Host, Incarnation: r.record.Incarnation, EdgeAddress: r.record.EdgeAddress,
		Ready: r.record.Ready, Draining: r.record.Draining, Sequence: r.record.Sequence,
	}
	r.events = append(r.events, r.lateness.Observe(r.now, record)...)
}

// pass lets time pass with a report each second.
func (r *reporting) pass(duration time.Duration) {
	const step = 250 * time.Millisecond
	for end := r.now + duration; r.now < end; {
		if r.now%time.Second == 0 {
			r.report()
		}
		r.now += step
		r.events = append(r.events, r.lateness.Step(r.now)...)
	}
	r.report()
}

// take returns the events so far and forgets them.
func (r *reporting) take() []Action {
	taken := r.events
	r.events = nil
	return taken
}

func TestAgentIsBehindAfterASecondUntilItsProxyHoldsTheChange(t *testing.T) {
	r := newReporting(t)
	r.lateness.Committed(r.now, 2)
	r.pass(LagThreshold)
	require.Empty(t, r.take())
	require.Equal(t, LagStats{Oldest: LagThreshold, OldestHost: "edge-1"}, r.lateness.Stats(r.now))
	r.pass(time.Second)
	behind := r.take()
	require.Len(t, behind, 1)
	require.Equal(t, AgentLagging{
		Host: "edge-1", Reported: 1, Committed: 2, Lag: 2 * time.Second, Ready: true,
	}, behind[0])
	require.Equal(t, LagStats{Behind: 1, Oldest: 2 * time.Second, OldestHost: "edge-1"}, r.lateness.Stats(r.now))

	r.record.Sequence = 2
	r.report()
	require.Equal(t, []Action{AgentCaughtUp{Host: "edge-1", Reported: 2, Longest: 2 * time.Second}}, r.take())
	require.Zero(t, r.lateness.Stats(r.now))
}

// An agent calls as soon as it has a change, before its proxy does, and that call is held for a second.
func TestAgentThatReportsInTimeIsNotBehind(t *testing.T) {
	r := newReporting(t)
	r.lateness.Committed(r.now, 2)
	r.now += 400 * time.Millisecond
	r.report()
	for range 4 {
		r.now += expectedReportInterval / 4
		r.events = append(r.events, r.lateness.Step(r.now)...)
		require.Zero(t, r.lateness.Stats(r.now).Behind)
	}
	r.record.Sequence = 2
	r.report()
	require.Empty(t, r.take())
}

func TestSilentAgentIsBehindOnceItsReportIsOverdueAsWell(t *testing.T) {
	r := newReporting(t)
	r.lateness.Committed(r.now, 2)
	require.Empty(t, r.lateness.Step(r.now+LagThreshold+expectedReportInterval))
	behind := r.lateness.Step(r.now + LagThreshold + expectedReportInterval + time.Millisecond)
	require.Len(t, behind, 1)
	require.Equal(t, LagThreshold+time.Millisecond, behind[0].(AgentLagging).Lag)
}

func TestProxyThatBreaksTheBoundIsToldOnceInAnEpisode(t *testing.T) {
	r := newReporting(t)
	for episode := range uint64(2) {
		committed := episode + 2
		r.lateness.Committed(r.now, committed)
		r.pass(testBounds.Apply)
		require.Equal(t, episode, r.lateness.Stats(r.now).Violations, "up to the bound")
		r.pass(3 * time.Second)
		require.Equal(t, episode+1, r.lateness.Stats(r.now).Violations)
		events := r.take()
		require.Len(t, events, 2)
		late, isLate := events[1].(ProxyBoundExceeded)
		require.True(t, isLate)
		require.Equal(t, committed, late.Committed)
		require.Equal(t, testBounds.Apply, late.Bound)
		require.Greater(t, late.Lag, late.Bound)
		r.record.Sequence = committed
		r.report()
		require.IsType(t, AgentCaughtUp{}, r.take()[0])
	}
}

func TestOnlyProxiesInContactAreJudged(t *testing.T) {
	for name, change := range map[string]func(r *reporting){
		"it drains":                   func(r *reporting) { r.record.Draining = true },
		"no proxy is known":           func(r *reporting) { r.record.EdgeAddress = "" },
		"the proxy takes no requests": func(r *reporting) { r.record.Ready = false },
		"no bound is known":           func(r *reporting) { r.lateness.SetBounds(LagBounds{}) },
		"this machine is out of touch": func(r *reporting) {
			r.lateness.SuspendBounds(r.now)
		},
	} {
		r := newReporting(t)
		change(r)
		r.lateness.Committed(r.now, 2)
		r.pass(2 * testBounds.Apply)
		require.Zero(t, r.lateness.Stats(r.now).Violations, name)
	}
}

func TestNewLivesAndLongBreaksBeginContactAnew(t *testing.T) {
	for name, change := range map[string]func(r *reporting){
		"the agent starts anew": func(r *reporting) { r.record.Incarnation++ },
		"the proxy starts anew": func(r *reporting) { r.record.Sequence = 0 },
		"a break": func(r *reporting) {
			r.now += FailureTimeout
			r.lateness.Step(r.now)
		},
	} {
		r := newReporting(t)
		r.lateness.Committed(r.now, 2)
		change(r)
		r.report()
		require.Zero(t, r.lateness.Stats(r.now).Oldest, name)
		r.pass(testBounds.Contact - 250*time.Millisecond)
		require.Zero(t, r.lateness.Stats(r.now).Violations, name)
		r.pass(time.Second)
		require.EqualValues(t, 1, r.lateness.Stats(r.now).Violations, name)
	}
}

func TestTimeWithoutReportsIsAllowedFor(t *testing.T) {
	r := newReporting(t)
	r.lateness.Committed(r.now, 2)
	r.now += FailureTimeout - 100*time.Millisecond
	r.report()
	for range 2 {
		r.pass(time.Second)
		require.Zero(t, r.lateness.Stats(r.now).Violations, "it may have been cut off")
	}
	r.pass(time.Second)
	require.EqualValues(t, 1, r.lateness.Stats(r.now).Violations)
}

func TestAgentOfAnotherControlMachineIsNotJudgedHere(t *testing.T) {
	r := newReporting(t)
	r.lateness.Committed(r.now, 2)
	r.pass(2 * time.Second)
	require.IsType(t, AgentLagging{}, r.take()[0])
	told := agentRecord("edge-1", 1)
	told.Sequence = 1
	r.now += recordTolerance
	r.lateness.Merge(r.now, []*pb.AgentRecord{aged(told, 100*time.Millisecond)})
	require.Zero(t, r.lateness.Stats(r.now))
	events := r.lateness.Step(r.now)
	require.Len(t, events, 1)
	require.True(t, events[0].(AgentCaughtUp).Unheard)

	r.report()
	r.lateness.Merge(r.now, []*pb.AgentRecord{aged(told, time.Second)})
	require.Equal(t, 1, r.lateness.Stats(r.now).Behind, "an older report changes nothing")
}

func TestAgentThatFallsSilentEndsItsEpisode(t *testing.T) {
	r := newReporting(t)
	r.lateness.Committed(r.now, 2)
	r.pass(2 * time.Second)
	r.take()
	events := r.lateness.Step(r.now + FailureTimeout)
	require.Equal(t, []Action{AgentCaughtUp{Host: "edge-1", Reported: 1, Longest: 2 * time.Second, Unheard: true}}, events)
	require.Empty(t, r.lateness.agents)
}

func TestLatenessIsBounded(t *testing.T) {
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
		l.Committed(now, record.Sequence)
		l.Observe(now, record)
		l.Step(now)
	}))
}
