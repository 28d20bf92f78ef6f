package http

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/testkit/scenario"
)

// scriptedRelay is a fake relay: it records each call as an event and answers as the scenario says.
type scriptedRelay struct {
	stage    *scenario.Stage
	gate     *budget.Gate
	requests chan relay.Request
}

func (s *scriptedRelay) Submit(req relay.Request) uint64 {
	text := fmt.Sprintf("request %s %s %s%s%s hint=%v", req.Class, req.Payload.Method, req.Payload.Target, req.Payload.IdempotencyKey,
		req.Payload.Body, req.ExpectedWork)
	if req.Tenant != "" {
		text += " caller=" + req.Tenant
	}
	s.stage.Event(text)
	s.requests <- req
	return 7
}
func (s *scriptedRelay) Withdraw(id uint64) {
	s.stage.Event(fmt.Sprint("withdrawn ", id))
	req := <-s.requests
	req.Answer(relay.Answer{Charge: s.gate.ForceReserve(budget.Answers, 9)}) // the answer races with the withdrawal
	req.Payload.Charge.Release()
}
func (s *scriptedRelay) Ready() bool { return true }

func (s *scriptedRelay) answer(text string) {
	req := <-s.requests
	defer req.Payload.Charge.Release() // as the relay does once the request has ended
	switch kind, body, _ := strings.Cut(text, " "); kind {
	case "served":
		req.Answer(relay.Answer{Body: []byte(body), ContentType: "text/x", Charge: s.gate.ForceReserve(budget.Answers, int64(len(body)))})
	case "rejected":
		req.Answer(relay.Answer{Kind: relay.Rejected, RetryAfter: 250 * time.Millisecond})
	case "failed":
		req.Answer(relay.Answer{Kind: relay.Failed})
	case "duplicate":
		req.Answer(relay.Answer{Kind: relay.Duplicate})
	}
}

const head = ` HTTP/1.1\r\nHost: o\r\nX-Call-Id: c1\r\nX-Budget: 0.5\r\n`

// unreadable returns a scenario in which a malformed request is answered by 400 and the end of the connection, and the request
// that follows it is not served.
func unreadable(text string) string {
	return `a send POST /pay` + head + `Idempotency-Key: k\r\n` + text + `GET /look` + head + `\r\n` + "\n a expect HTTP/1.1 400\n a wait"
}

func TestServer(t *testing.T) {
	big := fmt.Sprint(relay.MaxBodySize + 1)
	for name, steps := range map[string]string{
		"served unchanged, then the next request": `
			a send GET /look/x?q=%41` + head + `X-Call-Cost: 2500\r\n\r\n
			wait request look GET /look/x?q=%41 hint=2.5ms
			relay send served one
			a expect 200 OK
			a expect \r\n\r\none
			a send POST /pay` + head + `Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi
			wait request pay POST /paykhi hint=0s
			relay send rejected
			a expect 503
			a expect Retry-After: 0.250`,
		"failed": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			relay send failed
			a expect 502`,
		// fasthttp does not notify a handler that its client has disconnected.
		"a client that leaves withdraws its request": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			a close
			wait withdrawn 7`,
		// The end of the connection follows the bytes of the next request, which are not read yet.
		"a client that pipelines a request and leaves withdraws its request": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			a send GET /look/2` + head + `\r\n
			a close
			wait withdrawn 7`,
		"a client that pipelines many requests and leaves withdraws its request": `
			a send ` + strings.Repeat(`GET /look`+head+`\r\n`, 200) + `
			wait request look GET /look hint=0s
			a close
			wait withdrawn 7`,
		"a client that pipelines a request and half-closes gets no answer": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			a send GET /look/2` + head + `\r\n
			a half-close
			wait withdrawn 7
			a wait nothing`,
		"a client that half-closes gets no answer": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			a half-close
			wait withdrawn 7
			a wait nothing`,
		// An answer must not be delayed until the next request has arrived.
		"two requests at once": `
			a send GET /look` + head + `\r\nGET /look/2` + head + `\r\n
			wait request look GET /look hint=0s
			relay send served one
			a expect one
			wait request look GET /look/2 hint=0s
			relay send served two
			a expect two`,
		// The watch during a request reads the first byte of the next request, which must not be lost.
		"the next request may come early": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			a send GET /look/2` + head + `\r\n
			relay send served one
			a expect one
			wait request look GET /look/2 hint=0s
			relay send served two
			a expect two`,
		// Malformed requests are rejected by the HTTP server and do not reach the relay.
		"no id":      `a send GET /look HTTP/1.1\r\nHost: o\r\nX-Budget: 1\r\n\r\n` + "\n a expect 400",
		"odd id":     `a send GET /look HTTP/1.1\r\nHost: o\r\nX-Budget: 1\r\nX-Call-Id: a b\r\n\r\n` + "\n a expect 400",
		"no budget":  `a send GET /look HTTP/1.1\r\nHost: o\r\nX-Call-Id: c\r\n\r\n` + "\n a expect 400",
		"odd budget": `a send GET /look HTTP/1.1\r\nHost: o\r\nX-Call-Id: c\r\nX-Budget: NaN\r\n\r\n` + "\n a expect 400",
		"odd hint":   `a send GET /look` + head + `X-Call-Cost: -1\r\n\r\n` + "\n a expect 400",
		"no key":     `a send POST /pay` + head + `Content-Length: 0\r\n\r\n` + "\n a expect 400",
		"odd key":    `a send POST /once` + head + `Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n` + "\n a expect 400",
		// A request of an unsafe class needs no idempotency key: it is sent only once anyway.
		"single shot without a key": `
			a send POST /once` + head + `Content-Length: 2\r\n\r\nhi
			wait request once POST /oncehi hint=0s
			relay send served done
			a expect done`,
		// The tenant must be one of the settings. An unknown or malformed tenant, or two headers, are rejected.
		"a tenant of the settings": `
			a send GET /look` + head + `X-Caller: novakovi\r\n\r\n
			wait request look GET /look hint=0s caller=novakovi
			relay send served one
			a expect one`,
		"no tenant named": `a send GET /look` + head + `X-Caller: acme\r\n\r\n` + "\n a expect 400",
		"odd tenant":      `a send GET /look` + head + `X-Caller: nova kovi\r\n\r\n` + "\n a expect 400",
		"two tenants":     `a send GET /look` + head + `X-Caller: novakovi\r\nX-Caller: novakovi\r\n\r\n` + "\n a expect 400",
		"no class":        `a send GET /none` + head + `\r\n` + "\n a expect 404",
		"wrong method":    `a send GET /pay` + head + `\r\n` + "\n a expect 405",
		"large body":      `a send POST /pay` + head + `Idempotency-Key: k\r\nContent-Length: ` + big + `\r\n\r\n` + "\n a expect 413",
		"long budget":     `a send GET /look HTTP/1.1\r\nHost: o\r\nX-Call-Id: c\r\nX-Budget: 1e999\r\n\r\n` + "\n a expect 400",
		"hex budget":      `a send GET /look HTTP/1.1\r\nHost: o\r\nX-Call-Id: c\r\nX-Budget: 0x1\r\n\r\n` + "\n a expect 400",
		"two ids":         `a send GET /look` + head + `X-Call-Id: c2\r\n\r\n` + "\n a expect 400",
		"two budgets":     `a send GET /look` + head + `X-Budget: 2\r\n\r\n` + "\n a expect 400",
		// A body with two stated lengths or an invalid one may hide another request (request smuggling): no part of it may
		// be taken for a request, here or at a server.
		"both lengths":     unreadable(`Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`),
		"both, other way":  unreadable(`transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n`),
		"identity":         unreadable(`Content-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nhi`),
		"two codings":      unreadable(`Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`),
		"odd coding":       unreadable(`Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`),
		"two lengths":      unreadable(`Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi`),
		"listed lengths":   unreadable(`Content-Length: 2, 2\r\n\r\nhi`),
		"signed length":    unreadable(`Content-Length: +2\r\n\r\nhi`),
		"negative length":  unreadable(`Content-Length: -2\r\n\r\nhi`),
		"length past all":  unreadable(`Content-Length: 99999999999999999999\r\n\r\nhi`),
		"odd chunk":        unreadable(`Transfer-Encoding: chunked\r\n\r\nzz\r\n`),
		"space in a name":  unreadable(`Content-Length : 2\r\n\r\nhi`),
		"not HTTP":         `a send \x16\x03\x01\r\n\r\n` + "\n a expect 400\n a wait",
		"head without end": `a send GET /look HTTP/1.1\r\n` + strings.Repeat(`X-More: of the same\r\n`, 400) + "\n a wait",
		"the id of another": `
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			relay send duplicate
			a expect 409`,
		"ready": `a send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n` + "\n a expect 200",
		// While paused, /ready fails and closes its connection, idle connections are closed, and a pending request is
		// answered with Connection: close. After Resume /ready succeeds again.
		"pause and resume": `
			idle send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			relay send served first
			idle expect first
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			pause send now
			idle wait
			relay send served last
			a expect Connection: close
			a expect last
			a wait
			b send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n
			b expect 503
			b wait
			resume send now
			c send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n
			c expect 200`,
		// At a shutdown, a pending request is answered and its connection closed; idle connections are closed at once.
		"shutdown": `
			idle send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n
			idle expect 200
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			shutdown send now
			idle wait
			relay send served last
			a expect Connection: close
			a expect last
			a wait
			wait shut down <nil>`,
	} {
		t.Run(name, func(t *testing.T) {
			ln := scenario.Listen(t)
			stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
			gate := budget.NewGate(8<<20, 9)
			r := &scriptedRelay{stage, gate, make(chan relay.Request, 9)}
			f := New(r, Options{Gate: gate, ClassSettings: []logic.Class{{Name: "look"}, {Name: "pay", Effect: logic.Keyed},
				{Name: "once", Effect: logic.Unsafe}}, Tenants: []logic.Tenant{{Name: "novakovi", Share: 0.39}}}, zerolog.Nop())
			f.SetMaxConns(10)
			start(f, ln)
			stage.Calls["relay"] = r.answer
			stage.Calls["pause"] = func(string) { f.Pause() }
			stage.Calls["resume"] = func(string) { f.Resume() }
			stage.Calls["shutdown"] = func(string) {
				go func() { stage.Event(fmt.Sprint("shut down ", f.Shutdown(context.Background()))) }()
			}
			stage.Play(t, steps)
			scenario.Await(t, "all charges are released", func() bool { return gate.State().Sum() == 0 })
		})
	}
}

// While the byte budget is exhausted, a large body must stay unread, and its client must be told in time when to retry. Small
// requests must still be served.
func TestShortOfBytes(t *testing.T) {
	const post = `POST /pay` + head + `Idempotency-Key: k\r\n`
	large := strings.Repeat("x", 60<<10)
	whole := post + fmt.Sprint(`Content-Length: `, len(large)) + `\r\n\r\n` + large
	inChunks := post + `Transfer-Encoding: chunked\r\n\r\n` + fmt.Sprintf("%x", len(large)) + `\r\n` + large + `\r\n0\r\n\r\n`
	for name, steps := range map[string]string{
		"rejected, and the connection stays open": `
			a send ` + whole + `
			a expect 503
			a expect Retry-After: 
			a expect \r\n\r\nshort of memory
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			relay send served one
			a expect one`,
		"rejected while its chunks arrive": `
			a send ` + inChunks + `
			a expect 503
			a send GET /look` + head + `\r\n
			wait request look GET /look hint=0s
			relay send served one
			a expect one`,
		"small requests are served": `
			a send ` + whole + `
			b send ` + post + `Content-Length: 2\r\n\r\nhi
			wait request pay POST /paykhi hint=0s
			relay send served one
			b expect one
			a expect 503`,
		"served once the budget has bytes": `
			a send ` + whole + `
			room send now
			wait request pay POST /payk` + large + ` hint=0s
			relay send served one
			a expect one`,
		"chunked, served once the budget has bytes": `
			a send ` + inChunks + `
			room send now
			wait request pay POST /payk` + large + ` hint=0s
			relay send served one
			a expect one`,
		"the charge of an incomplete body is released": `
			room send now
			a send ` + whole[:len(whole)-9] + `
			a expect 408
			a wait`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := scenario.Listen(t)
			stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
			gate := budget.NewGate(1<<20, 9)
			r := &scriptedRelay{stage, gate, make(chan relay.Request, 9)}
			f := New(r, Options{Gate: gate, Limits: logic.Limits{RetryAfter: true},
				ClassSettings: []logic.Class{{Name: "look"}, {Name: "pay", Effect: logic.Keyed}}}, zerolog.Nop())
			f.SetMaxConns(10)
			start(f, ln)
			var taken []*budget.Charge
			take := func() (err error) {
				c, err := gate.Reserve(budget.Reservation{Kind: budget.Requests, Bytes: 64 << 10, Value: 1}, time.Now(), nil)
				if err == nil {
					taken = append(taken, c)
				}
				return err
			}
			for take() == nil {
			}
			taken[0].Release() // lets the gate estimate the rate at which bytes are released
			taken = taken[1:]
			if err := take(); err != nil {
				t.Fatal(err)
			}
			room := func(string) {
				for _, c := range taken {
					c.Release()
				}
				taken = nil
			}
			stage.Calls["relay"], stage.Calls["room"] = r.answer, room
			stage.Play(t, steps)
			room("")
			scenario.Await(t, "all charges are released", func() bool { return gate.State().Sum() == 0 })
		})
	}
}

// A connection beyond the limit must wait until another one ends, and must not be rejected.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	ln := scenario.Listen(t)
	stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
	f := New(&scriptedRelay{stage: stage}, Options{}, zerolog.Nop())
	f.SetMaxConns(1)
	start(f, ln)
	const ask = ` send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n` + "\n"
	stage.Play(t, "a"+ask+"a expect 200\n b"+ask+"a close\n b expect 200")
}

// If a new connection waits for the byte budget, a connection whose request has stalled must be evicted before its read
// time-out.
func TestStalledRequestsMakeRoom(t *testing.T) {
	ln := scenario.Listen(t)
	stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
	gate := budget.NewGate(1<<20, 9)
	for gate.FitsConn(2*connBytes + busyBytes) {
		gate.ForceReserve(budget.Lists, 1<<10)
	}
	f := New(&scriptedRelay{stage: stage}, Options{Gate: gate}, zerolog.Nop())
	f.SetMaxConns(10)
	start(f, ln)
	start := time.Now()
	stage.Play(t, "a send GET /rea\n b send GET /ready HTTP/1.1\\r\\nHost: o\\r\\n\\r\\n\n a expect 408\n a wait\n b expect 200")
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the scenario took %v, want at most 2s", took)
	}
}

// Clients that send nothing, never disconnect or never complete a request must not lock out other clients, and an incomplete
// request must be answered in time.
func TestSlotsAreFreed(t *testing.T) {
	const ask = ` send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n` + "\n"
	const busy = "\n b" + ask + "b expect 200" // there is one slot
	for name, steps := range map[string]string{
		"idle after one request":  "a" + ask + "a expect \\r\\n\\r\\n" + busy + "\n a wait nothing",
		"silent from the start":   "a send " + busy + "\n a wait nothing",
		"silent with a free slot": "a wait nothing",
		"half a head":             "a send GET /rea" + busy + "\n a expect 408",
		"half a body": `a send POST /pay` + head + `Idempotency-Key: k\r\nContent-Length: 9\r\n\r\nhi
			a expect 408
			a wait`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := scenario.Listen(t)
			stage := scenario.NewStage(scenario.Dialer(ln.Addr().String()))
			f := New(&scriptedRelay{stage: stage}, Options{ClassSettings: []logic.Class{{Name: "pay", Effect: logic.Keyed}}}, zerolog.Nop())
			f.SetMaxConns(1)
			start(f, ln)
			start := time.Now()
			stage.Play(t, steps)
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("the scenario took %v, want at most 2s", took)
			}
		})
	}
}
