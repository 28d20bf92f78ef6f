package http

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/testkit/scenario"
)

// start serves ln in the background until the server is shut down or the test process ends.
func start(s *Server, ln net.Listener) {
	go func() { _ = s.Serve(ln) }()
}

// play runs a server at ln with the given maximum number of connections and plays a scenario against it.
func play(t *testing.T, ln net.Listener, conns int, steps string) {
	t.Helper()
	stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
	gate := budget.NewGate(8<<20, 9)
	r := &scriptedRelay{stage, gate, make(chan relay.Request, 9)}
	f := New(r, Options{Gate: gate, ClassSettings: []logic.Class{{Name: "look"}}}, zerolog.Nop())
	f.SetMaxConns(conns)
	start(f, ln)
	stage.Calls["relay"] = r.answer
	stage.Calls["shutdown"] = func(string) {
		go func() { stage.Event(fmt.Sprint("shut down ", f.Shutdown(context.Background()))) }()
	}
	stage.Play(t, steps)
	scenario.Await(t, "all charges are released", func() bool { return gate.State().Sum() == 0 })
}

// A shutdown must serve the connections in the backlog: closing the listener would reset them and lose their requests. Here the
// only connection slot is taken, so that b is certainly in the backlog.
func TestShutdownServesTheBacklog(t *testing.T) {
	play(t, scenario.Listen(t), 1, `
		a send GET /look`+head+`\r\n
		wait request look GET /look hint=0s
		b send GET /look/2`+head+`\r\n
		shutdown send now
		wait request look GET /look/2 hint=0s
		relay send served one
		a expect Connection: close
		a expect one
		relay send served two
		b expect Connection: close
		b expect two
		a wait
		b wait
		wait shut down <nil>`)
}

// A request of which only the first byte has arrived at the shutdown must be read completely and answered.
func TestShutdownReadsARequestThatHasBegun(t *testing.T) {
	ln := scenario.Listen(t)
	stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
	gate := budget.NewGate(8<<20, 9)
	r := &scriptedRelay{stage, gate, make(chan relay.Request, 9)}
	f := New(r, Options{Gate: gate, ClassSettings: []logic.Class{{Name: "look"}}}, zerolog.Nop())
	f.SetMaxConns(9)
	start(f, ln)
	stage.Calls["relay"] = r.answer
	stage.Calls["read"] = func(string) {
		scenario.Await(t, "the first byte is read", func() bool {
			l := f.listener.Load()
			if l == nil {
				return false // Serve has not begun
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			for c := range l.conns {
				if c.busy {
					return true
				}
			}
			return false
		})
	}
	stage.Calls["shutdown"] = func(string) {
		go func() { stage.Event(fmt.Sprint("shut down ", f.Shutdown(context.Background()))) }()
		scenario.Await(t, "the listener drains", func() bool { return f.listener.Load().isDraining() })
	}
	stage.Play(t, `
		a send G
		read send it
		shutdown send now
		a send ET /look`+head+`\r\n
		wait request look GET /look hint=0s
		relay send served one
		a expect Connection: close
		a expect one
		a wait
		wait shut down <nil>`)
}

// An answer must reach a client that has sent further bytes which the server does not read: the close must not reset the
// connection before the client has the answer.
func TestShutdownDeliversTheAnswerPastUnreadBytes(t *testing.T) {
	ln := scenario.Listen(t)
	gate := budget.NewGate(8<<20, 9)
	r := &scriptedRelay{scenario.NewStage(nil), gate, make(chan relay.Request, 9)}
	f := New(r, Options{Gate: gate, ClassSettings: []logic.Class{{Name: "look"}}}, zerolog.Nop())
	f.SetMaxConns(9)
	start(f, ln)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	request := strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace("GET /look" + head + `\r\n`)
	if _, err := io.WriteString(nc, strings.Repeat(request, 500)); err != nil { // more than the server's read buffer holds
		t.Fatal(err)
	}
	body := strings.Repeat("x", relay.MaxBodySize)
	req := <-r.requests
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(context.Background()) }()
	scenario.Await(t, "the shutdown has begun", f.closing.Load)
	req.Answer(relay.Answer{Body: []byte(body)})
	req.Payload.Charge.Release()
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(nc)
	if err != nil || !strings.HasSuffix(string(got), body) || strings.Count(string(got), "200 OK") != 1 {
		t.Errorf("answer with a body of %d bytes: received %d bytes in all, error %v", len(body), len(got), err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// failingListener is a listener whose Accept fails for lack of descriptors while failing is set.
type failingListener struct {
	net.Listener
	failing atomic.Bool
	calls   atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	if l.failing.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// If accept fails for lack of descriptors, Serve must not end, must not retry in a busy loop, and must accept connections once
// there is a descriptor again.
func TestServeSurvivesLackOfDescriptors(t *testing.T) {
	ln := &failingListener{Listener: scenario.Listen(t)}
	ln.failing.Store(true)
	stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
	f := New(&scriptedRelay{stage: stage}, Options{}, zerolog.Nop())
	f.SetMaxConns(9)
	begun := time.Now()
	served := make(chan error, 1)
	go func() { served <- f.Serve(ln) }()
	scenario.Await(t, "accept is retried", func() bool { return ln.calls.Load() >= 4 })
	// One call more for the first attempt, and one for SetMaxConns, which signals released.
	if most := int64(time.Since(begun)/acceptRetryInterval) + 2; ln.calls.Load() > most {
		t.Errorf("accept was called %d times, want at most %d", ln.calls.Load(), most)
	}
	ln.failing.Store(false)
	stage.Play(t, `
		a send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n
		a expect 200`)
	if err := f.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Payload.Wanted must return false as soon as the operating system knows that the client has disconnected, even if bytes before
// the end of the connection are unread, and must return true until then.
func TestDisconnectIsReportedAtOnce(t *testing.T) {
	ln := scenario.Listen(t)
	r := &scriptedRelay{scenario.NewStage(nil), budget.NewGate(8<<20, 9), make(chan relay.Request, 9)}
	f := New(r, Options{ClassSettings: []logic.Class{{Name: "look"}}}, zerolog.Nop())
	f.SetMaxConns(9)
	start(f, ln)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	both := strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace("GET /look" + head + `\r\nGET /look`)
	if _, err := io.WriteString(nc, both); err != nil {
		t.Fatal(err)
	}
	req := <-r.requests
	if !req.Payload.Wanted() {
		t.Error("Wanted is false while the client waits")
	}
	if err := nc.Close(); err != nil {
		t.Fatal(err)
	}
	scenario.Await(t, "Wanted reports the disconnect", func() bool { return !req.Payload.Wanted() })
	r.requests <- req // Withdraw receives the request from this channel
}
