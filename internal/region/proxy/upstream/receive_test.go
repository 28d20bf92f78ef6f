package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBadAnswers(t *testing.T) {
	cases := map[string]struct {
		answer string
		fault  Fault
	}{
		"other id":       {"HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id2\r\nContent-Length: 0\r\n\r\n", FaultMismatched},
		"no id":          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", FaultMismatched},
		"two ids":        {"HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nX-Fieldrelay-Attempt-Id: id2\r\nContent-Length: 0\r\n\r\n", FaultMismatched},
		"garbage":        {"\x00\x01garbage\r\n\r\n", FaultMalformed},
		"nothing":        {"", FaultBroken},
		"half a head":    {"HTTP/1.1 200 OK\r\nX-Fieldrelay-Att", FaultMalformed},
		"other protocol": {"HTTP/1.1 101 Switching Protocols\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\n", FaultMalformed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			conn, _, err := exchange(t, pool, scriptedServer(t, respond(test.answer)))
			var responseError *ResponseError
			require.ErrorAs(t, err, &responseError)
			require.Equal(t, test.fault, responseError.Fault, "%v", err)
			pool.Release(conn)
			require.Zero(t, pool.Stats().IdleNow)
		})
	}
}

// A close-delimited response is complete only if the server closes the connection in an orderly way.
func TestAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	const partialResponse = "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\nbody"
	cases := map[string]struct {
		script   func(*net.TCPConn)
		complete bool
		fault    Fault
	}{
		"closed": {script: respond(partialResponse), complete: true},
		"half closed": {script: func(conn *net.TCPConn) {
			respond(partialResponse)(conn)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, complete: true},
		"reset": {script: func(conn *net.TCPConn) {
			respond(partialResponse)(conn)
			_ = conn.SetLinger(0)
		}, fault: FaultBroken},
		"silent": {script: respondAndKeepOpen(partialResponse), fault: FaultDeadline},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			conn, response, err := exchange(t, pool, scriptedServer(t, test.script))
			require.NoError(t, err)
			require.True(t, response.IsCloseDelimited())
			if test.fault == FaultDeadline {
				conn.SetDeadline(time.Now().Add(30 * time.Millisecond))
			}
			body, err := io.ReadAll(response.Body)
			if test.complete {
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
			} else {
				var responseError *ResponseError
				require.ErrorAs(t, conn.BodyError(err), &responseError)
				require.Equal(t, test.fault, responseError.Fault)
			}
			pool.Release(conn)
			require.Zero(t, pool.Stats().IdleNow)
		})
	}
}

func TestAnswerWithoutABodyNeedsNoLength(t *testing.T) {
	pool := NewPool(Config{})
	conn := connect(t, pool, scriptedServer(t, respondAndKeepOpen("HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\n")))
	require.NoError(t, conn.Send([]byte(head), nil))
	response, err := conn.Receive(http.MethodHead, "id1")
	require.NoError(t, err)
	require.False(t, response.IsCloseDelimited())
	pool.Release(conn)
	require.Equal(t, 1, pool.Stats().IdleNow)
}

func TestEndlessHeadIsBounded(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, func(conn *net.TCPConn) {
		line := []byte("X-Filler: ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff\r\n")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := conn.Write(line); err != nil {
				return
			}
		}
	})
	conn, _, err := exchange(t, pool, server)
	require.ErrorIs(t, err, errHeadTooLarge)
	pool.Discard(conn)
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen("HTTP/1.1 103 Early Hints\r\n\r\n"+goodAnswer))
	_, response, err := exchange(t, pool, server)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestCutBodyIsAnError(t *testing.T) {
	answers := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 9\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			conn, response, err := exchange(t, NewPool(Config{}), scriptedServer(t, respond(answer)))
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.Error(t, err)
			var responseError *ResponseError
			require.ErrorAs(t, conn.BodyError(err), &responseError)
			require.Equal(t, FaultBroken, responseError.Fault)
		})
	}
}
