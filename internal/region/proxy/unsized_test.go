package proxy

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/placement"
)

const (
	unsizedHead   = answerHead + "\r\n"
	unsizedStream = answerHead + "Content-Type: text/event-stream\r\n\r\n"
)

// A close-delimited response whose server closes the connection properly is forwarded completely.
func TestAnswerWithoutALengthIsPassedOn(t *testing.T) {
	for _, size := range []int{0, 2, maxBufferedResponse, maxBufferedResponse + 1, 3 * maxBufferedResponse} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			whole := repeated("x", size)
			r := newTestProxy(t, newFakeServer(t, "i-1", raw(unsizedHead+whole)))
			response, body := r.get("/m/x")
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, "seal", response.Header.Get(headerServerSeal))
			require.False(t, response.Close, "the client's connection stays open")
			require.True(t, whole == body)
			require.Zero(t, r.handler.pool.Stats().IdleNow)
			require.Equal(t, []placement.Outcome{placement.Done}, r.placer.seenOutcomes())
			r.get("/m/x")
			require.Empty(t, r.placer.draining, "a close-delimited response doesn't show that the server is draining")
			eventually(t, func() bool { return r.handler.memory.used.Load() == 0 }, "the memory of bodies is released")
		})
	}
}

// A response without a length that is too large to be buffered is forwarded in chunks. If the server's connection is reset,
// the last chunk is missing, so that the client detects the early end.
func TestAnswerWithoutALengthThatIsResetIsNotWhole(t *testing.T) {
	large := repeated("x", 2*maxBufferedResponse)
	second := newFakeServer(t, "i-2", ok("ok"))
	r := newTestProxy(t, newFakeServer(t, "i-1", rawReset(unsizedHead+large)), second)
	c := r.dial()
	c.send("GET", "/m/x", "", "")
	status, whole := c.receiveComplete("GET")
	require.False(t, status == 200 && whole)
	require.Empty(t, second.requests(), "the request may run only once")

	c = r.dial()
	c.send("GET", "/i/x", "", "")
	status, whole = c.receiveComplete("GET")
	require.Equal(t, 200, status)
	require.Equal(t, whole, len(second.requests()) == 1, "only the other server's response is complete")
}

// If the server's connection is reset after the headers were sent to the client, the client's response must lack its last
// chunk.
func TestAnswerWithoutALengthThatIsResetMidwayEndsVisibly(t *testing.T) {
	for _, target := range []string{"/m/x", "/i/x"} {
		begun := make(chan struct{})
		first := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
			raw(unsizedHead+repeated("x", 2*maxBufferedResponse))(conn, request)
			<-begun
			return reset(conn, request)
		})
		second := newFakeServer(t, "i-2", ok("ok"))
		r := newTestProxy(t, first, second)
		c := r.dial()
		c.send("GET", target, "", "")
		response := c.receiveHead("GET")
		require.Equal(t, 200, response.StatusCode)
		close(begun)
		_, err := io.Copy(io.Discard, response.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Empty(t, second.requests(), "a response that has begun is not requested from another server")
		eventually(t, func() bool { return r.handler.counters.brokenResponses.Load() == 1 }, "the response counts as broken")
		require.Zero(t, r.handler.counters.clientCancellations.Load())
		require.Equal(t, []placement.Outcome{placement.Reset}, r.placer.seenOutcomes())
	}
}

// receiveComplete receives a response and reports whether it was complete.
func (c *client) receiveComplete(method string) (status int, whole bool) {
	c.t.Helper()
	response := c.receiveHead(method)
	_, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

func TestStreamWithoutALength(t *testing.T) {
	r := newTestProxy(t, newFakeServer(t, "i-1", raw(unsizedStream+eventTexts(1, 5))))
	for _, target := range []string{"/s/x", "/r/x"} {
		response, body := r.get(target)
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, eventTexts(1, 5), body)
	}
}

// A close-delimited stream that ends within an event is incomplete: it is resumed if that is allowed, and otherwise the
// client's response ends early.
func TestStreamWithoutALengthThatEndsInAnEvent(t *testing.T) {
	for _, torn := range []string{"i", "id: 4\n", "id: 4\ndata: piece 4\n"} {
		for name, ends := range map[string]func(string) reply{"closed": raw, "reset": rawReset} {
			t.Run(fmt.Sprintf("%q %s", torn, name), func(t *testing.T) {
				second := newFakeServer(t, "i-2", streamEvents("two", 6, ""))
				r := newTestProxy(t, newFakeServer(t, "i-1", ends(unsizedStream+eventTexts(1, 3)+torn)), second)
				c := r.dial()
				c.send("GET", "/r/x", "", "")
				_, body := c.receive("GET")
				require.Equal(t, eventTexts(1, 6), body)
				require.Equal(t, "3", second.requests()[0].header.Get(headerLastEventID))
				require.Equal(t, eventTexts(1, 3), streamUntilBroken(t, r, "/s/x"))
			})
		}
	}
}

// After an event without an id a stream can't be resumed, since the next server would repeat that event. A comment is not
// an event and doesn't prevent resumption.
func TestStreamIsNotResumedAfterAnEventWithoutAnID(t *testing.T) {
	begun := eventText(1) + "data: unnumbered\n\n"
	second := newFakeServer(t, "i-2", streamEvents("two", 6, ""))
	r := newTestProxy(t, newFakeServer(t, "i-1", rawReset(unsizedStream+begun)), second)
	require.Equal(t, begun, streamUntilBroken(t, r, "/r/x"))
	require.Empty(t, second.requests())

	comment := eventText(1) + ": nothing new\n\n"
	r = newTestProxy(t, newFakeServer(t, "i-1", rawReset(unsizedStream+comment)), second)
	_, body := r.get("/r/x")
	require.Equal(t, comment+eventTexts(2, 6), body)
}

// An HTTP/1.0 client gets no chunks, so that an incomplete response must end with a reset of its connection.
func TestCutAnswerIsResetForClientsWithoutChunks(t *testing.T) {
	r := newTestProxy(t, newFakeServer(t, "i-1", rawReset(unsizedStream+eventTexts(1, 3))))
	c := r.dial()
	c.write("GET /s/x HTTP/1.0\r\nHost: h.example\r\n" + headerAttemptID + ": id1\r\n\r\n")
	body, err := io.ReadAll(c.receiveHead("GET").Body)
	require.Error(t, err)
	require.Equal(t, eventTexts(1, 3), string(body))
	eventually(t, func() bool { return r.handler.counters.connections.Load() == 0 }, "the connection is no longer counted")

	r = newTestProxy(t, newFakeServer(t, "i-1", raw(unsizedStream+eventTexts(1, 3))))
	c = r.dial()
	c.write("GET /s/x HTTP/1.0\r\nHost: h.example\r\n" + headerAttemptID + ": id1\r\n\r\n")
	_, got := c.receive("GET")
	require.Equal(t, eventTexts(1, 3), got)
}
