package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestFailingReadsAreLoggedOnceWithTheirCause(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	monitor := &readMonitor{logger: zap.New(core)}
	read := &pb.Order{Kind: pb.Order_KIND_READ}
	monitor.observe(read, "")
	monitor.observe(&pb.Order{Kind: pb.Order_KIND_REPLACE}, CauseTimeout)
	require.Zero(t, lines.Len())
	monitor.observe(read, CauseNoMajority)
	monitor.observe(read, CauseTimeout)
	monitor.observe(read, "")
	monitor.observe(read, "")
	require.Equal(t, 2, lines.Len())
	require.Equal(t, "reads unavailable", lines.All()[0].Message)
	require.EqualValues(t, CauseNoMajority, lines.All()[0].ContextMap()["cause"])
	require.Equal(t, "reads available", lines.All()[1].Message)
	require.EqualValues(t, 2, lines.All()[1].ContextMap()["failures"])
}

func TestAMachineSaysWhatItLacksForItsAuthority(t *testing.T) {
	machine, _ := newRestartedMachine(t)
	require.Equal(t, GapCommit, machine.AuthorityGap())
	a := newAuthoritativeMachine(t)
	require.Equal(t, GapNone, a.machine.AuthorityGap())
	a.now += FailureTimeout + TickInterval
	a.machine.Step(a.now, Tick{})
	require.Equal(t, GapMajority, a.machine.AuthorityGap())
	require.False(t, a.machine.Authoritative())
}
