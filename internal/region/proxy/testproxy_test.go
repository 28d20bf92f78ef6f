package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/limits"
	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
)

const (
	testTimeout  = 5 * time.Second
	pollInterval = 2 * time.Millisecond
)

// fakePlacer picks the first of its servers that was not excluded.
type fakePlacer struct {
	mu        sync.Mutex
	servers   []upstream.Server
	next      placement.AttemptID
	forbidden int   // number of upcoming calls of StillAllowed that return false
	refusal   error // of each request; nil: none
	outcomes  []placement.Outcome
	started   int
	succeeded []bool
	draining  []string
}

func (f *fakePlacer) SetServers(time.Duration, []*pb.Server, time.Duration)      {}
func (f *fakePlacer) SetTable(time.Duration, *route.Table)                       {}
func (f *fakePlacer) SetEvacuated(time.Duration, []string)                       {}
func (f *fakePlacer) SetQuotaMembers(time.Duration, *pb.QuotaMembers)            {}
func (f *fakePlacer) ServerWarmingUp(time.Duration, string, time.Duration)       {}
func (f *fakePlacer) ServerUnreachable(time.Duration, string)                    {}
func (f *fakePlacer) RoundTripMeasured(string, time.Duration)                    {}
func (f *fakePlacer) Slack() float64                                             { return 1 }
func (f *fakePlacer) Stats() placement.Stats                                     { return placement.Stats{} }
func (f *fakePlacer) FailureReported(time.Duration, string, string)              {}
func (f *fakePlacer) AnnouncementReceived(time.Duration, placement.Announcement) {}

func (f *fakePlacer) ServerDraining(_ time.Duration, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = append(f.draining, id)
}

func (f *fakePlacer) Advance(time.Duration) []placement.Assignment { return nil }
func (f *fakePlacer) NextCheck() (time.Duration, bool)             { return 0, false }
func (f *fakePlacer) Withdraw(placement.WaitID) (bool, error)      { return false, nil }

func (f *fakePlacer) Place(_ time.Duration, request *placement.Request) (placement.Placement, *placement.Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal != nil {
		return placement.Placement{}, nil, f.refusal
	}
	for _, server := range f.servers {
		if contains(request.Excluded, server.ID) {
			continue
		}
		f.next++
		decision := placement.Decision{Attempt: f.next, ServerID: server.ID, Address: server.Address}
		return placement.Placement{Decision: decision}, nil, nil
	}
	return placement.Placement{}, nil, &placement.NoServerError{Reason: placement.ReasonExcluded, RetryAfter: 70 * time.Millisecond}
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

func (f *fakePlacer) StillAllowed(time.Duration, placement.AttemptID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forbidden > 0 {
		f.forbidden--
		return false
	}
	return true
}

func (f *fakePlacer) Started(time.Duration, placement.AttemptID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
}

func (f *fakePlacer) Finished(_ time.Duration, _ placement.AttemptID, outcome placement.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}

func (f *fakePlacer) RequestDone(_ time.Duration, _ *placement.Request, answered bool, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.succeeded = append(f.succeeded, answered)
}

func (f *fakePlacer) seenOutcomes() []placement.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]placement.Outcome(nil), f.outcomes...)
}

// receivedByServer is a request as a fake server received it.
type receivedByServer struct {
	method, target, host string
	header               http.Header
	body                 string
}

// fakeServer is a server that records its requests and responds to each with a reply.
type fakeServer struct {
	server   upstream.Server
	mu       sync.Mutex
	received []receivedByServer
	closed   chan struct{} // receives a value for each connection that ended
}

// reply responds to one request; it returns false to end the connection.
type reply func(conn *net.TCPConn, request receivedByServer) bool

func newFakeServer(t *testing.T, id string, answer reply) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &fakeServer{
		server: upstream.Server{ID: id, Address: listener.Addr().String()},
		closed: make(chan struct{}, 100),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn), answer)
		}
	}()
	return s
}

func (s *fakeServer) serve(conn *net.TCPConn, answer reply) {
	defer func() {
		_ = conn.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		got := receivedByServer{request.Method, request.RequestURI, request.Host, request.Header, string(body)}
		s.mu.Lock()
		s.received = append(s.received, got)
		s.mu.Unlock()
		if !answer(conn, got) {
			return
		}
	}
}

func (s *fakeServer) requests() []receivedByServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedByServer(nil), s.received...)
}

// text is a complete response with the request's id.
func text(status int, headers, body string) reply {
	return func(conn *net.TCPConn, request receivedByServer) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, headerAttemptID, request.header.Get(headerAttemptID), headers, len(body), body)
		return err == nil
	}
}

const (
	seal              = headerServerSeal + ": seal\r\n"
	notExecutedHeader = headerNotExecuted + ": 1\r\n"
)

func ok(body string) reply { return text(200, seal, body) }

// raw writes the given bytes, in which ID is replaced by the request's id, and closes the connection.
func raw(answer string) reply {
	return func(conn *net.TCPConn, request receivedByServer) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", request.header.Get(headerAttemptID)))
		return false
	}
}

// rawReset is like raw, but resets the connection instead of closing it.
func rawReset(answer string) reply {
	return func(conn *net.TCPConn, request receivedByServer) bool {
		raw(answer)(conn, request)
		return reset(conn, request)
	}
}

// reset resets the connection without a response.
func reset(conn *net.TCPConn, _ receivedByServer) bool {
	_ = conn.SetLinger(0)
	return false
}

// noResponse keeps the connection open without a response.
func noResponse(*net.TCPConn, receivedByServer) bool { return true }

// testProxy is a handler behind a real listener.
type testProxy struct {
	t       *testing.T
	handler *handler
	placer  *fakePlacer
	address string
}

// testRoutes are the test proxy's routes, each as a line with the item's name and its body.
const testRoutes = `mutating:{"name":"m","vhost":"h.example","path-prefix":"/m/","route-kind":"mutating","deadline-ms":4000,"target-ms":100,"prio":2,"backend":"s1","tries":3}
idempotent:{"name":"i","vhost":"h.example","path-prefix":"/i/","route-kind":"idempotent","deadline-ms":4000,"target-ms":100,"backend":"s1","tries":2}
once:{"name":"o","vhost":"h.example","path-prefix":"/o/","route-kind":"idempotent","deadline-ms":4000,"target-ms":100,"backend":"s1","tries":1}
stream:{"name":"s","vhost":"h.example","path-prefix":"/s/","route-kind":"streaming","deadline-ms":4000,"target-ms":100,"backend":"s1","tries":3}
resumable:{"name":"r","vhost":"h.example","path-prefix":"/r/","route-kind":"streaming","resumable":true,"deadline-ms":4000,"target-ms":100,"backend":"s1","tries":3}
long-mutating:{"name":"lm","vhost":"h.example","path-prefix":"/long/m/","route-kind":"mutating","deadline-ms":60000,"target-ms":100,"backend":"s1","tries":3}
long-idempotent:{"name":"li","vhost":"h.example","path-prefix":"/long/i/","route-kind":"idempotent","deadline-ms":60000,"target-ms":100,"backend":"s1","tries":2}
long-stream:{"name":"ls","vhost":"h.example","path-prefix":"/long/s/","route-kind":"streaming","deadline-ms":60000,"target-ms":100,"backend":"s1","tries":3}
long-resumable:{"name":"lr","vhost":"h.example","path-prefix":"/long/r/","route-kind":"streaming","resumable":true,"deadline-ms":60000,"target-ms":100,"backend":"s1","tries":3}
long-once:{"name":"lo","vhost":"h.example","path-prefix":"/long/o/","route-kind":"idempotent","deadline-ms":60000,"target-ms":100,"backend":"s1","tries":1}
short:{"name":"t","vhost":"h.example","path-prefix":"/t/","route-kind":"mutating","deadline-ms":60,"target-ms":50,"backend":"s1","tries":3}`

func testChange() *pb.Change {
	change := firstChange()
	for line := range strings.SplitSeq(testRoutes, "\n") {
		name, body, _ := strings.Cut(line, ":")
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: catalog.KindRoutes, Name: name, Sequence: 1, Body: []byte(body),
		})
	}
	change.Upserts = append(change.Upserts, &pb.Item{
		Kind: catalog.KindSetting, Name: "req-limits", Sequence: 1, Body: []byte(`{"max-body-bytes":8000000}`),
	})
	return change
}

func newTestProxy(t *testing.T, servers ...*fakeServer) *testProxy {
	t.Helper()
	placer := &fakePlacer{}
	for _, server := range servers {
		placer.servers = append(placer.servers, server.server)
	}
	return newTestProxyWith(t, placer, func(h *handler) http.Handler { return h })
}

// newTestProxyWith returns a test proxy whose handler is wrapped by between.
func newTestProxyWith(t *testing.T, placer *fakePlacer, between func(*handler) http.Handler) *testProxy {
	t.Helper()
	budget := limits.NewRetryBudget(limits.RetryConfig{Ratio: 1, Extra: 100, Window: 10 * time.Second}, "self")
	budget.SetQuotaMembers(&pb.QuotaMembers{Proxies: 1, Members: []*pb.Neighbour{{Host: "self"}}})
	dispatcher := newDispatcher(placer, budget)
	dispatcher.start = dispatcher.start.Add(-time.Minute) // past the budget's first window, in which it has no extra retries
	h := &handler{
		snapshots:  newSnapshotStore(),
		dispatcher: dispatcher,
		pool:       upstream.NewPool(upstream.Config{}),
		roundTrips: newRoundTrips(),
		durations:  newRouteDurations(),
		memory:     newMemoryLimit(16 << 20),
		counters:   &counters{},
		random:     func() float64 { return 0.5 },
	}
	h.lifecycle = &lifecycle{snapshot: h.snapshots.load}
	_, applied := h.snapshots.apply(&pb.ApplyRequest{Changes: []*pb.Change{testChange()}, List: &pb.ServerList{}, Confirmed: true})
	require.Empty(t, applied.rejected)
	require.Empty(t, applied.partial)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	base, abandon := context.WithCancel(context.Background())
	front := newClientListener(base, listener, between(h), 100, h.counters, zap.NewNop())
	go front.serve()
	t.Cleanup(func() {
		front.close()
		abandon()
		h.pool.Close()
		require.Zero(t, h.counters.violations())
	})
	return &testProxy{t: t, handler: h, placer: placer, address: listener.Addr().String()}
}

// dial opens a client's connection.
func (r *testProxy) dial() *client {
	r.t.Helper()
	conn, err := net.Dial("tcp4", r.address)
	require.NoError(r.t, err)
	require.NoError(r.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	r.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: r.t, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// client is a client's connection.
type client struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (c *client) write(request string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, request)
	require.NoError(c.t, err)
}

// send sends a request with the id id1 and, unless it is empty, a body.
func (c *client) send(method, target, headers, body string) {
	c.t.Helper()
	if body != "" {
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.write(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: id1\r\n%s\r\n%s", method, target, headerAttemptID, headers, body))
}

// clientResponse is a response as a client receives it. Its body needs no closing, since the cleanup of the test closes
// the client's connection.
type clientResponse struct{ *http.Response }

// readResponse reads the head of a response to a request of the given method.
func readResponse(reader *bufio.Reader, method string) (clientResponse, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method}) //nolint:bodyclose // see clientResponse
	return clientResponse{response}, err
}

// receiveHead receives the head of a response.
func (c *client) receiveHead(method string) clientResponse {
	c.t.Helper()
	response, err := readResponse(c.reader, method)
	require.NoError(c.t, err)
	return response
}

// receive receives a complete response.
func (c *client) receive(method string) (clientResponse, string) {
	c.t.Helper()
	response := c.receiveHead(method)
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response, string(body)
}

// get sends one request on a connection of its own and receives the complete response.
func (r *testProxy) get(target string) (clientResponse, string) {
	r.t.Helper()
	c := r.dial()
	c.send("GET", target, "", "")
	return c.receive("GET")
}

// eventually fails the test unless a condition is met within testTimeout.
func eventually(t *testing.T, holds func() bool, message string) {
	t.Helper()
	require.Eventually(t, holds, testTimeout, pollInterval, message)
}

func lines(parts ...string) string { return strings.Join(parts, "\r\n") + "\r\n" }

func repeated(text string, times int) string { return string(bytes.Repeat([]byte(text), times)) }
