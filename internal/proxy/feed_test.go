package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// TestWhatWasMeantForAnEarlierProcessIsLeft: its confirmation was asked for before this process began.
func TestWhatWasMeantForAnEarlierProcessIsLeft(t *testing.T) {
	r := startProcess(t, 1)
	request := &pb.ApplyRequest{Changes: []*pb.Change{rigChange()}, Confirmed: true, ProxyIncarnation: 2}
	status := r.apply(request)
	require.NotEqual(t, uint64(2), status.GetIncarnation(), "incarnations are odd")
	require.Zero(t, status.GetSequence())
	require.False(t, r.process.state.load().confirmed)

	request.ProxyIncarnation = status.GetIncarnation()
	require.NotZero(t, r.apply(request).GetSequence())
	require.True(t, r.process.state.load().confirmed)
}
