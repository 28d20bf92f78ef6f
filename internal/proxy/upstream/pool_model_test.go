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

// poolSteps are the steps of a pool, so that a test can plant a fault in one.
type poolSteps struct {
	connect func(*Pool, Server) *Conn
	receive func(*Conn, string) (*http.Response, error)
	release func(*Pool, *Conn)
	discard func(*Pool, *Conn)
}

func trueSteps() poolSteps {
	return poolSteps{
		connect: func(pool *Pool, server Server) *Conn {
			conn, err := pool.Connect(context.Background(), server, usual, time.Now().Add(patience))
			if err != nil {
				return nil
			}
			return conn
		},
		receive: func(conn *Conn, id string) (*http.Response, error) { return conn.Receive(http.MethodGet, id) },
		release: (*Pool).Release,
		discard: (*Pool).Discard,
	}
}

// listened is a server whose side of each connection a test holds.
type listened struct {
	listener *net.TCPListener
	server   Server
}

func listen(t *testing.T) *listened {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return &listened{listener.(*net.TCPListener), Server{ID: "i-1", Address: listener.Addr().String()}}
}

// link is a connection with both of its ends.
type link struct {
	conn    *Conn
	peer    *net.TCPConn
	holder  int // index of the caller that has it; nobody: it is idle or closed
	asked   string
	written bool // the server has written something since it was asked
	dirty   bool // bytes came that nobody asked for, or the server closed
	ended   bool // the server closed
	used    int
	said    string // what the server wrote that was not read
}

const nobody = -1

// pooled is a pool with two callers and a server, whose events come in any order.
type pooled struct {
	steps   poolSteps
	server  *listened
	pool    *Pool
	links   []*link
	asked   int
	closed  bool
	failure error
}

// Events implements explore.System.
func (p *pooled) Events() []string {
	var names []string
	for caller := range 2 {
		held := p.heldBy(caller)
		if held == nil {
			names = append(names, fmt.Sprintf("%d connects", caller))
			continue
		}
		if held.asked == "" {
			names = append(names, fmt.Sprintf("%d asks", caller), fmt.Sprintf("%d gives it back unused", caller))
			continue
		}
		names = append(names, fmt.Sprintf("%d leaves", caller))
		if held.written || held.ended {
			names = append(names, fmt.Sprintf("%d reads", caller))
		}
	}
	for index, one := range p.links {
		if one.ended {
			continue
		}
		if one.holder != nobody && one.asked != "" && !one.written {
			names = append(names, fmt.Sprintf("server answers on %d", index), fmt.Sprintf("server answers twice on %d", index),
				fmt.Sprintf("server answers another on %d", index))
		}
		if one.used > 0 && !one.dirty {
			names = append(names, fmt.Sprintf("server repeats on %d", index))
		}
		names = append(names, fmt.Sprintf("server closes %d", index))
	}
	if len(p.links) > 0 {
		names = append(names, "sweep")
		if !p.closed {
			names = append(names, "close")
		}
	}
	return names
}

func (p *pooled) heldBy(caller int) *link {
	for _, one := range p.links {
		if one.holder == caller {
			return one
		}
	}
	return nil
}

// Do implements explore.System.
func (p *pooled) Do(event int) {
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
		p.serve(p.links[index], strings.TrimSpace(name[len("server "):strings.LastIndex(name, " ")]))
	}
	p.forgetClosed()
}

// call lets a caller do something.
func (p *pooled) call(caller int, what string) {
	held := p.heldBy(caller)
	switch what {
	case "connects":
		p.connect(caller)
	case "asks":
		p.asked++
		held.asked, held.written = fmt.Sprintf("id%d", p.asked), false
		_ = held.conn.Send(fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", AttemptIDHeader, held.asked), nil)
	case "gives it back unused":
		held.holder = nobody
		p.steps.release(p.pool, held.conn)
	case "leaves":
		held.holder = nobody
		held.asked = ""
		held.conn.Abort()
		p.steps.discard(p.pool, held.conn)
	case "reads":
		p.read(held)
	}
	p.forgetClosed()
}

func (p *pooled) connect(caller int) {
	conn := p.steps.connect(p.pool, p.server.server)
	if conn == nil {
		p.fail(errors.New("no connection came up"))
		return
	}
	for _, one := range p.links {
		if one.conn != conn {
			continue
		}
		switch {
		case one.holder != nobody:
			p.fail(errors.New("two callers have one connection"))
		case one.dirty:
			p.fail(errors.New("a connection was used again that the server had closed or spoken on"))
		}
		one.holder = caller
		return
	}
	_ = p.server.listener.SetDeadline(time.Now().Add(patience))
	peer, err := p.server.listener.AcceptTCP()
	if err != nil {
		p.fail(err)
		return
	}
	p.links = append(p.links, &link{conn: conn, peer: peer, holder: caller})
}

// read takes the answer. Only that to the own request may look good.
func (p *pooled) read(held *link) {
	id := held.asked
	held.holder, held.asked = nobody, ""
	held.used++
	held.said = ""
	response, err := p.steps.receive(held.conn, id)
	if err != nil {
		p.steps.discard(p.pool, held.conn)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != "answer to "+id {
		p.fail(errors.Newf("%s got %q", id, body))
	}
	p.steps.release(p.pool, held.conn)
}

// serve lets the server do something on a connection, and waits until it shows at the other end.
func (p *pooled) serve(one *link, what string) {
	answer := func(id string) string {
		body := "answer to " + id
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", AttemptIDHeader, id, len(body), body)
	}
	bytes := ""
	switch what {
	case "answers on":
		bytes = answer(one.asked)
	case "answers twice on":
		bytes = answer(one.asked) + answer(one.asked)
		one.dirty = true
	case "answers another on":
		bytes = answer("other")
		one.dirty = true
	case "repeats on":
		bytes = answer("other")
		one.dirty = true
	case "closes":
		_ = one.peer.Close()
		one.dirty, one.ended = true, true
	}
	one.said += what + ", "
	one.written = one.written || what != "closes" && what != "repeats on" || what == "repeats on" && one.asked != ""
	if bytes != "" {
		_, _ = io.WriteString(one.peer, bytes)
	}
	if err := awaitReadable(one.conn); err != nil && !errors.Is(err, net.ErrClosed) {
		p.fail(err)
	}
}

// awaitReadable waits until bytes or the end can be read from a connection, without taking them.
func awaitReadable(conn *Conn) error {
	_ = conn.socket.SetReadDeadline(time.Now().Add(patience))
	var peeked [1]byte
	return conn.raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// forgetClosed drops connections that this side has closed.
func (p *pooled) forgetClosed() {
	p.links = slices.DeleteFunc(p.links, func(one *link) bool {
		closed := one.holder == nobody && errors.Is(one.conn.raw.Control(func(uintptr) {}), net.ErrClosed)
		if closed {
			_ = one.peer.Close()
		}
		return closed
	})
}

func (p *pooled) fail(err error) {
	if p.failure == nil {
		p.failure = err
	}
}

// end closes everything that a path has opened.
func (p *pooled) end() {
	for _, one := range p.links {
		one.conn.Abort()
		_ = one.peer.SetLinger(0)
		_ = one.peer.Close()
	}
}

// Hash implements explore.System.
func (p *pooled) Hash() uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, p.closed, p.pool.idle)
	for _, one := range p.links {
		_, _ = fmt.Fprint(hash, one.holder, one.asked != "", one.written, one.dirty, one.ended, one.used > 0, one.said, one.conn.broken, p.isIdle(one.conn))
	}
	return hash.Sum64()
}

func (p *pooled) isIdle(conn *Conn) bool {
	known := p.pool.servers[p.server.server]
	return known != nil && slices.Contains(known.idle, conn)
}

// Check implements explore.System.
func (p *pooled) Check() error {
	if p.failure != nil {
		return p.failure
	}
	idle := 0
	for _, known := range p.pool.servers {
		idle += len(known.idle)
	}
	if idle != p.pool.idle {
		return errors.Newf("%d idle connections are counted as %d", idle, p.pool.idle)
	}
	if p.closed && idle > 0 {
		return errors.New("a closed pool keeps a connection")
	}
	for _, one := range p.links {
		isIdle := p.isIdle(one.conn)
		switch {
		case one.holder != nobody && isIdle:
			return errors.New("a connection is idle and in use")
		case isIdle && one.conn.reader != nil:
			return errors.New("an idle connection has a buffer")
		case one.holder == nobody && !isIdle:
			return errors.New("an open connection is nobody's")
		}
	}
	return nil
}
