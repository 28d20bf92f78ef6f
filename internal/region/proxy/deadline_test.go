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

// addRoutes adds routes to those of the test proxy.
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
	// longerRoute leaves a busy machine the time to read more than maxBufferedResponse before the deadline.
	longerRoute = `{"name":"added-2","vhost":"h.example","path-prefix":"/tl/","route-kind":"mutating","deadline-ms":1500,"target-ms":50,"backend":"s1","tries":3}`
	shortRepeat = `{"name":"added-1","vhost":"h.example","path-prefix":"/ti/","route-kind":"idempotent","deadline-ms":60,"target-ms":50,"backend":"s1","tries":3}`
)

// saturatedPlacer finds no server with capacity until it is released.
type saturatedPlacer struct {
	*fakePlacer
	free  atomic.Bool
	picks atomic.Int64
}

func (f *saturatedPlacer) Pick(now time.Duration, request *placement.Request) (placement.Decision, error) {
	f.picks.Add(1)
	if !f.free.Load() {
		return placement.Decision{}, &placement.NoServerError{Reason: placement.ReasonFull, RetryAfter: pollInterval}
	}
	return f.fakePlacer.Pick(now, request)
}

// saturate leaves the test proxy's servers without capacity.
func (r *testProxy) saturate() *saturatedPlacer {
	full := &saturatedPlacer{fakePlacer: r.placer}
	r.handler.dispatcher.placer = full
	return full
}

// TestEveryRequestEndsAtItsRoutesDeadline: whatever a request waits for, its client, which would wait for longer,
// has the final response, or sees the connection end, within half a second after the deadline of the route.
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
		want    int           // 0: the answer ends early
		within  time.Duration // deadline of the route; 0: deadline
	}{
		"a silent server":             {servers: []reply{noResponse}, send: plain("/t/x"), want: 504},
		"interim answers":             {servers: []reply{interim}, send: plain("/t/x"), want: 504},
		"half an answer":              {servers: []reply{begins(9, "half")}, send: plain("/t/x"), want: 504},
		"half a large answer":         {servers: []reply{begins(4<<20, repeated("x", 2<<20))}, send: plain("/tl/x"), within: longerDeadline},
		"a silent stream":             {servers: []reply{opens}, send: plain("/ts/x")},
		"a stream without a head":     {servers: []reply{noResponse}, send: plain("/ts/x"), want: 504},
		"a stream cut, then silence":  {servers: []reply{streamEvents("one", 2, "id: 3\n"), noResponse}, send: plain("/ts/x")},
		"a reset, then silence":       {servers: []reply{reset, noResponse}, send: plain("/ti/x"), want: 504},
		"no place":                    {servers: []reply{noResponse}, send: plain("/t/x"), full: true, want: 503},
		"no place in a second life":   {servers: []reply{noResponse}, send: retriedRequest("/t/x"), full: true, want: 503},
		"no list of servers":          {servers: []reply{noResponse}, send: plain("/t/x"), noList: true, full: true, want: 503},
		"the client's body is late":   {servers: []reply{noResponse}, send: incompleteBody("/t/x"), want: 408},
		"a late body, and no list":    {servers: []reply{noResponse}, send: incompleteBody("/t/x"), noList: true, want: 408},
		"a client that tells nothing": {servers: []reply{noResponse}, send: func(c *client) { c.send("GET", "/t/x", "", "") }, want: 504},
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
				require.Error(t, err, "it ends visibly early, status %d", response.StatusCode)
				return
			}
			require.NoError(t, err)
			require.Equal(t, one.want, response.StatusCode)
		})
	}
}

// TestRequestOfAClientThatReadsNothingEndsAtTheDeadline: neither its request nor the server's work lasts longer.
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
		"a large answer": {"/t/x", flood(func(conn *net.TCPConn, request receivedByServer) {
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

// TestRejectionIsSentAfterTheDeadline: a proxy that was delayed responds all the same.
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

// retriedRequest sends a request as a client's retry: with a little less time.
func retriedRequest(target string) func(*client) {
	return func(c *client) { c.send("GET", target, headerDeadline+": 59\r\n", "") }
}

// incompleteBody begins a request whose body is never complete.
func incompleteBody(target string) func(*client) {
	return func(c *client) {
		c.send("POST", target, "Content-Length: 9\r\n", "")
		c.write("half")
	}
}

// TestForwardedDeadlineNeverGrows: no server gets a longer deadline than the client's or the route's, and a retry
// none that ends later than that of the first attempt.
func TestForwardedDeadlineNeverGrows(t *testing.T) {
	const rounding = 20 * time.Millisecond
	cases := map[string]struct {
		target string
		told   string
		most   time.Duration
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
			if one.told != "" {
				headers = headerDeadline + ": " + one.told + "\r\n"
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
			// What is under way between two arrivals moves their ends apart by as much.
			require.True(t, ends[1].Before(ends[0].Add(rounding+arrivals[1].Sub(arrivals[0]))))
		})
	}
}

// TestAllAttemptsShareOneDeadline: all attempts of a request have one deadline, and each server gets what
// remains of it.
func TestAllAttemptsShareOneDeadline(t *testing.T) {
	x := &exchange{deadline: time.Now().Add(time.Minute)}
	before := x.remaining()
	require.LessOrEqual(t, before, time.Minute)
	require.LessOrEqual(t, x.remaining(), before)
}

// TestNoRequestReachesMoreServersThanItsRouteAllows: whatever servers respond, a client's request reaches no more of
// them than its route allows attempts, and none twice.
func TestNoRequestReachesMoreServersThanItsRouteAllows(t *testing.T) {
	tries := map[string]int{"/m/x": 3, "/i/x": 2, "/o/x": 1, "/s/x": 3, "/r/x": 3}
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
				answer = text(503, notExecutedHeader, "") // the bounds are reached
			}
			servers = append(servers, newFakeServer(t, fmt.Sprintf("i-%d", index), answer))
		}
		r := newTestProxy(t, servers...)
		for target, allowed := range tries {
			before := countArrivals(servers)
			c := r.dial()
			c.send("GET", target, "", "")
			// An answer that breaks off may end before its head.
			if response, err := readResponse(c.reader, http.MethodGet); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
			}
			eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
			reached := 0
			for index, count := range countArrivals(servers) {
				require.LessOrEqual(t, count-before[index], 1, "twice at one server")
				reached += count - before[index]
			}
			require.LessOrEqual(t, reached, allowed, target)
			most[target] = max(most[target], reached)
		}
	}
	require.Equal(t, tries, most)
}

func countArrivals(servers []*fakeServer) []int {
	var counts []int
	for _, server := range servers {
		counts = append(counts, len(server.requests()))
	}
	return counts
}

// TestNothingReachesAServerOnceTheClientLeft: at whatever step the client disconnects, no server gets its request
// from then on, and one that works on it sees its connection end.
func TestNothingReachesAServerOnceTheClientLeft(t *testing.T) {
	t.Run("waiting for a place", func(t *testing.T) {
		server := newFakeServer(t, "i-1", ok("ok"))
		r := newTestProxy(t, server)
		full := r.saturate()
		c := r.dial()
		// A client that was refused before waits for long.
		c.send("GET", "/m/x", headerDeadline+": 3000\r\n", "")
		eventually(t, func() bool { return full.picks.Load() > 0 }, "it looks for a place")
		require.NoError(t, c.conn.Close())
		eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
		full.free.Store(true)
		require.Empty(t, server.requests())
		require.EqualValues(t, 1, r.handler.counters.clientCancellations.Load())
	})
	t.Run("before the first byte is sent", func(t *testing.T) {
		server := newFakeServer(t, "i-1", ok("ok"))
		r := newTestProxy(t, server)
		response, _ := r.get("/m/x") // so that a connection is there
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
				<-left // then it declines: another server might be tried
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
