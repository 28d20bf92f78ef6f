package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// Without a configuration the proxy can't tell whether a request is valid. It must respond with 503, never with 4xx.
func TestAProxyWithoutAConfigurationDeniesNothing(t *testing.T) {
	states := map[string]*pb.ApplyRequest{
		"empty":                   {},
		"only a server list":      {List: &pb.ServerList{Version: &pb.ListVersion{Epoch: 1}}, Confirmed: true},
		"only an evacuation":      {Changes: []*pb.Change{{Sequence: 1, Upserts: []*pb.Item{{Kind: catalog.KindEvacuation, Name: "z1"}}}}},
		"a change after a gap":    {Changes: []*pb.Change{{Sequence: 2, Generation: 8}}, Confirmed: true},
		"a repair of some ranges": {Repair: &pb.Repair{Sequence: 1, Generation: 7, Ranges: []*pb.Range{{Index: 1}}}, Confirmed: true},
	}
	const shortDeadline = headerDeadline + ": 40\r\n"
	requests := map[string]func(c *client){
		"plain":      func(c *client) { c.send("GET", "/m/x", shortDeadline, "") },
		"body":       func(c *client) { c.send("POST", "/m/x", shortDeadline, "body") },
		"large head": func(c *client) { c.send("GET", "/m/x", shortDeadline+"X-Long: "+repeated("x", 30_000)+"\r\n", "") },
		"large body": func(c *client) {
			c.send("POST", "/m/x", shortDeadline+fmt.Sprintf("Content-Length: %d\r\n", defaultMaxBody+1), "")
		},
	}
	for name, state := range states {
		t.Run(name, func(t *testing.T) {
			r := startProcess(t, 1)
			r.apply(state)
			for kind, send := range requests {
				c := r.dial()
				send(c)
				response, _ := c.receive("POST")
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, kind)
				require.NotEmpty(t, response.Header.Get("Retry-After"), kind)
				require.Equal(t, kind == "large body", response.Close, kind)
			}
			require.Zero(t, r.process.memory.used.Load())
		})
	}
}

// During a shutdown a request is accepted only if it can be finished before requests are canceled. The others are refused at
// once, with time left for another proxy.
func TestRequestOfADrainIsAcceptedOnlyIfItCanBeFinished(t *testing.T) {
	const route = 4 * time.Second // the deadline of /m/
	now := time.Now()
	unaware, aware := now.Add(time.Hour), now
	cases := map[string]struct {
		times    drainTimes
		measured time.Duration // of the route; 0: not measured
		headers  string
		accepted bool
	}{
		"measured, ends before the abort":            {drainTimes{unaware, now.Add(route / 2)}, time.Second, "", true},
		"measured, ends after the abort":             {drainTimes{unaware, now.Add(route / 2)}, 3 * time.Second, "", false},
		"not measured, deadline after the abort":     {drainTimes{unaware, now.Add(route / 2)}, 0, "", false},
		"early, deadline before the abort":           {drainTimes{unaware, now.Add(time.Hour)}, 0, "", true},
		"late, though it is expected to end in time": {drainTimes{aware, now.Add(route / 2)}, time.Second, "", false},
		"late, with a short deadline":                {drainTimes{aware, now.Add(route / 2)}, 0, headerDeadline + ": 1000\r\n", true},
		"late, with a longer deadline":               {drainTimes{aware, now.Add(route / 2)}, 0, headerDeadline + ": 9000\r\n", false},
		"late, deadline long before the abort":       {drainTimes{aware, now.Add(time.Hour)}, 0, "", true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "i-1", ok("ok"))
			r := newTestProxy(t, server)
			if one.measured > 0 {
				found, known := r.handler.snapshots.load().table.Lookup("h.example", "/m/x")
				require.True(t, known)
				r.handler.durations.observe(found.Name, one.measured)
			}
			r.handler.lifecycle.drain(one.times)
			c := r.dial()
			c.send("POST", "/m/x", one.headers, "body")
			response, body := c.receive("POST")
			require.True(t, response.Close)
			if one.accepted {
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, "ok", body)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Empty(t, server.requests(), "the request has not run and never will")
			eventually(t, func() bool { return r.handler.memory.used.Load() == 0 }, "the memory of the body is released")
		})
	}
}

// Requests that are accepted although their deadline comes after the abort must have been sent within the first 3 s of the
// shutdown, since docs/region/rules.md permits aborting only these. This must hold for any grace period.
func TestRequestsThatMayBeAbortedAreSentEarly(t *testing.T) {
	const forgiven = 3 * time.Second
	for grace := 100 * time.Millisecond; grace < 2*time.Minute; grace += 100 * time.Millisecond {
		plan := planDrain(grace)
		require.Less(t, plan.unaware, forgiven)
		require.LessOrEqual(t, plan.unaware, plan.reject)
		require.LessOrEqual(t, plan.reject, plan.abort)
		require.Less(t, plan.abort, grace)
		times := plan.start(time.Time{})
		abort, never := time.Time{}.Add(plan.abort), time.Time{}.Add(time.Hour)
		require.False(t, times.accepts(time.Time{}, abort, never), "a request that is not expected to end before the abort")
	}
}

// A route's duration is that of the longest recent requests, and falls slowly when they have become shorter.
func TestRouteDurations(t *testing.T) {
	durations := newRouteDurations()
	now := time.Now()
	deadline := now.Add(10 * time.Second)
	require.Equal(t, deadline, durations.expectedEnd("r", now, deadline), "nothing is known")
	durations.observe("r", 6*time.Second)
	for range 100 {
		durations.observe("r", time.Second)
	}
	require.Greater(t, durations.expectedEnd("r", now, deadline).Sub(now), 4*time.Second)
	for range 2000 {
		durations.observe("r", time.Second)
	}
	require.Less(t, durations.expectedEnd("r", now, deadline).Sub(now), 1100*time.Millisecond)
	durations.observe("r", time.Minute)
	require.Equal(t, deadline, durations.expectedEnd("r", now, deadline))
}

// The protocol's own headers are forwarded even if a Connection header names them.
func TestProtocolHeadersAreForwarded(t *testing.T) {
	server := newFakeServer(t, "i-1", text(200, seal+"Connection: "+headerServerSeal+"\r\nVersions: 4\r\n", "ok"))
	r := newTestProxy(t, server)
	described := http.Header{
		headerModel:        {"m, with \"all\" of it; q=1"},
		headerTokenCount:   {"1460,80"},
		headerPromptPrefix: {"5c1e07a2:800,91bd3f06:410"},
		"Expect-Version":   {"3"},
	}
	var headers strings.Builder
	for name, values := range described {
		fmt.Fprintf(&headers, "%s: %s\r\n", name, values[0])
	}
	headers.WriteString("Connection: keep-alive, " + headerModel + ", x-fieldrelay-token-count\r\n")
	headers.WriteString("Connection: " + headerPromptPrefix + "\r\n")
	c := r.dial()
	c.send("GET", "/m/x", headers.String(), "")
	response, _ := c.receive("GET")
	require.Equal(t, "seal", response.Header.Get(headerServerSeal))
	require.Equal(t, "4", response.Header.Get("Versions"))
	for name, values := range described {
		require.Equal(t, values, server.requests()[0].header[name], name)
	}
}

// If a server's response can't be forwarded, the proxy's own response contains nothing of it.
func TestOwnResponsesHaveNoSeal(t *testing.T) {
	sealed := map[string]reply{
		"not executed": text(503, notExecutedHeader+seal+"X-Server: 1\r\n", "full"),
		"misdirected":  text(421, seal+"X-Server: 1\r\n", ""),
		"truncated":    raw(answerHead + "X-Server: 1\r\nContent-Length: 9\r\n\r\nno"),
		"429":          text(429, seal+"X-Server: 1\r\n", ""),
	}
	for name, answer := range sealed {
		t.Run(name, func(t *testing.T) {
			r := newTestProxy(t, newFakeServer(t, "i-1", answer))
			for _, target := range []string{"/m/x", "/i/x", "/s/x", "/r/x"} {
				response, _ := r.get(target)
				require.Contains(t, []int{502, 503}, response.StatusCode)
				require.Empty(t, response.Header.Get(headerServerSeal), target)
				require.Empty(t, response.Header.Get("X-Server"), target)
			}
		})
	}
}
