package agent

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestDecreasingProxySequenceIsAViolation(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	logs := observeLogs(s)
	report := func(incarnation, sequence uint64) {
		s.now += exchangeInterval
		s.step(tick{})
		s.proxyResponds(&pb.ProxyStatus{Incarnation: incarnation, Sequence: sequence})
	}
	report(7, 5)
	report(7, 5)
	report(7, 6)
	report(8, 1)
	require.Zero(t, s.core.violations.total(), "another process may have an older state")
	report(8, 0)
	require.EqualValues(t, 1, s.core.violations.proxyRegressed)
	requireLine(t, logs, "proxy sequence decreased")
}

func TestStaleUpdateForTheProxyIsAViolation(t *testing.T) {
	reported := &pb.ProxyStatus{Sequence: 5, List: &pb.ListVersion{Epoch: 1, Holder: "core-1", Revision: 3}}
	for name, apply := range map[string]*pb.ApplyRequest{
		"changes": {Changes: []*pb.Change{change(5), change(6)}},
		"repair":  {Repair: &pb.Repair{Sequence: 5}},
		"list":    {List: serverList(3)},
	} {
		var broken violations
		broken.checkSent(zap.NewNop(), apply, reported)
		require.EqualValues(t, 1, broken.staleSent, name)
	}
	for name, apply := range map[string]*pb.ApplyRequest{
		"changes": {Changes: []*pb.Change{change(6)}},
		"repair":  {Repair: &pb.Repair{Sequence: 6}},
		"list":    {List: serverList(4)},
		"nothing": {Confirmed: true},
	} {
		var broken violations
		broken.checkSent(zap.NewNop(), apply, reported)
		require.Zero(t, broken.total(), name)
	}
}
