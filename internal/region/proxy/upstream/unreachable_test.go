package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDialFailures(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	refusing := Server{ID: "i-1", Address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, err = NewPool(Config{}).Connect(context.Background(), refusing, defaultTimeouts, time.Now().Add(testTimeout))
	var dialError *DialError
	require.ErrorAs(t, err, &dialError)
	require.False(t, dialError.TimedOut, "the machine refused the connection")

	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = NewPool(Config{}).Connect(canceled, refusing, defaultTimeouts, time.Now().Add(testTimeout))
	require.ErrorAs(t, err, &dialError)
}

// fullListener returns the address of a socket whose backlog is full, so that it accepts no further connections.
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

func TestDialToUnresponsiveMachineTimesOut(t *testing.T) {
	unresponsive := fullListener(t)
	shortTimeouts := DialTimeouts{Dial: 60 * time.Millisecond}
	_, err := NewPool(Config{}).Connect(context.Background(), unresponsive, shortTimeouts, time.Now().Add(testTimeout))
	var dialError *DialError
	require.ErrorAs(t, err, &dialError)
	require.True(t, dialError.TimedOut)

	_, err = NewPool(Config{}).Connect(context.Background(), unresponsive, defaultTimeouts, time.Now().Add(minDialTimeout))
	require.ErrorAs(t, err, &dialError)
	require.False(t, dialError.TimedOut, "the dial ended before its own timeout")
}

// unreachableConn returns a connection whose other end does not acknowledge the data sent to it, so that the user
// timeout expires.
func unreachableConn(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	conn := connect(t, pool, scriptedServer(t, func(*net.TCPConn) { <-testDone }))
	conn.setUserTimeout(100 * time.Millisecond)
	// On a machine that is short of processor time, the deadline may pass before the receive window of the other end
	// is full.
	require.Eventually(t, func() bool {
		conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
		_ = conn.Send(make([]byte, 32<<20), nil)
		return unacknowledged(t, conn) > 0
	}, testTimeout, pollInterval)
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// unacknowledged returns the number of sent bytes that the other end has not acknowledged.
func unacknowledged(t *testing.T, conn *Conn) int {
	t.Helper()
	count, known, err := conn.unacknowledged()
	require.NoError(t, err)
	require.True(t, known)
	return count
}

func TestMachineThatAcknowledgesNothingIsUnreachable(t *testing.T) {
	conn := unreachableConn(t, NewPool(Config{}))
	_, err := conn.Receive(http.MethodGet, "id1")
	var responseError *ResponseError
	require.ErrorAs(t, err, &responseError)
	require.Equal(t, FaultUnreachable, responseError.Fault)
}

func TestSweepReportsUnreachableMachines(t *testing.T) {
	pool := NewPool(Config{})
	conn := unreachableConn(t, pool)
	other := connect(t, pool, conn.server)
	conn.broken, conn.userTimeout = false, idleUserTimeout // as if its request had been served
	pool.Release(conn)
	pool.Release(other)
	require.Equal(t, 2, pool.Stats().IdleNow)
	require.Eventually(t, func() bool {
		unreachable := pool.Sweep(time.Now(), nil)
		return len(unreachable) == 1 && unreachable[0] == conn.server
	}, testTimeout, pollInterval)
	require.Zero(t, pool.Stats().IdleNow, "idle connections to an unreachable machine must be closed")
	require.Empty(t, pool.Sweep(time.Now(), nil))
}

func TestConnectionsToAForgottenServerAreClosed(t *testing.T) {
	pool := NewPool(Config{})
	server := scriptedServer(t, respondAndKeepOpen(goodAnswer))
	pool.Release(connect(t, pool, server))
	pool.Forget(Server{ID: "other"})
	require.Equal(t, 1, pool.Stats().IdleNow)
	pool.Forget(server)
	require.Zero(t, pool.Stats().IdleNow)
	require.False(t, connect(t, pool, server).Reused())
}
