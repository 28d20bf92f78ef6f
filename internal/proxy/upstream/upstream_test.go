package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

var usual = Patience{Dial: time.Second, Contact: 2 * time.Second}

const (
	patience = 5 * time.Second
	pause    = 2 * time.Millisecond
)

// scriptedServer runs a script on each connection that it accepts.
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
				defer conn.Close()
				script(conn.(*net.TCPConn))
			}()
		}
	}()
	return Server{ID: "i-1", Address: listener.Addr().String()}
}

// answering reads requests and answers the n-th one with answers[n]; then it closes.
func answering(answers ...string) func(*net.TCPConn) {
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

// holding answers like answering and then keeps the connection open.
func holding(answers ...string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		answering(answers...)(conn)
		_, _ = io.Copy(io.Discard, conn)
	}
}

const (
	head       = "GET /a HTTP/1.1\r\nHost: h\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\n"
	goodAnswer = "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok"
)

func connect(t *testing.T, pool *Pool, server Server) *Conn {
	t.Helper()
	conn, err := pool.Connect(context.Background(), server, usual, time.Now().Add(patience))
	require.NoError(t, err)
	return conn
}

func exchange(t *testing.T, pool *Pool, server Server) (*Conn, *http.Response, error) {
	t.Helper()
	conn := connect(t, pool, server)
	require.NoError(t, conn.Send([]byte(head), nil))
	response, err := conn.Receive(http.MethodGet, "id1")
	return conn, response, err
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func TestConnectionIsReused(t *testing.T) {
	pool := NewPool()
	server := scriptedServer(t, holding(goodAnswer, goodAnswer))
	for range 2 {
		conn, response, err := exchange(t, pool, server)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
		pool.Release(conn)
	}
	stats := pool.Stats()
	require.EqualValues(t, 1, stats.Dialled)
	require.EqualValues(t, 1, stats.Reused)
	require.Equal(t, 1, stats.IdleNow)
	pool.Close()
	require.Zero(t, pool.Stats().IdleNow)
}

func TestConnectionIsNotReused(t *testing.T) {
	cases := map[string]string{
		"told to close":     "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"surplus bytes":     goodAnswer + goodAnswer,
		"no idle time":      "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"answer of HTTP1.0": "HTTP/1.0 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool()
			server := scriptedServer(t, holding(answer))
			conn, response, err := exchange(t, pool, server)
			require.NoError(t, err)
			require.Equal(t, "ok", readAll(t, response))
			pool.Release(conn)
			require.Zero(t, pool.Stats().IdleNow)
		})
	}
}

func TestIdleConnectionThatSpokeOrClosedIsNotUsed(t *testing.T) {
	scripts := map[string]func(*net.TCPConn){
		"closed": answering(goodAnswer),
		"reset": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			answering(goodAnswer)(conn)
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			pool := NewPool()
			server := scriptedServer(t, script)
			conn, response, err := exchange(t, pool, server)
			require.NoError(t, err)
			readAll(t, response)
			require.Eventually(t, func() bool { return conn.look() == conditionSpent }, patience, pause)
			pool.Release(conn)
			again := connect(t, pool, server)
			require.False(t, again.Reused())
			require.EqualValues(t, 1, pool.Stats().Stale)
			pool.Discard(again)
		})
	}
}

func TestLateSurplusAnswerIsSeenBeforeReuse(t *testing.T) {
	pool := NewPool()
	late := make(chan struct{})
	server := scriptedServer(t, func(conn *net.TCPConn) {
		answering(goodAnswer)(conn)
		<-late
		_, _ = io.WriteString(conn, goodAnswer)
		_, _ = io.Copy(io.Discard, conn)
	})
	conn, response, err := exchange(t, pool, server)
	require.NoError(t, err)
	readAll(t, response)
	pool.Release(conn)
	close(late)
	waitReadable(t, conn)
	again := connect(t, pool, server)
	require.NotSame(t, conn, again)
	pool.Discard(again)
}

// waitReadable waits until bytes can be read from a connection, without taking them.
func waitReadable(t *testing.T, conn *Conn) {
	t.Helper()
	require.NoError(t, conn.socket.SetReadDeadline(time.Now().Add(patience)))
	var peeked [1]byte
	require.NoError(t, conn.raw.Read(func(descriptor uintptr) bool {
		n, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && n > 0
	}))
}

func TestBadAnswers(t *testing.T) {
	cases := map[string]struct {
		answer string
		fault  Fault
	}{
		"other id":       {"HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id2\r\nContent-Length: 0\r\n\r\n", FaultForeign},
		"no id":          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", FaultForeign},
		"two ids":        {"HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\nX-Fieldrelay-Attempt-Id: id2\r\nContent-Length: 0\r\n\r\n", FaultForeign},
		"garbage":        {"\x00\x01garbage\r\n\r\n", FaultGarbage},
		"nothing":        {"", FaultBroken},
		"half a head":    {"HTTP/1.1 200 OK\r\nX-Fieldrelay-Att", FaultGarbage},
		"other protocol": {"HTTP/1.1 101 Switching Protocols\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\n", FaultGarbage},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool()
			conn, _, err := exchange(t, pool, scriptedServer(t, answering(test.answer)))
			var answerError *AnswerError
			require.ErrorAs(t, err, &answerError)
			require.Equal(t, test.fault, answerError.Fault, "%v", err)
			pool.Release(conn)
			require.Zero(t, pool.Stats().IdleNow)
		})
	}
}

// An answer without a length is whole when the server closes, and not when the connection ends in another way.
func TestAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\nbody"
	cases := map[string]struct {
		script func(*net.TCPConn)
		whole  bool
		fault  Fault
	}{
		"closed": {script: answering(begun), whole: true},
		"half closed": {script: func(conn *net.TCPConn) {
			answering(begun)(conn)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, whole: true},
		"reset": {script: func(conn *net.TCPConn) {
			answering(begun)(conn)
			_ = conn.SetLinger(0)
		}, fault: FaultBroken},
		"silent": {script: holding(begun), fault: FaultTimeout},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool()
			conn, response, err := exchange(t, pool, scriptedServer(t, test.script))
			require.NoError(t, err)
			require.True(t, EndsWithConnection(response))
			if test.fault == FaultTimeout {
				conn.SetDeadline(time.Now().Add(30 * time.Millisecond))
			}
			body, err := io.ReadAll(response.Body)
			if test.whole {
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
			} else {
				var answerError *AnswerError
				require.ErrorAs(t, conn.BodyError(err), &answerError)
				require.Equal(t, test.fault, answerError.Fault)
			}
			pool.Release(conn)
			require.Zero(t, pool.Stats().IdleNow)
		})
	}
}

func TestAnswerWithoutABodyNeedsNoLength(t *testing.T) {
	pool := NewPool()
	conn := connect(t, pool, scriptedServer(t, holding("HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: id1\r\n\r\n")))
	require.NoError(t, conn.Send([]byte(head), nil))
	response, err := conn.Receive(http.MethodHead, "id1")
	require.NoError(t, err)
	require.False(t, EndsWithConnection(response))
	pool.Release(conn)
	require.Equal(t, 1, pool.Stats().IdleNow)
}

func TestEndlessHeadIsBounded(t *testing.T) {
	pool := NewPool()
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
	pool := NewPool()
	server := scriptedServer(t, holding("HTTP/1.1 103 Early Hints\r\n\r\n"+goodAnswer))
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
			conn, response, err := exchange(t, NewPool(), scriptedServer(t, answering(answer)))
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.Error(t, err)
			var answerError *AnswerError
			require.ErrorAs(t, conn.BodyError(err), &answerError)
			require.Equal(t, FaultBroken, answerError.Fault)
		})
	}
}

func TestSilenceEndsAtTheDeadline(t *testing.T) {
	pool := NewPool()
	server := scriptedServer(t, holding())
	conn, err := pool.Connect(context.Background(), server, usual, time.Now().Add(30*time.Millisecond))
	require.NoError(t, err)
	require.NoError(t, conn.Send([]byte(head), nil))
	_, err = conn.Receive(http.MethodGet, "id1")
	var answerError *AnswerError
	require.ErrorAs(t, err, &answerError)
	require.Equal(t, FaultTimeout, answerError.Fault)
}

func TestAbortEndsTheExchange(t *testing.T) {
	pool := NewPool()
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
	case <-time.After(patience):
		t.Fatal("the server did not see the end")
	}
}

func TestDialFailures(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dead := Server{ID: "i-1", Address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, err = NewPool().Connect(context.Background(), dead, usual, time.Now().Add(patience))
	var dialError *DialError
	require.ErrorAs(t, err, &dialError)
	require.False(t, dialError.Silent, "it refused")

	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = NewPool().Connect(gone, dead, usual, time.Now().Add(patience))
	require.ErrorAs(t, err, &dialError)
}

// fullListener returns the address of a socket that answers no more connection attempts: its queue is full.
func fullListener(t *testing.T) Server {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	require.NoError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return Server{ID: "i-1", Address: address}
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

func TestAMachineThatDoesNotAnswerADialIsSilent(t *testing.T) {
	silent := fullListener(t)
	patient := Patience{Dial: 60 * time.Millisecond}
	_, err := NewPool().Connect(context.Background(), silent, patient, time.Now().Add(patience))
	var dialError *DialError
	require.ErrorAs(t, err, &dialError)
	require.True(t, dialError.Silent)

	_, err = NewPool().Connect(context.Background(), silent, usual, time.Now().Add(minDial))
	require.ErrorAs(t, err, &dialError)
	require.False(t, dialError.Silent, "it was given too little time to tell")
}

// unanswered is a connection whose other end does not take in what was sent to it, so that the system finds it
// silent.
func unanswered(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	stays := make(chan struct{})
	t.Cleanup(func() { close(stays) })
	conn := connect(t, pool, scriptedServer(t, func(*net.TCPConn) { <-stays }))
	conn.setContact(100 * time.Millisecond)
	// On a machine that is short of processor time one slice may end before the other end's window is full.
	require.Eventually(t, func() bool {
		conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
		_ = conn.Send(make([]byte, 32<<20), nil)
		return unacknowledged(t, conn) > 0
	}, patience, pause)
	conn.SetDeadline(time.Now().Add(patience))
	return conn
}

// unacknowledged is the number of bytes that the other end's system has not taken in yet.
func unacknowledged(t *testing.T, conn *Conn) int {
	t.Helper()
	count := 0
	require.NoError(t, conn.raw.Control(func(descriptor uintptr) {
		var err error
		count, err = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		require.NoError(t, err)
	}))
	return count
}

func TestAMachineThatTakesNothingInIsSilent(t *testing.T) {
	conn := unanswered(t, NewPool())
	_, err := conn.Receive(http.MethodGet, "id1")
	var answerError *AnswerError
	require.ErrorAs(t, err, &answerError)
	require.Equal(t, FaultSilent, answerError.Fault)
}

func TestASweepTellsOfSilentMachines(t *testing.T) {
	pool := NewPool()
	conn := unanswered(t, pool)
	other := connect(t, pool, conn.server)
	conn.broken, conn.contact = false, contactIdle // as if its request had been answered
	pool.Release(conn)
	pool.Release(other)
	require.Equal(t, 2, pool.Stats().IdleNow)
	require.Eventually(t, func() bool {
		silent := pool.Sweep(time.Now(), nil)
		return len(silent) == 1 && silent[0] == conn.server
	}, patience, pause)
	require.Zero(t, pool.Stats().IdleNow, "the other connection leads there as well")
	require.Empty(t, pool.Sweep(time.Now(), nil))
}

func TestConnectionsToAForgottenServerAreClosed(t *testing.T) {
	pool := NewPool()
	server := scriptedServer(t, holding(goodAnswer))
	pool.Release(connect(t, pool, server))
	pool.Forget(Server{ID: "other"})
	require.Equal(t, 1, pool.Stats().IdleNow)
	pool.Forget(server)
	require.Zero(t, pool.Stats().IdleNow)
	require.False(t, connect(t, pool, server).Reused())
}

func TestDialTimeout(t *testing.T) {
	require.Equal(t, time.Second, dialTimeout(time.Second, time.Minute))
	require.Equal(t, 200*time.Millisecond, dialTimeout(time.Second, 600*time.Millisecond))
	require.Equal(t, minDial, dialTimeout(time.Second, 0))
}

func TestContactIsSetForEachUse(t *testing.T) {
	pool := NewPool()
	server := scriptedServer(t, holding(goodAnswer))
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
	require.EqualValues(t, contactIdle/time.Millisecond, timeout(first))
	again, err := pool.Connect(context.Background(), server, Patience{Contact: 9 * time.Second}, time.Now().Add(patience))
	require.NoError(t, err)
	require.Same(t, first, again)
	require.Equal(t, 9000, timeout(again))
}

func TestSendToClosedConnectionTellsWhatWasWritten(t *testing.T) {
	pool := NewPool()
	conn := connect(t, pool, scriptedServer(t, holding()))
	conn.Abort()
	err := conn.Send([]byte(head), []byte("body"))
	var sendError *SendError
	require.ErrorAs(t, err, &sendError)
	require.Zero(t, sendError.Written)
}

func TestIdleConnectionsAreBoundedAndAge(t *testing.T) {
	pool := NewPool()
	server := scriptedServer(t, holding(goodAnswer))
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
	pool.Sweep(time.Now().Add(defaultIdleTime), nil)
	require.Zero(t, pool.Stats().IdleNow)
	pool.Sweep(time.Now(), func(Server) bool { return false })
	require.Zero(t, pool.Stats().HostsNow)
}

func TestStaleConnectionsShortenTheIdleTime(t *testing.T) {
	pool := NewPool()
	server := Server{ID: "i-1"}
	pool.hosts[server] = &host{idleTime: maxIdleTime}
	pool.noteStale(server, 2*time.Second)
	require.Equal(t, time.Second, pool.hosts[server].idleTime)
	pool.noteStale(server, 0)
	require.Equal(t, minIdleTime, pool.hosts[server].idleTime)
}

func TestKeepAliveTimeout(t *testing.T) {
	cases := map[string]struct {
		told time.Duration
		ok   bool
	}{
		"timeout=5":          {5 * time.Second, true},
		"max=9, Timeout = 3": {3 * time.Second, true},
		"timeout=\"7\"":      {7 * time.Second, true},
		"timeout=x":          {0, false},
		"max=9":              {0, false},
		"":                   {0, false},
	}
	for value, test := range cases {
		told, ok := keepAliveTimeout(value)
		require.Equal(t, test.ok, ok, value)
		require.Equal(t, test.told, told, value)
	}
	require.Zero(t, usableIdleTime(0))
	require.Equal(t, 4500*time.Millisecond, usableIdleTime(5*time.Second))
}
