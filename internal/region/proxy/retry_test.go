package proxy

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/placement"
)

const answerHead = "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: ID\r\n" + seal

// brokenReplies are the ways in which a server may fail after it has received a request.
var brokenReplies = map[string]reply{
	"reset":            reset,
	"closed":           raw(""),
	"garbage":          raw("\x01\x02garbage\r\n\r\n"),
	"half a head":      raw("HTTP/1.1 200 OK\r\nX-Field"),
	"other's answer":   raw("HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: other\r\n" + seal + "Content-Length: 2\r\n\r\nno"),
	"no id":            raw("HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 2\r\n\r\nno"),
	"no seal":          raw("HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nno"),
	"truncated body":   raw(answerHead + "Content-Length: 9\r\n\r\nno"),
	"truncated chunks": raw(answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"),
	"bad chunks":       raw(answerHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nno\r\n"),
	"unsized, reset":   rawReset(answerHead + "\r\nno"),
	"503, unexplained": raw("HTTP/1.1 503 X\r\nX-Fieldrelay-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"),
	"429, unexplained": raw("HTTP/1.1 429 X\r\nX-Fieldrelay-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"),
}

func TestBrokenAnswersOfMutatingRequestsEndIn502(t *testing.T) {
	for name, broken := range brokenReplies {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeServer(t, "i-1", broken), newFakeServer(t, "i-2", ok("ok"))
			r := newTestProxy(t, first, second)
			response, body := r.get("/m/x")
			require.Equal(t, 502, response.StatusCode)
			require.Empty(t, body)
			require.Empty(t, response.Header.Get("Retry-After"))
			require.Len(t, first.requests(), 1)
			require.Empty(t, second.requests())
			require.Equal(t, []bool{false}, r.placer.succeeded)
			require.Zero(t, r.handler.pool.Stats().IdleNow)
		})
	}
}

func TestBrokenAnswersOfIdempotentRequestsGoToAnotherServer(t *testing.T) {
	for name, broken := range brokenReplies {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeServer(t, "i-1", broken), newFakeServer(t, "i-2", ok("ok"))
			r := newTestProxy(t, first, second)
			response, body := r.get("/i/x")
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "ok", body)
			require.Len(t, first.requests(), 1)
			require.Len(t, second.requests(), 1)
			require.EqualValues(t, 1, r.handler.counters.retries.Load())
		})
	}
}

func TestRejectedRequestsGoToAnotherServer(t *testing.T) {
	rejections := map[string]reply{
		"full":        text(503, notExecutedHeader, ""),
		"busy":        text(429, notExecutedHeader+"Retry-After: 2\r\n", "busy"),
		"misdirected": text(421, "", ""),
		"bad":         text(400, notExecutedHeader, ""),
	}
	for name, rejected := range rejections {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeServer(t, "i-1", rejected), newFakeServer(t, "i-2", ok("ok"))
			r := newTestProxy(t, first, second)
			response, body := r.get("/m/x")
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "ok", body)
			require.Len(t, second.requests(), 1)
		})
	}
}

func TestRejectionsOfAllServersEndIn503(t *testing.T) {
	servers := []*fakeServer{}
	for i := range 5 {
		servers = append(servers, newFakeServer(t, fmt.Sprintf("i-%d", i), text(503, notExecutedHeader, "full")))
	}
	r := newTestProxy(t, servers...)
	response, body := r.get("/m/x")
	require.Equal(t, 503, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, body)
	arrivals := 0
	for _, server := range servers {
		arrivals += len(server.requests())
	}
	require.Equal(t, 3, arrivals, "the route allows three attempts")
}

func TestRejectionAfterAFailureEndsIn502(t *testing.T) {
	first, second := newFakeServer(t, "i-1", reset), newFakeServer(t, "i-2", text(503, notExecutedHeader, ""))
	r := newTestProxy(t, first, second)
	response, _ := r.get("/i/x")
	require.Equal(t, 502, response.StatusCode)
}

func TestMisdirectedConnectionIsNotKept(t *testing.T) {
	r := newTestProxy(t, newFakeServer(t, "i-1", text(421, "", "")))
	response, _ := r.get("/m/x")
	require.Equal(t, 503, response.StatusCode)
	require.Zero(t, r.handler.pool.Stats().IdleNow)
	require.Equal(t, []placement.Outcome{placement.Misdirected}, r.placer.seenOutcomes())
}

func TestServersFailuresArePassedOn(t *testing.T) {
	for _, status := range []int{500, 504, 404, 302} {
		r := newTestProxy(t, newFakeServer(t, "i-1", text(status, seal, "why")), newFakeServer(t, "i-2", ok("ok")))
		response, body := r.get("/m/x")
		require.Equal(t, status, response.StatusCode)
		require.Equal(t, "why", body)
	}
	r := newTestProxy(t, newFakeServer(t, "i-1", text(500, "", "why")), newFakeServer(t, "i-2", ok("ok")))
	response, body := r.get("/o/x")
	require.Equal(t, 500, response.StatusCode, "the route allows one attempt")
	require.Equal(t, "why", body)
	response, body = r.get("/i/x")
	require.Equal(t, 200, response.StatusCode, "retried at another server")
	require.Equal(t, "ok", body)
}

func TestUnreachableServerCostsNoRetry(t *testing.T) {
	dead, live := newFakeServer(t, "i-1", ok("no")), newFakeServer(t, "i-2", ok("ok"))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	dead.server.Address = listener.Addr().String()
	r := newTestProxy(t, dead, live)
	response, body := r.get("/m/x")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "ok", body)
	require.Zero(t, r.handler.counters.retries.Load())
	require.Equal(t, []placement.Outcome{placement.Reset, placement.Done}, r.placer.seenOutcomes())

	r = newTestProxy(t, dead)
	response, _ = r.get("/m/x")
	require.Equal(t, 503, response.StatusCode, "the request was never sent")
	require.Equal(t, "0.070", response.Header.Get("Retry-After"))
}

func TestLastCheckBeforeTheFirstByte(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := newTestProxy(t, server)
	r.placer.forbidden = 2
	response, _ := r.get("/m/x")
	require.Equal(t, 200, response.StatusCode)
	require.Len(t, server.requests(), 1)
	require.Equal(t, []placement.Outcome{placement.NotSent, placement.NotSent, placement.Done}, r.placer.seenOutcomes())
	require.EqualValues(t, 1, r.handler.pool.Stats().Dialed, "the idle connection is reused after the next pick")

	r.placer.forbidden = 1000
	response, _ = r.get("/m/x")
	require.Equal(t, 503, response.StatusCode)
	require.Len(t, server.requests(), 1)
}

func TestDeadline(t *testing.T) {
	server := newFakeServer(t, "i-1", noResponse)
	r := newTestProxy(t, server, newFakeServer(t, "i-2", ok("ok")))
	response, _ := r.get("/t/x")
	require.Equal(t, 504, response.StatusCode)
	require.Equal(t, []placement.Outcome{placement.TimedOut}, r.placer.seenOutcomes())
	<-server.closed

	c := r.dial()
	c.send("GET", "/m/x", headerDeadline+": 40\r\n", "")
	response, _ = c.receive("GET")
	require.Equal(t, 504, response.StatusCode)
}

func TestNoRetryWithoutBudget(t *testing.T) {
	first, second := newFakeServer(t, "i-1", reset), newFakeServer(t, "i-2", ok("ok"))
	r := newTestProxy(t, first, second)
	r.handler.dispatcher.budget.SetQuotaMembers(nil)
	response, _ := r.get("/i/x")
	require.Equal(t, 502, response.StatusCode)
	require.Empty(t, second.requests())
	require.EqualValues(t, 1, r.handler.counters.retryBudgetExhausted.Load())
}

func TestSurplusAnswerNeverReachesAClient(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		answer := "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: " + request.header.Get(headerAttemptID) + "\r\n" + seal + "Content-Length: 2\r\n\r\nok"
		_, err := io.WriteString(conn, answer+answer)
		return err == nil
	})
	r := newTestProxy(t, server)
	for range 5 {
		response, body := r.get("/m/x")
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, "ok", body)
	}
}
