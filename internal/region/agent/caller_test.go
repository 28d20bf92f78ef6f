package agent

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

// A machine without power or behind a network partition does not refuse connections. A call to it must end at the dial
// timeout rather than wait for the timeout of the response.
func TestSilentMachineIsAbandonedAfterTheDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := make(chan event, 1)
		caller := newCaller(t.Context(), shuffle.Neighbour{}, "10.0.0.1:1", func(received event) { ends <- received })
		caller.client = &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}}
		began := time.Now()
		caller.start(watchCall{address: "10.0.0.2:1", request: &pb.WatchRequest{}, dialTimeout: 150 * time.Millisecond, timeout: watchTimeout})
		done := (<-ends).(watchDone)
		require.ErrorIs(t, done.err, errDialTimeout)
		require.Equal(t, 150*time.Millisecond, time.Since(began))
		caller.wait()
	})
}

// The dial timeout covers the connection only: a long poll whose response comes later than that must succeed.
func TestDialTimeoutDoesNotBoundTheWaitForAResponse(t *testing.T) {
	control := newFakeControl(t)
	ends := make(chan event, 2)
	caller := newCaller(t.Context(), shuffle.Neighbour{}, "127.0.0.1:1", func(received event) { ends <- received })
	const dial = 200 * time.Millisecond
	request := &pb.WatchRequest{HoldMs: uint32(2 * dial / time.Millisecond)}
	caller.start(watchCall{id: 7, address: control.address, request: request, dialTimeout: dial, timeout: watchTimeout})
	require.Equal(t, watchResponseStarted{id: 7}, <-ends, "the start of the response is posted")
	done := (<-ends).(watchDone)
	require.NoError(t, done.err)
	require.True(t, done.response.GetAuthoritative())
	caller.wait()
}
