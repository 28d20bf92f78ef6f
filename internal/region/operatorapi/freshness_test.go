package operatorapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// networkDelay is how long a partition delays the bytes of a request in these tests.
const networkDelay = 20 * time.Second

const beginEvacuation = "POST /api/drain/brno-hala/begin HTTP/1.1\r\nHost: core\r\n"

// delayedServer is an HTTP server over TCP to which each request seems to arrive a given delay after its connection was
// ready.
type delayedServer struct {
	*httptest.Server
	orders *recordedOrders
	done   chan struct{} // receives one element for each completed call
}

func newDelayedServer(t *testing.T, delay time.Duration) *delayedServer {
	t.Helper()
	s := &delayedServer{orders: answeringWith(http.StatusOK, "{}"), done: make(chan struct{}, 8)}
	calls := New(optionsWith(s.orders)).Handler(allServices)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connectionOf(r).readyAt.Add(-int64(delay))
		calls.ServeHTTP(w, r)
		s.done <- struct{}{}
	}))
	s.Config.ConnContext = ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// sendAndDisconnect sends a request and closes the connection.
func (s *delayedServer) sendAndDisconnect(t *testing.T, request string) {
	t.Helper()
	connection, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(connection, request)
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	<-s.done
}

func TestDelayedEvacuationOfDisconnectedCallerIsNotSubmitted(t *testing.T) {
	for name, request := range map[string]string{
		"without a body":    beginEvacuation + "\r\n",
		"with a length":     beginEvacuation + "Content-Length: 2\r\n\r\n{}",
		"in chunks":         beginEvacuation + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"in chunks, broken": beginEvacuation + "Transfer-Encoding: chunked\r\n\r\n2\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			server := newDelayedServer(t, networkDelay)
			server.sendAndDisconnect(t, request)
			require.Empty(t, server.orders.orders)
		})
	}
}

// If a request counts as fresh, its order is submitted although the caller has disconnected: it is the age of a request
// that TestDelayedEvacuationOfDisconnectedCallerIsNotSubmitted depends on.
func TestFreshEvacuationOfDisconnectedCallerIsSubmitted(t *testing.T) {
	server := newDelayedServer(t, 0)
	server.sendAndDisconnect(t, beginEvacuation+"\r\n")
	require.Len(t, server.orders.orders, 1)
}

func TestDelayedEvacuationOfConnectedCallerIsSubmitted(t *testing.T) {
	server := newDelayedServer(t, networkDelay)
	for range 2 { // both requests use one connection
		answer, err := server.Client().Post(server.URL+"/api/drain/brno-hala/begin", "", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	}
	require.Len(t, server.orders.orders, 2)
}

func TestFreshEvacuationIsNotDelayed(t *testing.T) {
	server := newDelayedServer(t, 0)
	began := time.Now()
	answer, err := server.Client().Post(server.URL+"/api/drain/brno-hala/begin", "", nil)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Less(t, time.Since(began), CallerCheckDelay)
}

func TestOrderOfDisconnectedCallerIsCanceled(t *testing.T) {
	server := newDelayedServer(t, 0)
	ended := make(chan error, 1)
	server.orders.answer = func(ctx context.Context, _ *pb.Order) *pb.OrderResult {
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return &pb.OrderResult{Status: http.StatusServiceUnavailable}
	}
	server.sendAndDisconnect(t, beginEvacuation+"\r\n")
	require.ErrorIs(t, <-ended, context.Canceled)
}

func TestUnknownZoneIsNotRejectedWith404WhenNotAuthoritative(t *testing.T) {
	options := optionsWith(answeringWith(http.StatusOK, ""))
	options.Authoritative = func() bool { return false }
	recorder := call(options, "POST", "/api/drain/nowhere/begin", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Equal(t, "out_of_touch", rejectionIn(t, recorder).Code)
}
