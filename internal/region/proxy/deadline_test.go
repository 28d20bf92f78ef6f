package proxy

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/placement"
)

// addRoutes adds routes to the configuration of the test proxy.
func addRoutes(r *testProxy, routes ...string) {
	r.t.Helper()
	change := &pb.Change{Sequence: r.handler.snapshots.load().sequence + 1, Generation: 8}
	for index, body := range routes {
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: catalog.KindRoutes, Name: fmt.Sprintf("added-%d", index), Sequence: change.Sequence, Body: []byte(body),
		})
	}
	_, done := r.handler.snapshots.apply(&pb.ApplyRequest{Changes: []*pb.Change{change}})
	require.Empty(r.t, done.rejected)
	require.Empty(r.t, done.partial)
}

const (
	shortStream = `{"name":"added-0","vhost":"h.example","path-prefix":"/ts/","route-kind":"streaming","resumable":true,"deadline-ms":60,"target-ms":50,"backend":"s1","tries":3}`
	// longerRoute has a deadline that is long enough to read more than maxBufferedResponse on a busy machine.
	longerRoute = `{"name":"added-2","vhost":"h.example","path-prefix":"/tl/","route-kind":"mutating","deadline-ms":1500,"target-ms":50,"backend":"s1","tries":3}`
	shortRepeat = `{"name":"added-1","vhost":"h.example","path-prefix":"/ti/","route-kind":"idempotent","deadline-ms":60,"target-ms":50,"backend":"s1","tries":3}`
)

// saturatedPlacer finds no server with capacity until free is set.
type saturatedPlacer struct {
	*fakePlacer
	checkedAt time.Duration      // time of the last look for a server; guarded as waiting is
	waiting   *placement.Request // request that waits; nil: none. The dispatcher's lock guards it
	free      atomic.Bool
	picks     atomic.Int64
}

func (f *saturatedPlacer) Place(now time.Duration, request *placement.Request) (placement.Placement, *placement.Assignment, error) {
	f.picks.Add(1)
	if !f.free.Load() {
		f.waiting, f.checkedAt = request, now
		return placement.Placement{Wait: 1, LatestStart: request.Deadline}, nil, nil
	}
	return f.fakePlacer.Place(now, request)
}

func (f *saturatedPlacer) Advance(now time.Duration) []placement.Assignment {
	f.picks.Add(1)
	f.checkedAt = now
	if f.waiting == nil || !f.free.Load() {
		return nil
	}
	placed, _, err := f.fakePlacer.Place(now, f.waiting)
	f.waiting = nil
	return []placement.Assignment{{Wait: 1, Decision: placed.Decision, Err: err}}
}

func (f *saturatedPlacer) NextCheck() (time.Duration, bool) {
	return f.checkedAt + pollInterval, f.waiting != nil
}

func (f *saturatedPlacer) Withdraw(placement.WaitID) (bool, error) {
	withdrawn := f.waiting != nil
	f.waiting = nil
	return withdrawn, &placement.NoServerError{Reason: placement.ReasonFull, RetryAfter: pollInterval}
}

// saturate replaces the test proxy's placer by one that finds no server with capacity.
func (r *testProxy) saturate() *saturatedPlacer {
	full := &saturatedPlacer{fakePlacer: r.placer}
	r.handler.dispatcher.placer = full
	return full
}

// Whatever a request waits for, it ends within half a second after the deadline of its route, with a final response or the
// end of the connection, even if the client would wait longer.
func TestEveryRequestEndsAtItsRoutesDeadline(t *testing.T) {
	const deadline, longerDeadline, allowed = 60 * time.Millisecond, 1500 * time.Millisecond, 500 * time.Millisecond
	longer := headerDeadline + ": 30000\r\n"
	plain := func(target string) func(*client) {
		return func(c *client) { c.send("GET", target, longer, "") }
	}
	opens := func(conn *net.TCPConn, request receivedByServer) bool {
		streamHead(conn, request, "x")
		chunk(conn, eventText(1))
		return true
	}
	begins := func(length int, body string) reply {
		return func(conn *net.TCPConn, request receivedByServer) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id1\r\n%sContent-Length: %d\r\n\r\n%s", headerAttemptID, seal, length, body)
			return err == nil
		}
	}
	interim := func(conn *net.TCPConn, _ receivedByServer) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		return err == nil
	}
	cases := map[string]struct {
		servers []reply
		send    func(*client)
		full    bool
		noList  bool
		want    int           // status; 0 if the response must end early
		within  time.Duration // deadline of the route; 0: deadline
	}{
		"an unresponsive server":    {servers: []reply{noResponse}, send: plain("/t/x"), want: 504},
		"interim responses":         {servers: []reply{interim}, send: plain("/t/x"), want: 504},
		"half a response":           {servers: []reply{begins(9, "half")}, send: plain("/t/x"), want: 504},
		"half a large response":     {servers: []reply{begins(4<<20, repeated("x", 2<<20))}, send: plain("/tl/x"), within: longerDeadline},
		"a stalled stream":          {servers: []reply{opens}, send: plain("/ts/x")},
		"a stream without a head":   {servers: []reply{noResponse}, send: plain("/ts/x"), want: 504},
		"an interrupted stream":     {servers: []reply{streamEvents("one", 2, "id: 3\n"), noResponse}, send: plain("/ts/x")},
		"a reset, then no response": {servers: []reply{reset, noResponse}, send: plain("/ti/x"), want: 504},
		"no capacity":               {servers: []reply{noResponse}, send: plain("/t/x"), full: true, want: 503},
		"no capacity for a retry":   {servers: []reply{noResponse}, send: retriedRequest("/t/x"), full: true, want: 503},
		"no server list":            {servers: []reply{noResponse}, send: plain("/t/x"), noList: true, full: true, want: 503},
		"the client's body is late": {servers: []reply{noResponse}, send: incompleteBody("/t/x"), want: 408},
		"a late body and no list":   {servers: []reply{noResponse}, send: incompleteBody("/t/x"), noList: true, want: 408},
		"a client without deadline": {servers: []reply{noResponse}, send: func(c *client) { c.send("GET", "/t/x", "", "") }, want: 504},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			var servers []*fakeServer
			for index, answer := range one.servers {
				servers = append(servers, newFakeServer(t, fmt.Sprintf("i-%d", index), answer))
			}
			r := newTestProxy(t, servers...)
			addRoutes(r, shortStream, shortRepeat, longerRoute)
			if one.full {
				r.saturate()
			}
			if one.noList {
				withoutList := *r.handler.snapshots.load()
				withoutList.list = nil
				r.handler.snapshots.current.Store(&withoutList)
			}
			c := r.dial()
			began := time.Now()
			one.send(c)
			response := c.receiveHead("GET")
			_, err := io.ReadAll(response.Body)
			require.Less(t, time.Since(began), cmp.Or(one.within, deadline)+allowed)
			if one.want == 0 {
				require.Error(t, err, "the client must detect the early end, status %d", response.StatusCode)
				return
			}
			require.NoError(t, err)
			require.Equal(t, one.want, response.StatusCode)
		})
	}
}

// If a client doesn't read its response, neither its request nor the request to the server lasts longer than the deadline.
func TestRequestOfAClientThatReadsNothingEndsAtTheDeadline(t *testing.T) {
	const deadline, allowed = 60 * time.Millisecond, 500 * time.Millisecond
	flood := func(begin func(conn *net.TCPConn, request receivedByServer), piece string) reply {
		return func(conn *net.TCPConn, request receivedByServer) bool {
			begin(conn, request)
			for {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
					return false
				}
			}
		}
	}
	cases := map[string]struct {
		target string
		server reply
	}{
		"a stream": {"/ts/x", flood(func(conn *net.TCPConn, request receivedByServer) {
			streamHead(conn, request, "x")
		}, "data: "+repeated("x", 60_000)+"\n\n")},
		"a large response": {"/t/x", flood(func(conn *net.TCPConn, request receivedByServer) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id1\r\n%sTransfer-Encoding: chunked\r\n\r\n", headerAttemptID, seal)
		}, repeated("x", 60_000))},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "i-1", one.server)
			r := newTestProxy(t, server)
			addRoutes(r, shortStream)
			c := r.dial()
			began := time.Now()
			c.send("GET", one.target, "", "")
			<-server.closed
			eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
			require.Less(t, time.Since(began), deadline+allowed)
		})
	}
}

// A proxy that was delayed beyond the write deadline still sends its rejection.
func TestRejectionIsSentAfterTheDeadline(t *testing.T) {
	r := newTestProxy(t)
	late := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		require.NoError(t, http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(-time.Second)))
		r.handler.reject(writer, &rejection{status: http.StatusGatewayTimeout})
	})
	server := httptest.NewServer(late)
	defer server.Close()
	response, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// retriedRequest sends a request with less time than its route's deadline, as a client's retry.
func retriedRequest(target string) func(*client) {
	return func(c *client) { c.send("GET", target, headerDeadline+": 59\r\n", "") }
}

// incompleteBody sends a request whose body is never completed.
func incompleteBody(target string) func(*client) {
	return func(c *client) {
		c.send("POST", target, "Content-Length: 9\r\n", "")
		c.write("half")
	}
}

// No server gets a deadline that is longer than the client's or the route's, and no retry a deadline that ends later than
// that of the first attempt.
func TestForwardedDeadlineNeverGrows(t *testing.T) {
	const rounding = 20 * time.Millisecond
	cases := map[string]struct {
		target        string
		timeoutHeader string
		most          time.Duration
	}{
		"the client's":               {"/i/x", "1500", 1500 * time.Millisecond},
		"the route's":                {"/i/x", "", 4 * time.Second},
		"the route's, the shorter":   {"/r/x", "90000", 4 * time.Second},
		"the client's, of a stream":  {"/r/x", "700.5", 701 * time.Millisecond},
		"the client's is not a time": {"/m/x", "soon", 4 * time.Second},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			var arrivals [2]time.Time
			arriving := func(index int, answer reply) reply {
				return func(conn *net.TCPConn, request receivedByServer) bool {
					arrivals[index] = time.Now()
					return answer(conn, request)
				}
			}
			first := newFakeServer(t, "i-1", arriving(0, text(503, notExecutedHeader, "")))
			second := newFakeServer(t, "i-2", arriving(1, ok("ok")))
			r := newTestProxy(t, first, second)
			headers := ""
			if one.timeoutHeader != "" {
				headers = headerDeadline + ": " + one.timeoutHeader + "\r\n"
			}
			c := r.dial()
			c.send("GET", one.target, headers, "")
			response, _ := c.receive("GET")
			require.Equal(t, http.StatusOK, response.StatusCode)
			var ends [2]time.Time
			for index, server := range []*fakeServer{first, second} {
				values := server.requests()[0].header[headerDeadline]
				require.Len(t, values, 1)
				milliseconds, err := strconv.Atoi(values[0])
				require.NoError(t, err)
				left := time.Duration(milliseconds) * time.Millisecond
				require.LessOrEqual(t, left, one.most)
				require.Positive(t, left)
				ends[index] = arrivals[index].Add(left)
			}
			// The deadline is sent as a remaining time, so the time in transit is added to the end that a server computes.
			require.True(t, ends[1].Before(ends[0].Add(rounding+arrivals[1].Sub(arrivals[0]))))
		})
	}
}

// All attempts of a request share one deadline, and each server gets the remaining time.
func TestAllAttemptsShareOneDeadline(t *testing.T) {
	x := &exchange{deadline: time.Now().Add(time.Minute)}
	before := x.remaining()
	require.LessOrEqual(t, before, time.Minute)
	require.LessOrEqual(t, x.remaining(), before)
}

// Whatever servers respond, a client's request reaches no more servers than its route allows attempts, and none of them
// twice.
func TestNoRequestReachesMoreServersThanItsRouteAllows(t *testing.T) {
	maxAttempts := map[string]int{"/m/x": 3, "/i/x": 2, "/o/x": 1, "/s/x": 3, "/r/x": 3}
	answers := []reply{reset, text(503, notExecutedHeader, ""), text(421, "", ""), text(500, seal, "why"), text(429, "", "")}
	for _, broken := range brokenReplies {
		answers = append(answers, broken)
	}
	for cut := range 3 {
		answers = append(answers, streamEvents(fmt.Sprint(cut), cut, "id: 9\n"))
	}
	random := rand.New(rand.NewPCG(1, 2))
	most := make(map[string]int)
	for round := range 40 {
		var servers []*fakeServer
		for index := range 5 {
			answer := answers[random.IntN(len(answers))]
			if round == 0 {
				answer = text(503, notExecutedHeader, "") // so that all allowed attempts are made
			}
			servers = append(servers, newFakeServer(t, fmt.Sprintf("i-%d", index), answer))
		}
		r := newTestProxy(t, servers...)
		for target, allowed := range maxAttempts {
			before := countArrivals(servers)
			c := r.dial()
			c.send("GET", target, "", "")
			// An interrupted response may end before the end of its head.
			if response, err := readResponse(c.reader, http.MethodGet); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
			}
			eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
			reached := 0
			for index, count := range countArrivals(servers) {
				require.LessOrEqual(t, count-before[index], 1, "the request reached one server twice")
				reached += count - before[index]
			}
			require.LessOrEqual(t, reached, allowed, target)
			most[target] = max(most[target], reached)
		}
	}
	require.Equal(t, maxAttempts, most)
}

func countArrivals(servers []*fakeServer) []int {
	var counts []int
	for _, server := range servers {
		counts = append(counts, len(server.requests()))
	}
	return counts
}

// After a client has disconnected, no server gets its request any more, and the connection to a server that is working on
// the request is closed.
func TestNothingReachesAServerOnceTheClientLeft(t *testing.T) {
	t.Run("waiting for capacity", func(t *testing.T) {
		server := newFakeServer(t, "i-1", ok("ok"))
		r := newTestProxy(t, server)
		full := r.saturate()
		c := r.dial()
		c.send("GET", "/m/x", headerDeadline+": 3000\r\n", "")
		eventually(t, func() bool { return full.picks.Load() > 0 }, "the proxy looks for a server")
		require.NoError(t, c.conn.Close())
		eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
		full.free.Store(true)
		require.Empty(t, server.requests())
		require.EqualValues(t, 1, r.handler.counters.clientCancellations.Load())
	})
	t.Run("before the first byte is sent", func(t *testing.T) {
		server := newFakeServer(t, "i-1", ok("ok"))
		r := newTestProxy(t, server)
		response, _ := r.get("/m/x") // leaves an idle connection in the pool
		require.Equal(t, http.StatusOK, response.StatusCode)
		left, leave := context.WithCancel(context.Background())
		leave()
		request := httptest.NewRequestWithContext(left, http.MethodGet, "http://h.example/m/x", nil)
		request.RequestURI = "/m/x"
		request.Header.Set(headerAttemptID, "id2")
		require.PanicsWithValue(t, http.ErrAbortHandler, func() {
			r.handler.ServeHTTP(httptest.NewRecorder(), request)
		})
		require.Len(t, server.requests(), 1)
		require.Equal(t, []placement.Outcome{placement.Done, placement.NotSent}, r.placer.seenOutcomes())
	})
	for _, target := range []string{"/m/x", "/i/x", "/s/x", "/r/x"} {
		t.Run("at a server, "+target, func(t *testing.T) {
			left := make(chan struct{})
			first := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
				<-left // then it rejects the request, so that the proxy could try another server
				return text(503, notExecutedHeader, "")(conn, request)
			})
			second := newFakeServer(t, "i-2", ok("ok"))
			r := newTestProxy(t, first, second)
			c := r.dial()
			c.send("GET", target, "", "")
			eventually(t, func() bool { return len(first.requests()) == 1 }, "the request arrives")
			require.NoError(t, c.conn.Close())
			eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
			close(left)
			<-first.closed
			require.Empty(t, second.requests())
			require.Equal(t, []placement.Outcome{placement.Canceled}, r.placer.seenOutcomes())
		})
	}
}
