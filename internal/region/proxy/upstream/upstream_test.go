package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

var defaultTimeouts = DialTimeouts{Dial: time.Second, Unacknowledged: 2 * time.Second}

const (
	testTimeout  = 5 * time.Second
	pollInterval = 2 * time.Millisecond
)

// scriptedServer starts a server that runs script on each accepted connection.
func scriptedServer(t *testing.T, script func(conn *net.TCPConn)) Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn.(*net.TCPConn))
			}()
		}
	}()
	return Server{ID: "i-1", Address: listener.Addr().String()}
}

// respond returns a script that responds to the n-th request with answers[n], and then closes the connection.
func respond(answers ...string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for _, answer := range answers {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// respondAndKeepOpen responds like respond, and then keeps the connection open until the client closes it.
func respondAndKeepOpen(answers ...string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		respond(answers...)(conn)
		_, _ = io.Copy(io.Discard, conn)
	}
}

const (
	head       = "GET /a HTTP/1.1\r\nHost: h\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\n"
	goodAnswer = "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok"
)

func connect(t *testing.T, pool *Pool, server Server) *Conn {
	t.Helper()
	conn, err := pool.Connect(context.Background(), server, defaultTimeouts, time.Now().Add(testTimeout))
	require.NoError(t, err)
	return conn
}

func exchange(t *testing.T, pool *Pool, server Server) (*Conn, Response, error) {
	t.Helper()
	conn := connect(t, pool, server)
	require.NoError(t, conn.Send([]byte(head), nil))
	response, err := conn.Receive(http.MethodGet, "id1")
	return conn, response, err
}

func readAll(t *testing.T, response Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func TestConnectionIsReused(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen(goodAnswer, goodAnswer))
	for range 2 {
		conn, response, err := exchange(t, pool, server)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
		pool.Release(conn)
	}
	stats := pool.Stats()
	require.EqualValues(t, 1, stats.Dialed)
	require.EqualValues(t, 1, stats.Reused)
	require.Equal(t, 1, stats.IdleNow)
	pool.Close()
	require.Zero(t, pool.Stats().IdleNow)
}

func TestIdleConnectionThatIsTooOldIsNotCountedAsReused(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen(goodAnswer))
	conn, response, err := exchange(t, pool, server)
	require.NoError(t, err)
	readAll(t, response)
	pool.Release(conn)
	require.Equal(t, 1, pool.Stats().IdleNow)
	conn.idleSince = conn.idleSince.Add(-time.Hour)
	again := connect(t, pool, server)
	require.False(t, again.Reused())
	require.Zero(t, pool.Stats().Reused)
	require.EqualValues(t, 2, pool.Stats().Dialed)
	pool.Discard(again)
}

func TestConnectionIsNotReused(t *testing.T) {
	cases := map[string]string{
		"Connection: close": "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"surplus bytes":     goodAnswer + goodAnswer,
		"idle timeout of 0": "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"HTTP/1.0 response": "HTTP/1.0 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			server := scriptedServer(t, respondAndKeepOpen(answer))
			conn, response, err := exchange(t, pool, server)
			require.NoError(t, err)
			require.Equal(t, "ok", readAll(t, response))
			pool.Release(conn)
			require.Zero(t, pool.Stats().IdleNow)
		})
	}
}

func TestIdleConnectionClosedByServerIsNotReused(t *testing.T) {
	scripts := map[string]func(*net.TCPConn){
		"closed": respond(goodAnswer),
		"reset": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			respond(goodAnswer)(conn)
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			server := scriptedServer(t, script)
			conn, response, err := exchange(t, pool, server)
			require.NoError(t, err)
			readAll(t, response)
			require.Eventually(t, func() bool { return conn.checkIdle() == idleUnusable }, testTimeout, pollInterval)
			pool.Release(conn)
			again := connect(t, pool, server)
			require.False(t, again.Reused())
			require.EqualValues(t, 1, pool.Stats().Stale)
			pool.Discard(again)
		})
	}
}

func TestLateSurplusAnswerIsSeenBeforeReuse(t *testing.T) {
	pool := NewPool(Config{})
	late := make(chan struct{})
	server := scriptedServer(t, func(conn *net.TCPConn) {
		respond(goodAnswer)(conn)
		<-late
		_, _ = io.WriteString(conn, goodAnswer)
		_, _ = io.Copy(io.Discard, conn)
	})
	conn, response, err := exchange(t, pool, server)
	require.NoError(t, err)
	readAll(t, response)
	pool.Release(conn)
	close(late)
	requireReadable(t, conn)
	again := connect(t, pool, server)
	require.NotSame(t, conn, again)
	pool.Discard(again)
}

// requireReadable waits until bytes can be read from a connection, without consuming them.
func requireReadable(t *testing.T, conn *Conn) {
	t.Helper()
	n, err := awaitReadable(conn)
	require.NoError(t, err)
	require.Positive(t, n)
}

func TestReceiveFailsAtTheDeadline(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen())
	conn, err := pool.Connect(context.Background(), server, defaultTimeouts, time.Now().Add(30*time.Millisecond))
	require.NoError(t, err)
	require.NoError(t, conn.Send([]byte(head), nil))
	_, err = conn.Receive(http.MethodGet, "id1")
	var responseError *ResponseError
	require.ErrorAs(t, err, &responseError)
	require.Equal(t, FaultDeadline, responseError.Fault)
}

func TestAbortEndsTheExchange(t *testing.T) {
	pool := NewPool(Config{})
	gone := make(chan struct{})
	server := scriptedServer(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(gone)
	})
	conn := connect(t, pool, server)
	require.NoError(t, conn.Send([]byte(head), nil))
	stop := make(chan struct{})
	go func() {
		conn.Abort()
		close(stop)
	}()
	_, err := conn.Receive(http.MethodGet, "id1")
	require.Error(t, err)
	<-stop
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Fatal("the server did not observe the end of the connection")
	}
}

func TestDialTimeout(t *testing.T) {
	require.Equal(t, time.Second, dialTimeout(time.Second, time.Minute))
	require.Equal(t, 200*time.Millisecond, dialTimeout(time.Second, 600*time.Millisecond))
	require.Equal(t, minDialTimeout, dialTimeout(time.Second, 0))
}

func TestUserTimeoutIsSetForEachUse(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen(goodAnswer))
	timeout := func(conn *Conn) (milliseconds int) {
		require.NoError(t, conn.raw.Control(func(descriptor uintptr) {
			var err error
			milliseconds, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			require.NoError(t, err)
		}))
		return milliseconds
	}
	first := connect(t, pool, server)
	require.Equal(t, 2000, timeout(first))
	pool.Release(first)
	require.EqualValues(t, idleUserTimeout/time.Millisecond, timeout(first))
	again, err := pool.Connect(context.Background(), server, DialTimeouts{Unacknowledged: 9 * time.Second}, time.Now().Add(testTimeout))
	require.NoError(t, err)
	require.Same(t, first, again)
	require.Equal(t, 9000, timeout(again))
}

func TestSendToClosedConnectionTellsWhatWasWritten(t *testing.T) {
	pool := NewPool(Config{})
	conn := connect(t, pool, scriptedServer(t, respondAndKeepOpen()))
	conn.Abort()
	err := conn.Send([]byte(head), []byte("body"))
	var sendError *SendError
	require.ErrorAs(t, err, &sendError)
	require.Zero(t, sendError.Written)
}

func TestIdleConnectionsAreBoundedAndAge(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen(goodAnswer))
	var conns []*Conn
	for range maxIdlePerServer + 3 {
		conns = append(conns, connect(t, pool, server))
	}
	for _, conn := range conns {
		pool.Release(conn)
	}
	require.Equal(t, maxIdlePerServer, pool.Stats().IdleNow)
	pool.Sweep(time.Now(), nil)
	require.Equal(t, maxIdlePerServer, pool.Stats().IdleNow)
	pool.Sweep(time.Now().Add(defaultIdleTimeout), nil)
	require.Zero(t, pool.Stats().IdleNow)
	pool.Sweep(time.Now(), func(Server) bool { return false })
	require.Zero(t, pool.Stats().ServersNow)
}

func TestStaleConnectionsShortenTheIdleTime(t *testing.T) {
	pool := NewPool(Config{})
	server := Server{ID: "i-1"}
	pool.servers[server] = &serverConns{idleTimeout: maxIdleTimeout}
	pool.recordStale(server, 2*time.Second)
	require.Equal(t, time.Second, pool.servers[server].idleTimeout)
	pool.recordStale(server, 0)
	require.Equal(t, minIdleTimeout, pool.servers[server].idleTimeout)
}

func TestKeepAliveTimeout(t *testing.T) {
	cases := map[string]struct {
		timeout time.Duration
		ok      bool
	}{
		"timeout=5":          {5 * time.Second, true},
		"max=9, Timeout = 3": {3 * time.Second, true},
		"timeout=\"7\"":      {7 * time.Second, true},
		"timeout=x":          {0, false},
		"max=9":              {0, false},
		"":                   {0, false},
	}
	for value, test := range cases {
		timeout, ok := keepAliveTimeout(value)
		require.Equal(t, test.ok, ok, value)
		require.Equal(t, test.timeout, timeout, value)
	}
	require.Zero(t, usableIdleTimeout(0))
	require.Equal(t, 4500*time.Millisecond, usableIdleTimeout(5*time.Second))
}
