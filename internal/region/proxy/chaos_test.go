package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// executionCounter counts the executions of requests as the fake servers saw them.
type executionCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *executionCounter) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *executionCounter) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// unreliable responds to each request in a randomly drawn way: with a success, with a rejection or with a fault. For
// faults, it is also drawn whether the request was run.
func (r *executionCounter) unreliable(seed uint64) reply {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	declined := []reply{text(503, notExecutedHeader, "full"), text(429, notExecutedHeader, ""), text(421, "", "")}
	var broken []reply
	for name, answer := range brokenReplies {
		if !strings.Contains(name, "other") {
			broken = append(broken, answer)
		}
	}
	return func(conn *net.TCPConn, request receivedByServer) bool {
		mu.Lock()
		way, which, ran := random.IntN(10), random.IntN(100), random.IntN(2) == 0
		mu.Unlock()
		id := request.header.Get(headerAttemptID)
		switch {
		case way < 3:
			return declined[which%len(declined)](conn, request)
		case way < 6:
			if ran {
				r.add(id)
			}
			return broken[which%len(broken)](conn, request)
		case way == 6:
			r.add(id)
			ok("of "+id)(conn, request)
			return which%2 == 0 // the connection may be closed without notice
		case way == 7:
			r.add(id)
			answer := ok("of " + id)
			answer(conn, request)
			return answer(conn, request) // a surplus response
		default:
			r.add(id)
			return ok("of "+id)(conn, request)
		}
	}
}

// Whatever servers do, a success is the server's own response to this request, a request that is not idempotent is run at
// most once, and a rejection means that the request was not run.
func TestRulesHoldWithUnreliableServers(t *testing.T) {
	ran := &executionCounter{count: make(map[string]int)}
	var servers []*fakeServer
	for n := range 4 {
		servers = append(servers, newFakeServer(t, fmt.Sprintf("i-%d", n), ran.unreliable(uint64(n))))
	}
	r := newTestProxy(t, servers...)
	const clients, each = 8, 60
	type result struct {
		id     string
		status int
		body   string
		seal   string
		err    error
	}
	results := make(chan result, clients*each)
	var done sync.WaitGroup
	for n := range clients {
		done.Go(func() {
			for i := range each {
				id := fmt.Sprintf("m-%d-%d", n, i)
				request, err := http.NewRequest(http.MethodPost, "http://"+r.address+"/m/x", strings.NewReader(id))
				if err != nil {
					results <- result{id: id, err: err}
					continue
				}
				request.Host = "h.example"
				request.Header.Set(headerAttemptID, id)
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					results <- result{id: id, err: err}
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				results <- result{id, response.StatusCode, string(body), response.Header.Get(headerServerSeal), err}
			}
		})
	}
	done.Wait()
	close(results)
	seen := map[int]int{}
	for got := range results {
		require.NoError(t, got.err, got.id)
		seen[got.status]++
		require.LessOrEqual(t, ran.of(got.id), 1, "%s ran more than once", got.id)
		switch got.status {
		case http.StatusOK:
			require.Equal(t, "of "+got.id, got.body)
			require.Equal(t, "seal", got.seal)
			require.Equal(t, 1, ran.of(got.id))
		case http.StatusServiceUnavailable:
			require.Zero(t, ran.of(got.id), "%s was rejected with 503 but ran", got.id)
		default:
			require.Equal(t, http.StatusBadGateway, got.status, got.id)
		}
	}
	for _, status := range []int{200, 502, 503} {
		require.NotZero(t, seen[status], "%v", seen)
	}
	eventually(t, func() bool { return r.handler.memory.used.Load() == 0 }, "the memory of bodies is released")
}
