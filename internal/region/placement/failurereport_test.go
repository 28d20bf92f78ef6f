package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/policy"
)

// isEligible reports whether a server is eligible for a request.
func (f *fixture) isEligible(id string) bool {
	return f.p.eligibility(f.now, f.p.servers[id], f.request(routeHelp)) == eligible
}

func TestReportsFromTwoZonesEjectAServer(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	id := f.list[0].GetId()
	f.p.FailureReported(f.now, id, zoneA)
	f.p.FailureReported(f.now, id, zoneA)
	require.True(t, f.isEligible(id), "one zone may be partitioned from the server")
	f.p.FailureReported(f.now, id, zoneB)
	require.False(t, f.isEligible(id))
	require.Equal(t, uint64(3), f.p.Stats().FailureReports)
	f.now += 2 * firstEjection
	require.True(t, f.p.servers[id].trialDue(f.now), "the server gets a trial as after failures that this proxy observed")
}

func TestOldReportsDoNotCount(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	id := f.list[0].GetId()
	f.p.FailureReported(f.now, id, zoneA)
	f.now += reportTTL
	f.p.FailureReported(f.now, id, zoneB)
	require.True(t, f.isEligible(id))
}

func TestAReportMakesOneOwnFailureEnough(t *testing.T) {
	for _, reported := range []bool{false, true} {
		f := newFixture(t, 0, westAndEast())
		decision := f.pick(f.request(routeHelp, PromptChunk{ID: 3, Tokens: 100}))
		if reported {
			f.p.FailureReported(f.now, decision.ServerID, zoneB)
		}
		f.p.Finished(f.now, decision.Attempt, Reset)
		require.Equal(t, !reported, f.isEligible(decision.ServerID))
	}
}

func TestAnOwnSuccessOutweighsReports(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	id := f.serve(f.request(routeHelp, PromptChunk{ID: 3, Tokens: 100}), asPredicted)
	f.p.FailureReported(f.now, id, zoneA)
	f.p.FailureReported(f.now, id, zoneB)
	require.True(t, f.isEligible(id))
	f.now += successOverride
	f.p.FailureReported(f.now, id, zoneA)
	f.p.FailureReported(f.now, id, zoneB)
	require.False(t, f.isEligible(id))
}

func TestRequestsAreServedHoweverManyServersAreReported(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	for _, entry := range f.list {
		f.p.FailureReported(f.now, entry.GetId(), zoneA)
		f.p.FailureReported(f.now, entry.GetId(), zoneB)
	}
	_, err := f.p.Pick(f.now, f.request(routeHelp))
	require.NoError(t, err)
	f.p.FailureReported(f.now, "unknown", zoneA)
}

func TestReportsAreIgnoredWhenSwitchedOff(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.config.Off = switchedOff(t, policy.FailureReports)
	id := f.list[0].GetId()
	f.p.FailureReported(f.now, id, zoneA)
	f.p.FailureReported(f.now, id, zoneB)
	require.True(t, f.isEligible(id))
}
