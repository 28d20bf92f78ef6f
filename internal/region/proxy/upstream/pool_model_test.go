package upstream

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// poolSteps are the operations of a pool that a test can replace to inject a fault.
type poolSteps struct {
	connect func(*Pool, Server) *Conn
	receive func(*Conn, string) (Response, error)
	release func(*Pool, *Conn)
	discard func(*Pool, *Conn)
}

func unmodifiedSteps() poolSteps {
	return poolSteps{
		connect: func(pool *Pool, server Server) *Conn {
			conn, err := pool.Connect(context.Background(), server, defaultTimeouts, time.Now().Add(testTimeout))
			if err != nil {
				return nil
			}
			return conn
		},
		receive: func(conn *Conn, id string) (Response, error) { return conn.Receive(http.MethodGet, id) },
		release: (*Pool).Release,
		discard: (*Pool).Discard,
	}
}

// testServer is a listener whose ends of the connections are controlled by the test.
type testServer struct {
	listener *net.TCPListener
	server   Server
}

func listenTestServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return &testServer{listener.(*net.TCPListener), Server{ID: "i-1", Address: listener.Addr().String()}}
}

// testConn is a connection with both of its ends and what the test knows about it.
type testConn struct {
	conn      *Conn
	peer      *net.TCPConn
	user      int // index of the caller that uses the connection; noUser if it is idle or closed
	requestID string
	responded bool // the server has written bytes since the request was sent
	unusable  bool // the server sent unrequested bytes or closed the connection
	closed    bool // the server closed the connection
	requests  int
	unread    string // actions of the server whose bytes have not been read yet
}

const noUser = -1

// poolSystem is a pool with two callers and a server, whose events may occur in any order.
type poolSystem struct {
	steps    poolSteps
	server   *testServer
	pool     *Pool
	conns    []*testConn
	requests int
	closed   bool
	failure  error
}

// Events implements explore.System.
func (p *poolSystem) Events() []string {
	var names []string
	for caller := range 2 {
		used := p.connOf(caller)
		if used == nil {
			names = append(names, fmt.Sprintf("%d connects", caller))
			continue
		}
		if used.requestID == "" {
			names = append(names, fmt.Sprintf("%d sends", caller), fmt.Sprintf("%d releases unused", caller))
			continue
		}
		names = append(names, fmt.Sprintf("%d aborts", caller))
		if used.responded || used.closed {
			names = append(names, fmt.Sprintf("%d receives", caller))
		}
	}
	for index, tracked := range p.conns {
		if tracked.closed {
			continue
		}
		if tracked.user != noUser && tracked.requestID != "" && !tracked.responded {
			names = append(names, fmt.Sprintf("server answers on %d", index), fmt.Sprintf("server answers twice on %d", index),
				fmt.Sprintf("server answers another on %d", index))
		}
		if tracked.requests > 0 && !tracked.unusable {
			names = append(names, fmt.Sprintf("server repeats on %d", index))
		}
		names = append(names, fmt.Sprintf("server closes %d", index))
	}
	if len(p.conns) > 0 {
		names = append(names, "sweep")
		if !p.closed {
			names = append(names, "close")
		}
	}
	return names
}

func (p *poolSystem) connOf(caller int) *testConn {
	for _, tracked := range p.conns {
		if tracked.user == caller {
			return tracked
		}
	}
	return nil
}

// Do implements explore.System.
func (p *poolSystem) Do(event int) {
	name := p.Events()[event]
	var index int
	if _, err := fmt.Sscanf(name, "%d", &index); err == nil {
		p.call(index, name[strings.Index(name, " ")+1:])
		return
	}
	switch name {
	case "sweep":
		p.pool.Sweep(time.Now(), nil)
	case "close":
		p.pool.Close()
		p.closed = true
	default:
		_, _ = fmt.Sscanf(name[strings.LastIndex(name, " ")+1:], "%d", &index)
		p.serve(p.conns[index], strings.TrimSpace(name[len("server "):strings.LastIndex(name, " ")]))
	}
	p.forgetClosed()
}

// call performs one action of a caller.
func (p *poolSystem) call(caller int, action string) {
	used := p.connOf(caller)
	switch action {
	case "connects":
		p.connect(caller)
	case "sends":
		p.requests++
		used.requestID, used.responded = fmt.Sprintf("id%d", p.requests), false
		_ = used.conn.Send(fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", AttemptIDHeader, used.requestID), nil)
	case "releases unused":
		used.user = noUser
		p.steps.release(p.pool, used.conn)
	case "aborts":
		used.user = noUser
		used.requestID = ""
		used.conn.Abort()
		p.steps.discard(p.pool, used.conn)
	case "receives":
		p.read(used)
	}
	p.forgetClosed()
}

func (p *poolSystem) connect(caller int) {
	conn := p.steps.connect(p.pool, p.server.server)
	if conn == nil {
		p.fail(errors.New("no connection could be opened"))
		return
	}
	for _, tracked := range p.conns {
		if tracked.conn != conn {
			continue
		}
		switch {
		case tracked.user != noUser:
			p.fail(errors.New("two callers use the same connection"))
		case tracked.unusable:
			p.fail(errors.New("a connection was reused after the server had closed it or sent surplus bytes"))
		}
		tracked.user = caller
		return
	}
	_ = p.server.listener.SetDeadline(time.Now().Add(testTimeout))
	peer, err := p.server.listener.AcceptTCP()
	if err != nil {
		p.fail(err)
		return
	}
	p.conns = append(p.conns, &testConn{conn: conn, peer: peer, user: caller})
}

// read receives the response to a caller's request. Receiving may succeed only if the response belongs to that
// request.
func (p *poolSystem) read(used *testConn) {
	id := used.requestID
	used.user, used.requestID = noUser, ""
	used.requests++
	used.unread = ""
	response, err := p.steps.receive(used.conn, id)
	if err != nil {
		p.steps.discard(p.pool, used.conn)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "answer to "+id {
		p.fail(errors.Newf("request %s received the body %q", id, body))
	}
	p.steps.release(p.pool, used.conn)
}

// serve performs one action of the server on a connection, and waits until its effect is visible at the other end.
func (p *poolSystem) serve(tracked *testConn, action string) {
	answer := func(id string) string {
		body := "answer to " + id
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", AttemptIDHeader, id, len(body), body)
	}
	bytes := ""
	switch action {
	case "answers on":
		bytes = answer(tracked.requestID)
	case "answers twice on":
		bytes = answer(tracked.requestID) + answer(tracked.requestID)
		tracked.unusable = true
	case "answers another on":
		bytes = answer("other")
		tracked.unusable = true
	case "repeats on":
		bytes = answer("other")
		tracked.unusable = true
	case "closes":
		_ = tracked.peer.Close()
		tracked.unusable, tracked.closed = true, true
	}
	tracked.unread += action + ", "
	tracked.responded = tracked.responded || action != "closes" && action != "repeats on" || action == "repeats on" && tracked.requestID != ""
	if bytes != "" {
		_, _ = io.WriteString(tracked.peer, bytes)
	}
	if _, err := awaitReadable(tracked.conn); err != nil && !errors.Is(err, net.ErrClosed) {
		p.fail(err)
	}
}

// awaitReadable waits until bytes or the end of the stream can be read from a connection, without consuming them. It
// returns the number of bytes that it peeked: 0 at the end of the stream.
func awaitReadable(conn *Conn) (n int, err error) {
	if err := conn.socket.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		return 0, err
	}
	var peeked [1]byte
	err = conn.raw.Read(func(descriptor uintptr) bool {
		var readError error
		n, _, readError = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(readError, syscall.EAGAIN)
	})
	return n, err
}

// forgetClosed removes the connections that the pool or its callers have closed.
func (p *poolSystem) forgetClosed() {
	p.conns = slices.DeleteFunc(p.conns, func(tracked *testConn) bool {
		closed := tracked.user == noUser && errors.Is(tracked.conn.raw.Control(func(uintptr) {}), net.ErrClosed)
		if closed {
			_ = tracked.peer.Close()
		}
		return closed
	})
}

func (p *poolSystem) fail(err error) {
	if p.failure == nil {
		p.failure = err
	}
}

// end closes all connections that were opened while one order was explored.
func (p *poolSystem) end() {
	for _, tracked := range p.conns {
		tracked.conn.Abort()
		_ = tracked.peer.SetLinger(0)
		_ = tracked.peer.Close()
	}
}

// Hash implements explore.System.
func (p *poolSystem) Hash() uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, p.closed, p.pool.idle)
	for _, tracked := range p.conns {
		_, _ = fmt.Fprint(hash, tracked.user, tracked.requestID != "", tracked.responded, tracked.unusable, tracked.closed, tracked.requests > 0, tracked.unread, tracked.conn.broken, p.isIdle(tracked.conn))
	}
	return hash.Sum64()
}

func (p *poolSystem) isIdle(conn *Conn) bool {
	known := p.pool.servers[p.server.server]
	return known != nil && slices.Contains(known.idle, conn)
}

// Check implements explore.System.
func (p *poolSystem) Check() error {
	if p.failure != nil {
		return p.failure
	}
	idle := 0
	for _, known := range p.pool.servers {
		idle += len(known.idle)
	}
	if idle != p.pool.idle {
		return errors.Newf("%d connections are idle, but the pool counts %d", idle, p.pool.idle)
	}
	if p.closed && idle > 0 {
		return errors.New("a closed pool has an idle connection")
	}
	for _, tracked := range p.conns {
		isIdle := p.isIdle(tracked.conn)
		switch {
		case tracked.user != noUser && isIdle:
			return errors.New("a connection is both idle and in use")
		case isIdle && tracked.conn.reader != nil:
			return errors.New("an idle connection has a read buffer")
		case tracked.user == noUser && !isIdle:
			return errors.New("an open connection is neither idle nor in use")
		}
	}
	return nil
}
