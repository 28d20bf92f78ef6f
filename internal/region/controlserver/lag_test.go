package controlserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fieldrelay/internal/region/control"
)

// observedProcess returns a process with bounds on the lag, and the log of the process.
func observedProcess(t *testing.T) (*process, *fakeNode, *observer.ObservedLogs) {
	p, node := newTestProcess(t)
	logged, logs := observer.New(zap.DebugLevel)
	p.logger = zap.New(logged)
	bounded := testSettings()
	bounded.Bounds.ContactMS = 1000
	bounded.Bounds.ApplyMS = 3000
	bounded.Bounds.StretchMS = 6000
	p.settings.current.Store(bounded)
	p.tick()
	return p, node, logs
}

// advanceObserving advances the time while an agent reports the sequence of its proxy.
func advanceObserving(p *process, duration time.Duration, sequence uint64) {
	const step = 500 * time.Millisecond
	for ; duration > 0; duration -= step {
		advance(p, step)
		record := testAgent("edge-1")
		record.Sequence = sequence
		p.soft.ObserveAgent(record, nil)
	}
}

func TestLaggingAgentIsLoggedCountedAndReported(t *testing.T) {
	p, node, logs := observedProcess(t)
	replace(t, node, 0, 7)
	advanceObserving(p, 2*time.Second, 1)
	require.Zero(t, p.soft.LagStats().Lagging)

	replace(t, node, 7, 9)
	advanceObserving(p, 2*time.Second, 1)
	figures := p.soft.LagStats()
	require.Equal(t, 1, figures.Lagging)
	require.Equal(t, "edge-1", figures.LongestLagHost)
	require.Zero(t, figures.Violations)
	late := logs.FilterMessage("agent lagging").All()
	require.Len(t, late, 1)
	require.Equal(t, "edge-1", late[0].ContextMap()["host"])
	require.EqualValues(t, 1, late[0].ContextMap()["reported_sequence"])
	require.EqualValues(t, 2, late[0].ContextMap()["committed_sequence"])

	advanceObserving(p, 2*time.Second, 1)
	require.Len(t, logs.FilterMessage("proxy exceeded the lag bound").All(), 1)
	lateness := describe(t, p).GetLateness()
	require.EqualValues(t, 1, lateness.GetAgentsBehind())
	require.EqualValues(t, 1, lateness.GetLateProxies())
	require.Equal(t, "edge-1", lateness.GetOldestHost())
	require.Greater(t, lateness.GetOldestLagMs(), uint64(3000))

	advanceObserving(p, 500*time.Millisecond, 2)
	require.Len(t, logs.FilterMessage("agent lag ended").All(), 1)
	require.Zero(t, p.soft.LagStats().Lagging)
	p.logCounters()
	counted := logs.FilterMessage("counters").All()
	require.Len(t, counted, 1)
	line := counted[0].ContextMap()
	require.EqualValues(t, 0, line["agents_lagging"])
	require.EqualValues(t, 1, line["lag_bound_exceeded"])
	require.Contains(t, line, "max_lag")
	require.Contains(t, line, "watches_changes")
	require.Contains(t, line, "largest_response_bytes")
}

func TestChangeObservedByAWatchFirstCountsFromThen(t *testing.T) {
	p, node, _ := observedProcess(t)
	replace(t, node, 0, 7)
	request := current(p)
	request.Sequence = 0
	require.NoError(t, watch(p, request).err)
	require.EqualValues(t, 1, p.soft.observedSequence.Load(), "the change must be recorded before the next tick")
	p.soft.ObserveCommitted(nil)
	p.soft.ObserveCommitted(node.Status().Committed)
	require.EqualValues(t, 1, p.soft.observedSequence.Load())
}

func TestLagBoundsAreExtendedWithoutAuthority(t *testing.T) {
	p, node, _ := observedProcess(t)
	replace(t, node, 0, 7)
	advanceObserving(p, 2*time.Second, 1)
	replace(t, node, 7, 9)
	node.updateStatus(func(status *control.Status) { status.Authoritative = false })
	advanceObserving(p, 4*time.Second, 1)
	figures := p.soft.LagStats()
	require.Equal(t, 1, figures.Lagging)
	require.Greater(t, figures.LongestLag, p.settings.Current().Bounds.ApplyWithin())
	require.Zero(t, figures.Violations)
}
