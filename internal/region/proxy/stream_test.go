package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/placement"
)

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func eventTexts(first, last int) string {
	var all strings.Builder
	for id := first; id <= last; id++ {
		all.WriteString(eventText(id))
	}
	return all.String()
}

// streamHead writes the head of a chunked stream with the given seal.
func streamHead(conn io.Writer, request receivedByServer, sealOf string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttemptID, request.header.Get(headerAttemptID), headerServerSeal, sealOf)
}

func chunk(conn io.Writer, data string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data) }

func lastChunk(conn io.Writer) { _, _ = io.WriteString(conn, "0\r\n\r\n") }

// streamEvents sends a stream of the events after Last-Event-Id, or from the first one without it, up to the last one. If
// cut is not empty, it sends cut, which is an incomplete event, and closes the connection.
func streamEvents(name string, last int, cut string) reply {
	return func(conn *net.TCPConn, request receivedByServer) bool {
		after, _ := strconv.Atoi(request.header.Get(headerLastEventID))
		streamHead(conn, request, name)
		for id := after + 1; id <= last; id++ {
			chunk(conn, eventText(id))
		}
		if cut != "" {
			chunk(conn, cut)
			return false
		}
		lastChunk(conn)
		return true
	}
}

func TestStreamPassesEventsAtOnce(t *testing.T) {
	passed := make(chan struct{})
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		streamHead(conn, request, "seal")
		<-passed // the client has received the head
		for id := 1; id <= 5; id++ {
			chunk(conn, eventText(id))
			<-passed
		}
		lastChunk(conn)
		return true
	})
	r := newTestProxy(t, server)
	c := r.dial()
	c.send("GET", "/s/x", "", "")
	response := c.receiveHead("GET")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "seal", response.Header.Get(headerServerSeal))
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	passed <- struct{}{}
	for id := 1; id <= 5; id++ {
		got := make([]byte, len(eventText(id)))
		_, err := io.ReadFull(response.Body, got)
		require.NoError(t, err)
		require.Equal(t, eventText(id), string(got))
		passed <- struct{}{}
	}
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Empty(t, rest)
	c.send("GET", "/s/y", "", "")
	eventually(t, func() bool { return len(server.requests()) == 2 }, "both connections are reused")
	require.EqualValues(t, 1, r.handler.pool.Stats().Dialed)
	require.Equal(t, 1, r.placer.started)
	close(passed)
	_, body := c.receive("GET")
	require.Equal(t, eventTexts(1, 5), body)
}

func TestEventsInAwkwardPieces(t *testing.T) {
	large := "id: 3\ndata: " + repeated("x", 50_000) + "\n\n"
	whole := eventTexts(1, 2) + large + eventTexts(4, 9) + "data: the rest"
	for _, size := range []int{1, 7, 1000, 1 << 20} {
		server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
			streamHead(conn, request, "seal")
			buffered := bufio.NewWriter(conn)
			for rest := whole; rest != ""; {
				n := min(size, len(rest))
				chunk(buffered, rest[:n])
				rest = rest[n:]
			}
			lastChunk(buffered)
			return buffered.Flush() == nil
		})
		response, body := newTestProxy(t, server).get("/s/x")
		require.Equal(t, 200, response.StatusCode)
		require.True(t, body == whole, "pieces of %d bytes", size)
	}
}

func TestStreamWithLength(t *testing.T) {
	server := newFakeServer(t, "i-1", text(200, seal+"Content-Type: text/event-stream\r\n", eventTexts(1, 3)))
	response, body := newTestProxy(t, server).get("/s/x")
	require.EqualValues(t, len(eventTexts(1, 3)), response.ContentLength)
	require.Equal(t, eventTexts(1, 3), body)
}

func TestInterruptedStreamIsResumedByAnotherServer(t *testing.T) {
	torn := map[string]string{
		"in an event":      "id: 4\ndata: pie",
		"after a line":     "id: 4\ndata: piece 4\n",
		"before any event": "\r",
	}
	for name, cut := range torn {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeServer(t, "i-1", streamEvents("one", 3, cut)), newFakeServer(t, "i-2", streamEvents("two", 6, ""))
			r := newTestProxy(t, first, second)
			response, body := r.get("/r/x")
			require.Equal(t, "one", response.Header.Get(headerServerSeal))
			require.Equal(t, eventTexts(1, 6), body)
			require.Equal(t, "3", second.requests()[0].header.Get(headerLastEventID))
			require.Equal(t, []placement.Outcome{placement.Reset, placement.Done}, r.placer.seenOutcomes())
			require.EqualValues(t, 1, r.handler.counters.streamsResumed.Load())
			require.Equal(t, 2, r.placer.started)
			require.Equal(t, []bool{true}, r.placer.succeeded)
		})
	}
}

func TestStreamCutTwice(t *testing.T) {
	r := newTestProxy(t,
		newFakeServer(t, "i-1", streamEvents("one", 2, "id: 3\n")),
		newFakeServer(t, "i-2", streamEvents("two", 4, "id")),
		newFakeServer(t, "i-3", streamEvents("three", 6, "")))
	response, body := r.get("/r/x")
	require.Equal(t, "one", response.Header.Get(headerServerSeal))
	require.Equal(t, eventTexts(1, 6), body)
}

func TestStreamCutBeforeItsFirstEvent(t *testing.T) {
	first, second := newFakeServer(t, "i-1", streamEvents("one", 0, "id: 1\n")), newFakeServer(t, "i-2", streamEvents("two", 6, ""))
	r := newTestProxy(t, first, second)
	c := r.dial()
	c.send("GET", "/r/x", "Last-Event-Id: 2\r\n", "")
	_, body := c.receive("GET")
	require.Equal(t, eventTexts(3, 6), body)
	require.Equal(t, "2", second.requests()[0].header.Get(headerLastEventID), "the client's Last-Event-Id is forwarded")
}

// streamUntilBroken reads a response whose early end the client must detect, and returns the received body.
func streamUntilBroken(t *testing.T, r *testProxy, target string) string {
	t.Helper()
	c := r.dial()
	c.send("GET", target, "", "")
	response := c.receiveHead("GET")
	body, err := io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	return string(body)
}

func TestStreamThatCanNotBeResumedEndsVisibly(t *testing.T) {
	whole := streamEvents("two", 6, "")
	cases := map[string]struct {
		target        string
		first, second reply
		want          string
		arrivals      int // at the second server
	}{
		"not resumable":      {"/s/x", streamEvents("one", 3, "id: 4\n"), whole, eventTexts(1, 3), 0},
		"no ids":             {"/r/x", eventsWithoutIDs, whole, "data: a\n\n", 0},
		"rejected":           {"/r/x", streamEvents("one", 3, "id: 4\n"), text(503, notExecutedHeader, ""), eventTexts(1, 3), 1},
		"failed":             {"/r/x", streamEvents("one", 3, "id: 4\n"), text(500, seal, ""), eventTexts(1, 3), 1},
		"not a stream":       {"/r/x", streamEvents("one", 3, "id: 4\n"), ok("x"), eventTexts(1, 3), 1},
		"starts again":       {"/r/x", streamEvents("one", 3, "id: 4\n"), restartedStream, eventTexts(1, 3), 1},
		"resumed without id": {"/r/x", streamEvents("one", 3, "id: 4\n"), eventsWithoutIDs, eventTexts(1, 3), 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			second := newFakeServer(t, "i-2", test.second)
			r := newTestProxy(t, newFakeServer(t, "i-1", test.first), second)
			require.Equal(t, test.want, streamUntilBroken(t, r, test.target))
			require.Len(t, second.requests(), test.arrivals)
			require.EqualValues(t, 1, r.handler.counters.brokenResponses.Load())
		})
	}
}

func eventsWithoutIDs(conn *net.TCPConn, request receivedByServer) bool {
	streamHead(conn, request, "x")
	chunk(conn, "data: a\n\n")
	return false
}

func restartedStream(conn *net.TCPConn, request receivedByServer) bool {
	streamHead(conn, request, "x")
	chunk(conn, eventTexts(1, 9))
	lastChunk(conn)
	return true
}

func TestStreamEndsAtTheDeadline(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		streamHead(conn, request, "x")
		chunk(conn, eventText(1))
		return true
	})
	r := newTestProxy(t, server, newFakeServer(t, "i-2", streamEvents("two", 6, "")))
	c := r.dial()
	c.send("GET", "/r/x", headerDeadline+": 60\r\n", "")
	body, err := io.ReadAll(c.receiveHead("GET").Body)
	require.Error(t, err)
	require.Equal(t, eventText(1), string(body))
	<-server.closed
}

func TestClientThatLeavesAStream(t *testing.T) {
	for _, target := range []string{"/s/x", "/r/x"} {
		server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
			streamHead(conn, request, "x")
			chunk(conn, eventText(1))
			return true // nothing more is sent
		})
		second := newFakeServer(t, "i-2", streamEvents("two", 6, ""))
		r := newTestProxy(t, server, second)
		c := r.dial()
		c.send("GET", target, "", "")
		_, err := io.ReadFull(c.receiveHead("GET").Body, make([]byte, len(eventText(1))))
		require.NoError(t, err)
		require.NoError(t, c.conn.Close())
		<-server.closed
		eventually(t, func() bool { return r.handler.counters.active.Load() == 0 }, "the request ends")
		require.Equal(t, []placement.Outcome{placement.Canceled}, r.placer.seenOutcomes())
		require.Empty(t, second.requests())
	}
}

func TestFailureInPlaceOfAStream(t *testing.T) {
	r := newTestProxy(t, newFakeServer(t, "i-1", text(500, seal, "why")))
	response, body := r.get("/s/x")
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "why", body)

	r = newTestProxy(t, newFakeServer(t, "i-1", text(503, notExecutedHeader, "")), newFakeServer(t, "i-2", streamEvents("two", 2, "")))
	_, body = r.get("/s/x")
	require.Equal(t, eventTexts(1, 2), body)

	unsealed := raw("HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")
	r = newTestProxy(t, newFakeServer(t, "i-1", unsealed))
	response, _ = r.get("/s/x")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
}

func TestEventsAreBounded(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		streamHead(conn, request, "x")
		chunk(conn, eventText(1))
		chunk(conn, "data: "+repeated("x", maxEventBytes+1))
		return true
	})
	require.Equal(t, eventText(1), streamUntilBroken(t, newTestProxy(t, server), "/s/x"))
}
