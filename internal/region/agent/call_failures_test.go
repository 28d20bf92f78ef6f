package agent

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

// unimplementedControl responds to every call with the error code Unimplemented.
type unimplementedControl struct {
	fieldrelayv1connect.UnimplementedControlLinkHandler
}

// requireFailedWatch makes a Watch call that must fail, and returns its error.
func requireFailedWatch(t *testing.T, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	client := fieldrelayv1connect.NewControlLinkClient(&http.Client{Transport: newTransport()}, baseURL(address))
	_, err := client.Watch(ctx, connect.NewRequest(&pb.WatchRequest{}))
	require.Error(t, err)
	return err
}

// listenWith listens until the test ends, passes each accepted connection to take, and returns the address.
func listenWith(t *testing.T, take func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			take(connection)
		}
	}()
	return listener.Addr().String()
}

func TestFailedCallsAreClassified(t *testing.T) {
	closed := listenWith(t, func(connection net.Conn) { _ = connection.Close() })
	silent := listenWith(t, func(connection net.Conn) { t.Cleanup(func() { _ = connection.Close() }) })
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	refused := serve(t, func(mux *http.ServeMux) {
		mux.Handle(fieldrelayv1connect.NewControlLinkHandler(unimplementedControl{}))
	})
	require.Equal(t, failureReset, failureKindOf(requireFailedWatch(t, closed)))
	require.Equal(t, failureReset, failureKindOf(requireFailedWatch(t, gone.Addr().String())))
	require.Equal(t, failureTimeout, failureKindOf(requireFailedWatch(t, silent)))
	require.Equal(t, failureErrorResponse, failureKindOf(requireFailedWatch(t, refused)))
	require.Equal(t, failureDialTimeout, failureKindOf(errDialTimeout))
	require.Equal(t, failureOther, failureKindOf(errors.New("something else")))
}

func TestFailuresAndAnswersAreCounted(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	s.step(watchDone{call: requireWatch(s, watchLongPoll), err: errDialTimeout})
	require.EqualValues(t, 1, s.core.counters.watchFailureKinds[failureDialTimeout])

	s.tickFor(maxBackoff + minBackoff)
	call := requireWatch(s, watchLongPoll)
	s.tickFor(700 * time.Millisecond)
	response := &pb.WatchResponse{Sequence: 1, Changes: []*pb.Change{change(1)}}
	s.step(watchDone{call: call, response: response})
	require.Equal(t, s.now-call.started, s.core.counters.longestWatch)
	require.Positive(t, s.core.counters.largestResponse)
}
