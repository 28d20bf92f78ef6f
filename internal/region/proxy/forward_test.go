package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/placement"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	server := newFakeServer(t, "i-1", text(201, seal+"X-Answer: a\r\nSet-Cookie: x\r\nSet-Cookie: y\r\nKeep-Alive: timeout=9\r\n", "the answer"))
	r := newTestProxy(t, server)
	c := r.dial()
	target := "/m/%2e%2E/a//b;c=1?x=%zz&y=%20+&z"
	c.send("POST", target, "X-Own: 1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: h\r\nX-Fieldrelay-Deadline-Ms: 1000\r\n", "the body\x00\xff")
	response, body := c.receive("POST")
	require.Equal(t, 201, response.StatusCode)
	require.Equal(t, "the answer", body)
	require.Equal(t, http.Header{
		headerAttemptID: {"id1"}, headerServerSeal: {"seal"}, "X-Answer": {"a"}, "Set-Cookie": {"x", "y"},
		"Content-Length": {"10"},
	}, response.Header)

	got := server.requests()
	require.Len(t, got, 1)
	require.Equal(t, "POST", got[0].method)
	require.Equal(t, target, got[0].target)
	require.Equal(t, "h.example", got[0].host)
	require.Equal(t, "the body\x00\xff", got[0].body)
	left, err := strconv.Atoi(got[0].header.Get(headerDeadline))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1000)
	require.Greater(t, left, 0)
	got[0].header.Del(headerDeadline)
	require.Equal(t, http.Header{
		headerAttemptID: {"id1"}, headerExpectServer: {"i-1"}, "X-Own": {"1"}, "Priority": {"2"}, "Content-Length": {"10"},
	}, got[0].header)
	require.Equal(t, []bool{true}, r.placer.succeeded)
}

func TestBodiesInChunksAndConnectionsAreReused(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id1\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", headerAttemptID, seal)
		return err == nil
	})
	r := newTestProxy(t, server)
	c := r.dial()
	for range 3 {
		c.send("PUT", "/m/x", "Transfer-Encoding: chunked\r\n", "")
		c.write("4\r\nwiki\r\n5\r\npedia\r\n0\r\n\r\n")
		_, body := c.receive("PUT")
		require.Equal(t, "abc", body)
	}
	for _, request := range server.requests() {
		require.Equal(t, "wikipedia", request.body)
		require.Equal(t, "9", request.header.Get("Content-Length"))
	}
	require.EqualValues(t, 1, r.handler.pool.Stats().Dialed)
	eventually(t, func() bool { return r.handler.memory.used.Load() == 0 }, "the memory of bodies is released")
}

func TestExpectContinue(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := newTestProxy(t, server)
	c := r.dial()
	c.send("POST", "/m/x", "Expect: 100-continue\r\nContent-Length: 3\r\n", "")
	line, err := c.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = c.reader.ReadString('\n')
	require.NoError(t, err)
	c.write("abc")
	response, _ := c.receive("POST")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "abc", server.requests()[0].body)
	require.Empty(t, server.requests()[0].header.Get("Expect"))
}

func TestHeadAndAnswersWithoutBody(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		status := 200
		if request.method == "GET" {
			status = 204
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d OK\r\n%s: id1\r\n%s", status, headerAttemptID, seal)
		if status == 200 {
			_, err = io.WriteString(conn, "Content-Length: 500\r\n")
		}
		_, _ = io.WriteString(conn, "\r\n")
		return err == nil
	})
	r := newTestProxy(t, server)
	c := r.dial()
	c.send("HEAD", "/i/x", "", "")
	response, _ := c.receive("HEAD")
	require.Equal(t, "500", response.Header.Get("Content-Length"))
	c.send("GET", "/i/x", "", "")
	response, body := c.receive("GET")
	require.Equal(t, 204, response.StatusCode)
	require.Empty(t, body)
	require.EqualValues(t, 1, r.handler.pool.Stats().Dialed)
}

func TestOwnRejections(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := newTestProxy(t, server)
	ask := func(request string) (clientResponse, string) {
		c := r.dial()
		c.write(request)
		return c.receive("GET")
	}
	cases := map[string]struct {
		request string
		status  int
	}{
		"no id":      {lines("GET /m/x HTTP/1.1", "Host: h.example", ""), 400},
		"two ids":    {lines("GET /m/x HTTP/1.1", "Host: h.example", headerAttemptID+": a", headerAttemptID+": b", ""), 400},
		"no route":   {lines("GET /none/x HTTP/1.1", "Host: h.example", headerAttemptID+": a", ""), 404},
		"no host":    {lines("GET /m/x HTTP/1.1", "Host: other.example", headerAttemptID+": a", ""), 404},
		"asterisk":   {lines("OPTIONS * HTTP/1.1", "Host: h.example", headerAttemptID+": a", ""), 400},
		"large body": {lines("POST /m/x HTTP/1.1", "Host: h.example", headerAttemptID+": a", "Content-Length: 9999999", ""), 413},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			response, body := ask(test.request)
			require.Equal(t, test.status, response.StatusCode)
			require.Empty(t, body)
			require.Empty(t, response.Header.Get(headerServerSeal))
		})
	}
	require.Empty(t, server.requests())

	response, _ := ask(lines("GET http://h.example/m/y?z HTTP/1.1", "Host: h.example", headerAttemptID+": id1", ""))
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "/m/y?z", server.requests()[0].target)
}

func TestBeforeTheFirstConfiguration(t *testing.T) {
	r := newTestProxy(t)
	r.handler.snapshots.current.Store(newSnapshotStore().load())
	response, _ := r.get("/m/x")
	require.Equal(t, 503, response.StatusCode)
	require.Equal(t, "0.001", response.Header.Get("Retry-After"), "another proxy may serve it at once")
}

// A client whose time is over before any server could answer has no reason to come back.
func TestWhoCannotBeServedInTimeIsRefusedWithoutRetryAfter(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := newTestProxy(t, server)
	r.placer.refusal = &placement.TooLateError{TimeLeft: time.Second, WorkLeft: 2 * time.Second}
	response, _ := r.get("/m/x")
	require.Equal(t, 503, response.StatusCode)
	require.Empty(t, response.Header.Get("Retry-After"))
	require.Empty(t, server.requests())
	require.Empty(t, r.placer.succeeded, "a refusal says nothing about the servers")
	require.EqualValues(t, 1, r.handler.counters.notAdmitted.Load())
}

func TestLargeAnswers(t *testing.T) {
	large := repeated("0123456789abcdef", 100_000)
	r := newTestProxy(t, newFakeServer(t, "i-1", ok(large)))
	response, body := r.get("/m/x")
	require.EqualValues(t, len(large), response.ContentLength)
	require.True(t, body == large)

	cut := raw(answerHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)+1) + large)
	r = newTestProxy(t, newFakeServer(t, "i-1", cut))
	c := r.dial()
	c.send("GET", "/i/x", "", "")
	begun := c.receiveHead("GET")
	_, err := io.Copy(io.Discard, begun.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)

	r = newTestProxy(t, newFakeServer(t, "i-1", ok(large)))
	r.handler.memory.limit = 0
	_, body = r.get("/m/x")
	require.True(t, body == large, "a response that can't be buffered is forwarded while it is received")
}

func TestNoMemoryForBodies(t *testing.T) {
	r := newTestProxy(t, newFakeServer(t, "i-1", ok("ok")))
	r.handler.memory.limit = 10
	c := r.dial()
	c.send("POST", "/m/x", "", repeated("x", 1000))
	response, _ := c.receive("POST")
	require.Equal(t, 503, response.StatusCode)
	require.True(t, response.Close)
}

func TestClientThatLeavesEndsTheServersWork(t *testing.T) {
	server := newFakeServer(t, "i-1", noResponse)
	r := newTestProxy(t, server)
	c := r.dial()
	c.send("GET", "/m/x", "", "")
	eventually(t, func() bool { return len(server.requests()) == 1 }, "the request arrives")
	require.NoError(t, c.conn.Close())
	<-server.closed
	eventually(t, func() bool { return len(r.placer.seenOutcomes()) == 1 }, "the attempt ends")
	require.Equal(t, placement.Canceled, r.placer.seenOutcomes()[0])
}

func TestServerThatClosesTwiceInARowIsDraining(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		text(200, seal+"Connection: close\r\n", "ok")(conn, request)
		return false
	})
	r := newTestProxy(t, server)
	for range 2 {
		response, _ := r.get("/m/x")
		require.Equal(t, 200, response.StatusCode)
		require.False(t, response.Close, "the client's connection is not closed")
	}
	require.Equal(t, []string{"i-1"}, r.placer.draining)
}

func TestDrainingAnswers(t *testing.T) {
	r := newTestProxy(t, newFakeServer(t, "i-1", ok("ok")))
	r.handler.lifecycle.enter(phaseDraining)
	response, body := r.get("/m/x")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "ok", body)
	require.True(t, response.Close)
	r.handler.lifecycle.enter(phaseRejecting)
	response, _ = r.get("/m/x")
	require.Equal(t, 503, response.StatusCode)
	require.True(t, response.Close)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestManyRequestsAtOnce(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		return ok(request.body)(conn, request)
	})
	r := newTestProxy(t, server)
	const clients, each = 8, 40
	failures := make(chan error, clients)
	for n := range clients {
		c := r.dial()
		go func() {
			for i := range each {
				body := strings.Repeat(strconv.Itoa(n), i+1)
				if _, err := fmt.Fprintf(c.conn, "POST /m/x HTTP/1.1\r\nHost: h.example\r\n%s: %d-%d\r\nContent-Length: %d\r\n\r\n%s",
					headerAttemptID, n, i, len(body), body); err != nil {
					failures <- err
					return
				}
				response, err := readResponse(c.reader, http.MethodPost)
				if err != nil {
					failures <- err
					return
				}
				got, err := io.ReadAll(response.Body)
				if err != nil || string(got) != body || response.Header.Get(headerAttemptID) != fmt.Sprintf("%d-%d", n, i) {
					failures <- errors.New("response to another request")
					return
				}
			}
			failures <- nil
		}()
	}
	for range clients {
		require.NoError(t, <-failures)
	}
	eventually(t, func() bool { return r.handler.memory.used.Load() == 0 }, "the memory of bodies is released")
}
