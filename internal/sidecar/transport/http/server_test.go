package http

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/mailbox"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/testkit/scenario"
)

var drains = logic.Server{State: logic.Draining}

var outcomes = []string{"done", "errored", "busy", "timed out", "refused", "reset", "canceled", "skipped"}

const (
	reply = `200 OK\r\nContent-Length: 2\r\n\r\nhi`
	ok    = `HTTP/1.1 ` + reply
)

// servedOnSecondConn is a scenario in which a second attempt is served on a second connection.
const servedOnSecondConn = "\n attempt send 2\n b expect body\n b send " + ok + "\n wait 2 done hi"

// malformedAnswer returns a scenario in which the server sends a malformed answer and keeps the connection open.
func malformedAnswer(text string) string {
	return "attempt send 1\n a expect body\n a send " + text + "\n wait 1 reset\n a wait"
}

func TestAttempts(t *testing.T) {
	for name, steps := range map[string]string{
		"served, and the connection is used again": `
			attempt send 1
			a expect POST /pay//a/../b?q=%41 HTTP/1.1\r\n
			a expect X-Call-Id: c1\r\n
			a expect Idempotency-Key: k\r\n
			a expect X-Budget:
			a expect \r\n\r\nbody
			a send ` + ok + `
			wait 1 done hi
			attempt send 2
			a expect body
			a send ` + ok + `
			wait 2 done hi`,
		"an error may have run": `
			attempt send 1
			a expect body
			a send HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n
			wait 1 errored`,
		"an answer is a rejection only with X-Rejected": `
			attempt send 1
			a expect body
			a send HTTP/1.1 503 E\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n
			wait 1 busy
			attempt send 2
			a expect body
			a send HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n
			wait 2 errored`,
		"a request whose connection ends after its last byte may have run": `
			attempt send 1
			a expect body
			a close
			wait 1 reset`,
		"a truncated answer is a reset": `
			attempt send 1
			a expect body
			a send HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi
			a close
			wait 1 reset`,
		"1xx responses may precede the answer": `
			attempt send 1
			a expect body
			a send HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n` + ok + `
			wait 1 done hi`,
		"a load report is no part of the answer": `
			attempt send 1
			a expect body
			a send HTTP/1.1 200 OK\r\nX-Load-Report: {"queue":\r\nContent-Length: 2\r\n\r\nhi
			wait 1 done hi`,
		// Bytes that follow an answer would be taken for the answer to the next attempt.
		"a connection with bytes after the answer is closed": `
			attempt send 1
			a expect body
			a send ` + ok + `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong
			wait 1 done hi
			a wait` + servedOnSecondConn,
		"bytes on an idle connection close it": `
			attempt send 1
			a expect body
			a send ` + ok + `
			wait 1 done hi
			a send HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong
			a wait`,
		// An answer without a stated length may be truncated. An endless or incomplete answer must time out soon.
		"no length":    malformedAnswer(`HTTP/1.1 200 OK\r\n\r\nhi`),
		"two lengths":  malformedAnswer(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi`),
		"odd length":   malformedAnswer(`HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi`),
		"3 GB":         malformedAnswer(`HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi`),
		"3 GB chunk":   malformedAnswer(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\nhi`),
		"noise":        malformedAnswer(`\x00\x17 noise 200 noise\r\n\r\n`),
		"endless head": malformedAnswer(`HTTP/1.1 200 OK\r\n` + strings.Repeat(`X-More: of the same\r\n`, 400)),
		"endless 1xx":  malformedAnswer(strings.Repeat(`HTTP/1.1 100 Continue\r\n\r\n`, maxInterim+1)),
		"half a head":  malformedAnswer(`HTTP/1.1 200 OK\r\nConte`),
		"half a body":  malformedAnswer(`HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi`),
		// An attempt counts as in flight while its connection is open.
		"a canceled attempt closes its connection": `
			attempt send 1
			a expect body
			cancel send 1
			wait 1 canceled
			a wait`,
		"the deadline ends a silent attempt": `
			soon send 1
			a expect body
			wait 1 timed out
			a wait`,
		// A request written to a connection that the server has closed would be lost.
		"an idle connection's end is noticed at once": `
			attempt send 1
			a expect body
			a send HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi
			wait 1 done hi
			a wait` + servedOnSecondConn,
		"CloseIdle closes idle connections": `
			attempt send 1
			a expect body
			a send ` + ok + `
			wait 1 done hi
			release send now
			a wait`,
		"connections to a draining server are closed when idle": `
			attempt send 1
			a expect body
			drain send 0
			a send ` + ok + `
			wait 1 done hi
			a wait`,
		// An attempt that waited in the mailbox or for its connection must not be sent after the drain grace.
		"nothing is written once the grace of a drain is over": `
			drain send 1000
			attempt send 1
			wait 1 skipped
			a wait`,
		"an attempt beyond the maximum number of connections is skipped": `
			attempt send 1
			a expect body
			attempt send 2
			b expect body
			attempt send 3
			wait 3 skipped
			cancel send 1
			wait 1 canceled
			cancel send 2
			wait 2 canceled`,
		"Close closes idle connections": `
			attempt send 1
			a expect body
			a send ` + ok + `
			wait 1 done hi
			leave send now
			a wait`,
	} {
		t.Run(name, func(t *testing.T) {
			ln := scenario.Listen(t)
			stage := scenario.NewStage(scenario.Accepter(ln))
			gate := budget.NewGate(8<<20, 9)
			var charges sync.Map // charge of each request, released when its attempt is reported
			f := openTransport(gate)
			n := f.Open(relay.Member{Addr: ln.Addr().String()}, func(id relay.AttemptID, r relay.Result) {
				reportTo(stage)(id, r)
				charge, _ := charges.Load(id.Request)
				charge.(*budget.Charge).Release()
			})
			startAttempt := func(timeout time.Duration) func(string) {
				return func(id string) {
					c := newAttempt(id, timeout)
					c.Payload.Charge = gate.ForceReserve(budget.Requests, 4)
					charges.Store(c.ID.Request, c.Payload.Charge)
					n.Start(c)
				}
			}
			stage.Calls["attempt"], stage.Calls["soon"] = startAttempt(time.Minute), startAttempt(500*time.Millisecond)
			stage.Calls["cancel"] = func(id string) { n.Cancel(newAttempt(id, 0).ID) }
			stage.Calls["release"] = func(string) { n.CloseIdle() }
			stage.Calls["leave"] = func(string) { n.Close() }
			stage.Calls["drain"] = func(ago string) {
				ms, _ := time.ParseDuration(ago + "ms")
				n.Update(relay.Member{Server: logic.Server{State: logic.Draining}, ListedAt: time.Now().Add(-ms)})
			}
			stage.Play(t, strings.ReplaceAll(steps, "\t", ""))
			n.Close()
			scenario.Await(t, "all charges are released", func() bool { return gate.State().Sum() == 0 })
		})
	}
}

// An answer must stay in the socket's buffer until the byte budget admits it. If its attempt is canceled meanwhile, the wait
// must end.
func TestAnswersWaitForBytes(t *testing.T) {
	const reply = `a send HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi all ok`
	for name, steps := range map[string]string{
		"until the budget has bytes": "room send now\n wait 1 done hi all ok",
		"until it is canceled":       "cancel send 1\n wait 1 canceled\n a wait",
		"until the server is closed": "cancel send 1\n wait 1 canceled\n leave send now\n a wait",
	} {
		t.Run(name, func(t *testing.T) {
			ln := scenario.Listen(t)
			stage := scenario.NewStage(scenario.Accepter(ln))
			gate := budget.NewGate(1<<20, 9)
			full := gate.ForceReserve(budget.Lists, 1<<20)
			n := openMember(t, stage, relay.Member{Addr: ln.Addr().String()}, gate)
			stage.Calls["attempt"] = func(id string) { n.Start(newAttempt(id, time.Minute)) }
			stage.Calls["cancel"] = func(id string) { n.Cancel(newAttempt(id, 0).ID) }
			stage.Calls["leave"] = func(string) { n.Close() }
			stage.Calls["waiting"] = func(string) {
				scenario.Await(t, "the answer waits", func() bool { return gate.State().Waiting == 1 })
			}
			stage.Calls["room"] = func(string) { full.Release() }
			stage.Play(t, "attempt send 1\n a expect body\n "+reply+"\n waiting send for it\n "+steps)
			n.Close()
			scenario.Await(t, "all charges are released", func() bool { return gate.State().Sum() == gate.State().Reserved[budget.Lists] })
		})
	}
}

// A request may end while a canceled attempt of it is still being written. Its charge must not be released before that write
// has ended.
func TestBytesAreChargedWhileTheyAreWritten(t *testing.T) {
	ln := scenario.Listen(t)
	if err := ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	stage := scenario.NewStage(nil)
	gate := budget.NewGate(64<<20, 9)
	n := openMember(t, stage, relay.Member{Addr: ln.Addr().String()}, gate)
	c := newAttempt("1", time.Minute)
	c.Payload.Body = make([]byte, 32<<20) // more than the socket buffers hold if the peer does not read
	c.Payload.Charge = gate.ForceReserve(budget.Requests, int64(len(c.Payload.Body)))
	n.Start(c)
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	if _, err := peer.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	c.Payload.Charge.Release()
	if held := gate.State().Reserved[budget.Requests]; held == 0 {
		t.Error("the charge was released while the body was being written")
	}
	n.Cancel(c.ID)
	stage.Play(t, "wait 1 canceled")
	scenario.Await(t, "the charge of the body is released", func() bool { return gate.State().Reserved[budget.Requests] == 0 })
	n.Close()
}

// An attempt whose connection cannot be opened must be reported as refused.
func TestNoConnectionIsRefused(t *testing.T) {
	ln := scenario.Listen(t)
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	stage := scenario.NewStage(nil)
	n := open(t, stage, ln.Addr())
	stage.Calls["attempt"] = func(id string) { n.Start(newAttempt(id, time.Minute)) }
	stage.Play(t, "attempt send 1\n wait 1 refused")
}

// If a server is draining when it is first listed, the grace counts from the time of that entry.
func TestDrainingFromTheStart(t *testing.T) {
	ln := scenario.Listen(t)
	stage := scenario.NewStage(scenario.Accepter(ln))
	n := openMember(t, stage, relay.Member{Server: logic.Server{State: logic.Draining}, Addr: ln.Addr().String(),
		ListedAt: time.Now().Add(-time.Second)}, nil)
	stage.Calls["attempt"] = func(id string) { n.Start(newAttempt(id, time.Minute)) }
	stage.Play(t, "attempt send 1\n wait 1 skipped\n a wait nothing")
}

// An answer can arrive before the message that its request was written completely. The attempt must be reported only after both,
// with its connection idle and ready for the next attempt.
func TestAnswerOvertakesTheWrite(t *testing.T) {
	near, _ := net.Pipe()
	reports := 0
	n := &server{transport: NewTransport(Options{ConnIdle: time.Minute}, zerolog.Nop()), attempts: map[relay.AttemptID]*attempt{},
		report: func(relay.AttemptID, relay.Result) { reports++ }}
	c := &conn{server: n, nc: near, writing: true, attempt: &attempt{timer: time.NewTimer(time.Minute)}}
	n.conns = map[*conn]bool{c: true}
	c.attempt.conn = c
	n.onAnswer(c, answer{})
	early := reports
	n.onWritten(c, nil)
	if diff := cmp.Diff([]int{0, 1, 1}, []int{early, reports, len(n.idle)}); diff != "" {
		t.Errorf("reports before and after the write, idle connections (-want +got):\n%s", diff)
	}
}

// Bytes that a server sends after an answer may still be on their way, so a connection settles after each answer. takeIdle must
// return the settled connection used last, so that the others expire. If none has settled, it must return the one that has been
// idle for longest, or none if answers may be equal.
func TestConnectionsSettleBetweenAttempts(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		idleFor []time.Duration // time since the last use of each connection, the least recently used first
		want    int             // index of the connection to be taken; -1: none
		alike   bool            // two answers were equal
	}{
		"all have settled": {[]time.Duration{3 * time.Minute, 2 * time.Minute, time.Minute}, 2, true},
		"the last has not": {[]time.Duration{3 * time.Minute, 2 * time.Minute, 0}, 1, true},
		"none has":         {[]time.Duration{0, 0, 0}, 0, false},
		"none, alike":      {[]time.Duration{0, 0, 0}, -1, true},
	} {
		n := &server{transport: NewTransport(Options{SettleTime: SettleTime}, zerolog.Nop())}
		for digest := range uint64(minDistinct) {
			n.transport.answers.add(digest)
		}
		if c.alike {
			n.transport.answers.add(0)
		}
		for _, ago := range c.idleFor {
			n.idle = append(n.idle, &conn{answered: true, idleSince: now.Add(time.Second / 2).Add(-ago), idleTimer: time.NewTimer(time.Minute)})
		}
		idle := slices.Clone(n.idle)
		left := 2
		if c.want < 0 {
			left = 3
		}
		if got := slices.Index(idle, n.takeIdle()); got != c.want || len(n.idle) != left {
			t.Errorf("%s: took connection %d, want %d, and all others left idle", name, got, c.want)
		}
	}
}

func open(t *testing.T, stage *scenario.Stage, addr net.Addr) relay.Server {
	return openMember(t, stage, relay.Member{Addr: addr.String()}, nil)
}

func openMember(t *testing.T, stage *scenario.Stage, m relay.Member, gate *budget.Gate) relay.Server {
	n := openTransport(gate).Open(m, reportTo(stage))
	t.Cleanup(n.Close)
	return n
}

func openTransport(gate *budget.Gate) *Transport {
	return NewTransport(Options{DialTimeout: 5 * time.Second, ConnIdle: time.Minute,
		DrainGrace: 500 * time.Millisecond, MaxConns: 2, Gate: gate}, zerolog.Nop())
}

// reportTo returns a report function that passes results to a stage as events.
func reportTo(stage *scenario.Stage) func(relay.AttemptID, relay.Result) {
	return func(id relay.AttemptID, r relay.Result) {
		r.Charge.Release()
		stage.Event(strings.TrimSpace(fmt.Sprintf("%d %s %s", id.Request, outcomes[r.Outcome], r.Body)))
	}
}

// newAttempt returns an attempt of the request whose number is id. It times out after timeout.
func newAttempt(id string, timeout time.Duration) relay.Attempt {
	c := relay.Attempt{Deadline: time.Now().Add(timeout), Payload: &relay.Payload{
		Method: "POST", Target: "/pay//a/../b?q=%41", Body: []byte("body"), CallID: "c1", IdempotencyKey: "k"}}
	if _, err := fmt.Sscan(id, &c.ID.Request); err != nil {
		panic(err) // an error in a scenario
	}
	return c
}

// TrimIdle must close a connection that has been idle for longer than minIdleTime, and keep one that the next attempt may need.
func TestTrimLeavesWhatIsInUse(t *testing.T) {
	near, _ := net.Pipe()
	n := &server{transport: NewTransport(Options{}, zerolog.Nop()), mailbox: mailbox.New(), conns: map[*conn]bool{}}
	for _, idleFor := range []time.Duration{time.Minute, 0} {
		c := &conn{server: n, nc: near, closed: make(chan struct{}), idleSince: time.Now().Add(-idleFor), idleTimer: time.NewTimer(time.Minute)}
		n.idle, n.conns[c] = append(n.idle, c), true
	}
	young := n.idle[1]
	n.TrimIdle()
	n.mailbox.Close()
	n.mailbox.Run()
	if len(n.idle) != 1 || n.idle[0] != young {
		t.Errorf("%d idle connections left, want only the one that was just used", len(n.idle))
	}
}
