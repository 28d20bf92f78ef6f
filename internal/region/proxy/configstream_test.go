package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A request for an earlier incarnation must be ignored, since its confirmation was obtained before this process started.
func TestRequestForAnEarlierIncarnationIsIgnored(t *testing.T) {
	r := startProcess(t, 1)
	request := &pb.ApplyRequest{Changes: []*pb.Change{testChange()}, Confirmed: true, ProxyIncarnation: 2}
	status := r.apply(request)
	require.NotEqual(t, uint64(2), status.GetIncarnation(), "incarnations are odd, so 2 is never the current one")
	require.Zero(t, status.GetSequence())
	require.False(t, r.process.snapshots.load().confirmed)

	request.ProxyIncarnation = status.GetIncarnation()
	require.NotZero(t, r.apply(request).GetSequence())
	require.True(t, r.process.snapshots.load().confirmed)
}

// Quota shares of a call that the agent has abandoned may arrive after later ones, and name fewer members. They must be
// ignored.
func TestOutdatedQuotaSharesAreIgnored(t *testing.T) {
	r := startProcess(t, 1)
	tell := func(agent, revision uint64) *pb.QuotaMembersVersion {
		version := &pb.QuotaMembersVersion{Agent: agent, Revision: revision}
		return r.apply(&pb.ApplyRequest{QuotaMembers: &pb.QuotaMembers{Proxies: 7, Version: version}}).GetShares()
	}
	require.EqualValues(t, 2, tell(9, 2).GetRevision())
	require.EqualValues(t, 2, tell(9, 1).GetRevision())
	require.EqualValues(t, 3, tell(9, 3).GetRevision())
	require.EqualValues(t, 1, tell(4, 1).GetRevision(), "a restarted agent counts from 1 again")
}
