package http

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/socket"
	"fieldrelay/internal/testkit/scenario"
)

// race is a server whose attempts can be delayed at each point where another event may come first: during their dial, and just
// before their first byte, where send calls ClientGone.
type race struct {
	*scenario.Stage
	ln      net.Listener
	server  *server
	release chan struct{}      // closed when the test ends
	dials   chan chan struct{} // receives a channel from each dial, which waits until that is closed; nil: dials do not wait
}

// slowReader is a connection whose reads, once slow is set, take bytes from the socket but return only at the end of the test,
// as if the reading goroutine were not scheduled for a while.
type slowReader struct {
	*net.TCPConn
	slow, hasRead atomic.Bool
	release       chan struct{}
}

func (c *slowReader) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.slow.Load() {
		c.hasRead.Store(true)
		<-c.release
	}
	return n, err
}

func newRace(t *testing.T, opts Options, holdDials bool) *race {
	x := &race{ln: scenario.Listen(t), release: make(chan struct{})}
	x.Stage = scenario.NewStage(scenario.Accepter(x.ln))
	opts.DialTimeout, opts.ConnIdle, opts.DrainGrace, opts.MaxConns = time.Minute, time.Minute, time.Minute, 9
	if holdDials {
		x.dials = make(chan chan struct{}, 9)
	}
	opts.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if x.dials != nil {
			gate := make(chan struct{})
			x.dials <- gate
			<-gate
		}
		nc, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &slowReader{TCPConn: nc.(*net.TCPConn), release: x.release}, nil
	}
	t.Cleanup(func() { close(x.release) })
	x.server = NewTransport(opts, zerolog.Nop()).Open(relay.Member{Addr: x.ln.Addr().String()}, reportTo(x.Stage)).(*server)
	t.Cleanup(x.server.Close)
	x.Calls["attempt"] = func(id string) { x.server.Start(newAttempt(id, time.Minute)) }
	return x
}

// in runs do on the server's actor and waits for it.
func (x *race) in(do func()) {
	done := make(chan struct{})
	x.server.mailbox.Put(func() {
		defer close(done)
		do()
	})
	<-done
}

// A late second copy of an answer must not be taken for the answer to the next attempt on the connection. If answers are known
// to differ, the copy is recognized, and the attempt ends as reset.
func TestALateSecondCopyIsNoAnswer(t *testing.T) {
	x := newRace(t, Options{SettleTime: time.Minute}, false)
	for digest := range uint64(minDistinct) {
		x.server.transport.answers.add(digest)
	}
	x.Play(t, `
		attempt send 1
		a expect body
		a send `+ok+`
		wait 1 done hi
		attempt send 2
		a expect body
		a send `+ok+`
		wait 2 reset
		a wait`)
}

// If a copy cannot be recognized, since answers may be equal or too few are known, a connection must settle after each answer,
// so that a late copy arrives on a connection without an attempt. After that an answer equal to the previous one is accepted.
func TestAnswersAlikeAreAnswers(t *testing.T) {
	newRace(t, Options{SettleTime: time.Minute}, false).Play(t, `
		attempt send 1
		a expect body
		a send `+ok+`
		wait 1 done hi
		attempt send 2
		b expect body
		a send `+ok+`
		a wait
		b send `+ok+`
		wait 2 done hi`)
	newRace(t, Options{SettleTime: time.Nanosecond}, false).Play(t, `
		attempt send 1
		a expect body
		a send `+ok+`
		wait 1 done hi
		attempt send 2
		a expect body
		a send `+ok+`
		wait 2 done hi`)
}

// The second of two equal rejections on a connection that had not settled may be a copy of the first. It must be reported as
// errored, since it does not prove that its request never ran.
func TestALateSecondRejectionProvesNothing(t *testing.T) {
	const busy = "HTTP/1.1 503 E\\r\\nX-Rejected: 1\\r\\nContent-Length: 0\\r\\n\\r\\n"
	x := newRace(t, Options{SettleTime: time.Minute}, false)
	for digest := range uint64(minDistinct) {
		x.server.transport.answers.add(digest)
	}
	x.Play(t, `
		attempt send 1
		a expect body
		a send `+busy+`
		wait 1 busy
		attempt send 2
		a expect body
		a send `+busy+`
		wait 2 errored`)
	newRace(t, Options{SettleTime: time.Nanosecond}, false).Play(t, `
		attempt send 1
		a expect body
		a send `+busy+`
		wait 1 busy
		attempt send 2
		a expect body
		a send `+busy+`
		wait 2 busy`)
}

// An answer that differs from the previous one must be accepted even if its connection had not settled.
func TestDistinctAnswersNeedNoSettling(t *testing.T) {
	x := newRace(t, Options{SettleTime: time.Minute}, false)
	for digest := range uint64(minDistinct) {
		x.server.transport.answers.add(digest)
	}
	x.Play(t, `
		attempt send 1
		a expect body
		a send `+ok+`
		wait 1 done hi
		attempt send 2
		a expect body
		a send HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho
		wait 2 done ho`)
}

// Bytes that a server sends between the assignment of its connection and the first byte of an attempt must not be taken for the
// answer to that attempt. If the server closes the connection then, the attempt must go to another connection, since none of
// its bytes was sent.
func TestUnrequestedBytesBeforeTheWrite(t *testing.T) {
	for name, cross := range map[string]func(server net.Conn) error{
		"a second copy": func(server net.Conn) error {
			_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return err
		},
		"half a line": func(server net.Conn) error {
			_, err := io.WriteString(server, "HTTP/1.1 2")
			return err
		},
		"its end": func(server net.Conn) error { return server.Close() },
		"a reset": func(server net.Conn) error {
			return errors.Join(server.(*net.TCPConn).SetLinger(0), server.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newRace(t, Options{}, false)
			var server net.Conn
			open := x.Open
			x.Open = func(peer string) (nc net.Conn, err error) {
				if nc, err = open(peer); peer == "a" {
					server = nc
				}
				return nc, err
			}
			x.Calls["crossed"] = func(id string) {
				c := newAttempt(id, time.Minute)
				asked := false
				c.Payload.ClientGone = func() bool { // called by send just before the first byte
					if asked {
						return false
					}
					asked = true
					chosen := make(chan *conn, 1)
					x.in(func() {
						for conn := range x.server.conns {
							chosen <- conn
						}
					})
					conn := <-chosen
					slow := conn.nc.(*slowReader)
					slow.slow.Store(true)
					if err := cross(server); err != nil {
						t.Error(err)
					}
					scenario.Await(t, "the bytes or the end of the connection have arrived", func() bool {
						return conn.broken.Load() || socket.Unread(conn.nc) || slow.hasRead.Load()
					})
					return false
				}
				x.server.Start(c)
			}
			x.Play(t, `
				attempt send 1
				a expect body
				a send `+ok+`
				wait 1 done hi
				crossed send 2
				b expect body
				b send `+ok+`
				wait 2 done hi`)
		})
	}
}

// An attempt whose dial hangs must be sent on the first other connection that becomes available.
func TestSlowDialDoesNotDelayAttempts(t *testing.T) {
	x := newRace(t, Options{}, true)
	x.Calls["dial"] = func(string) { close(<-x.dials) }
	var hung chan struct{}
	x.Calls["hung"] = func(string) { hung = <-x.dials }
	x.Play(t, `
		attempt send 1
		dial send on
		a expect body
		attempt send 2
		hung send its dial
		a send `+ok+`
		wait 1 done hi
		a expect body
		a send `+ok+`
		wait 2 done hi`)
	close(hung)
	scenario.Await(t, "the late connection is kept", func() (kept bool) {
		x.in(func() { kept = x.server.dials == 0 && len(x.server.idle) == 1 }) // the scenario's end has closed the other connection
		return kept
	})
}

// No byte of an attempt may be sent once its client has gone, its send window is over, or the grace of its server's drain is
// over, even if its connection opens only after that. The connection must be kept for other attempts.
func TestNothingBeginsTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		before func(c *relay.Attempt) // changes the attempt before its start
		during func(x *race)          // runs during its dial
	}{
		"the client has gone": {before: func(c *relay.Attempt) { c.Payload.ClientGone = func() bool { return true } }},
		"its window is over":  {before: func(c *relay.Attempt) { c.SendBefore = time.Now() }},
		"its server drains": {during: func(x *race) {
			x.server.Update(relay.Member{ListedAt: time.Now().Add(-time.Hour), Server: drains})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newRace(t, Options{}, true)
			x.Calls["attempt"] = func(id string) {
				attempt := newAttempt(id, time.Minute)
				if c.before != nil {
					c.before(&attempt)
				}
				x.server.Start(attempt)
			}
			x.Calls["dial"] = func(string) {
				gate := <-x.dials
				if c.during != nil {
					c.during(x)
				}
				close(gate)
			}
			x.Calls["leave"] = func(string) { x.server.Close() }
			x.Play(t, `
				attempt send 1
				dial send on
				wait 1 skipped
				leave send now
				a wait nothing`)
		})
	}
}

// A connection that was assigned to an attempt which was not sent must keep the idle time since its last answer, since the
// server closes the connection by that.
func TestUnsentAttemptKeepsIdleTime(t *testing.T) {
	x := newRace(t, Options{}, false)
	x.Calls["aged"] = func(string) {
		x.in(func() { x.server.idle[0].idleSince = time.Now().Add(-time.Minute) })
	}
	x.Calls["gone"] = func(id string) {
		c := newAttempt(id, time.Minute)
		c.Payload.ClientGone = func() bool { return true }
		x.server.Start(c)
	}
	x.Play(t, `
		attempt send 1
		a expect body
		a send `+ok+`
		wait 1 done hi
		aged send a minute
		gone send 2
		wait 2 skipped
		a wait nothing`)
}
