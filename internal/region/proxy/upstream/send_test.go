package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longBody is larger than what the kernels of both ends buffer while the server does not read.
const longBody = 32 << 20

func longRequest() (head, body []byte) {
	body = bytes.Repeat([]byte("0123456789abcdef"), longBody/16)
	head = fmt.Appendf(nil, "POST /a HTTP/1.1\r\nHost: h\r\n%s: id1\r\nContent-Length: %d\r\n\r\n", AttemptIDHeader, len(body))
	return head, body
}

// respondEarly returns a script that reads the head of a request, responds, and then calls then with a reader of the
// remaining bytes.
func respondEarly(answer string, then func(conn *net.TCPConn, rest *bufio.Reader)) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		then(conn, reader)
	}
}

// sendLong sends a long request to a server and receives the head of the response.
func sendLong(t *testing.T, pool *Pool, server Server) (*Conn, []byte, Response, error) {
	t.Helper()
	conn := connect(t, pool, server)
	head, body := longRequest()
	require.NoError(t, conn.Send(head, body))
	clear(head) // callers of Send reuse the head's buffer
	response, err := conn.Receive(http.MethodPost, "id1")
	return conn, body, response, err
}

// If a server responds before it has read a long body, it may receive the rest of that body or nothing, but never
// bytes of another request.
func TestEarlyAnswerEndsAConnectionWhoseRequestWasNotSentWhole(t *testing.T) {
	answered := make(chan struct{})
	got := make(chan []byte, 1)
	server := scriptedServer(t, respondEarly(goodAnswer, func(_ *net.TCPConn, rest *bufio.Reader) {
		<-answered
		all, _ := io.ReadAll(rest)
		got <- all
	}))
	pool := NewPool(Config{})
	conn, body, response, err := sendLong(t, pool, server)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
	pool.Release(conn)
	requireBodyUnused(t, conn)
	require.Zero(t, pool.Stats().IdleNow)
	close(answered)
	rest := <-got
	require.Less(t, len(rest), len(body))
	require.True(t, bytes.HasPrefix(body, rest))
}

// requireBodyUnused checks that a request's body is no longer read, so that its memory may be reused.
func requireBodyUnused(t *testing.T, conn *Conn) {
	t.Helper()
	select {
	case <-conn.pending.done:
	default:
		require.Fail(t, "the request body is still being sent")
	}
}

// Once the whole request has been sent, an early response does not prevent reuse of the connection.
func TestEarlyAnswerToARequestThatIsSentWholeInTheEnd(t *testing.T) {
	read := make(chan []byte, 1)
	server := scriptedServer(t, respondEarly(goodAnswer, func(conn *net.TCPConn, rest *bufio.Reader) {
		all := make([]byte, longBody)
		_, _ = io.ReadFull(rest, all)
		read <- all
		respond(goodAnswer)(conn)
		_, _ = io.Copy(io.Discard, conn)
	}))
	pool := NewPool(Config{})
	conn, body, response, err := sendLong(t, pool, server)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
	require.True(t, bytes.Equal(body, <-read))
	require.Eventually(t, func() bool { return conn.fullySent() && conn.acknowledged() }, testTimeout, pollInterval)
	pool.Release(conn)
	require.Equal(t, 1, pool.Stats().IdleNow)
	_, response, err = exchange(t, pool, server)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
	require.EqualValues(t, 1, pool.Stats().Dialed)
}

// The kernel may have accepted a whole request that the server has not read. The connection must not be reused,
// because the next request would wait behind that one.
func TestEarlyAnswerToARequestThatTheSystemStillHolds(t *testing.T) {
	answered := make(chan struct{})
	server := scriptedServer(t, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(64 << 10)
		respondEarly(goodAnswer, func(*net.TCPConn, *bufio.Reader) { <-answered })(conn)
	})
	pool := NewPool(Config{})
	conn := connect(t, pool, server)
	body := bytes.Repeat([]byte("x"), 512<<10)
	require.NoError(t, conn.Send(fmt.Appendf(nil, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)), body))
	response, err := conn.Receive(http.MethodPost, "id1")
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
	require.Positive(t, unacknowledged(t, conn))
	pool.Release(conn)
	require.Zero(t, pool.Stats().IdleNow)
	close(answered)
}

// A server that rejects a long request without reading it closes the connection with unread bytes, which resets it.
// The response must still be received.
func TestEarlyAnswerBeforeAResetIsSeen(t *testing.T) {
	server := scriptedServer(t, respondEarly(goodAnswer, func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.Close() }))
	pool := NewPool(Config{})
	conn, _, response, err := sendLong(t, pool, server)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
	pool.Release(conn)
	require.Zero(t, pool.Stats().IdleNow)
}

// A reset must not make a close-delimited response look complete, whether the reader or the writer observes the reset
// first.
func TestEarlyAnswerWithoutALengthThatIsReset(t *testing.T) {
	unsized := "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\nbody"
	server := scriptedServer(t, respondEarly(unsized, func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.SetLinger(0) }))
	for range 20 {
		pool := NewPool(Config{})
		conn, _, response, err := sendLong(t, pool, server)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		var responseError *ResponseError
		require.ErrorAs(t, conn.BodyError(err), &responseError)
		require.Equal(t, FaultBroken, responseError.Fault)
		pool.Discard(conn)
	}
}

// The kernel buffers request bytes for a server that does not read. These bytes must not reach the server after the
// request was aborted.
func TestAbortDropsUndeliveredRequestBytes(t *testing.T) {
	begun, aborted := make(chan struct{}), make(chan struct{})
	got := make(chan error, 1)
	server := scriptedServer(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(begun)
		<-aborted
		_, err := io.Copy(io.Discard, reader)
		got <- err
	})
	pool := NewPool(Config{})
	conn := connect(t, pool, server)
	head, body := longRequest()
	require.NoError(t, conn.Send(head, body))
	<-begun
	require.Eventually(t, func() bool { return unacknowledged(t, conn) > 0 }, testTimeout, pollInterval)
	pool.Discard(conn)
	requireBodyUnused(t, conn)
	close(aborted)
	require.ErrorContains(t, <-got, "reset")
	require.False(t, conn.fullySent())
}

// If the kernel accepted no byte of a request, the error must show that the server cannot have executed it.
func TestLongRequestOfWhichNothingWasSent(t *testing.T) {
	pool := NewPool(Config{})
	conn := connect(t, pool, scriptedServer(t, respondAndKeepOpen()))
	head, body := longRequest()
	conn.Abort()
	var sendError *SendError
	require.ErrorAs(t, conn.Send(head, body), &sendError)
	require.Zero(t, sendError.Written)
	pool.Discard(conn)

	conn = connect(t, pool, scriptedServer(t, respondAndKeepOpen()))
	conn.attachReader()
	conn.Abort()
	conn.writePending(head, body, 0)
	_, err := conn.Receive(http.MethodPost, "id1")
	require.ErrorAs(t, err, &sendError)
	require.Zero(t, sendError.Written)
	pool.Discard(conn)
}

func TestLongRequestThatIsNotReadEndsAtTheDeadline(t *testing.T) {
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	server := scriptedServer(t, func(*net.TCPConn) { <-testDone })
	pool := NewPool(Config{})
	conn := connect(t, pool, server)
	head, body := longRequest()
	require.NoError(t, conn.Send(head, body))
	conn.SetDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := conn.Receive(http.MethodPost, "id1")
	var responseError *ResponseError
	require.ErrorAs(t, err, &responseError)
	require.Equal(t, FaultDeadline, responseError.Fault)
	require.False(t, errors.As(err, new(*SendError)), "part of the request was sent")
	pool.Discard(conn)
}

// Every byte of a request is sent once and in order, wherever the kernel stops accepting bytes.
func TestRequestIsWrittenOnceWhereverItIsSplit(t *testing.T) {
	head, body := []byte("the head"), []byte("and the body")
	request := string(head) + string(body)
	for written := range len(request) {
		got := make(chan string, 1)
		pool := NewPool(Config{})
		conn := connect(t, pool, scriptedServer(t, func(conn *net.TCPConn) {
			all := make([]byte, len(request)-written)
			_, _ = io.ReadFull(conn, all)
			got <- string(all)
		}))
		conn.writePending(head, body, written)
		require.Equal(t, request[written:], <-got)
		<-conn.pending.done
		require.EqualValues(t, len(request), conn.pending.written)
		require.True(t, conn.fullySent())
		pool.Discard(conn)
	}
}
