package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
)

// bench is a relay with fake servers and a fake list. It records the calls that these receive and the answers.
type bench struct {
	*Relay
	gate      *budget.Gate
	lines     []string
	submitted uint64
	report    func(AttemptID, Result)
	attempts  map[uint64]Attempt // last attempt of each request
}

// newBench starts a relay with these settings, and with observer o unless that is nil, until the test ends. It must be called
// within a synctest bubble.
func newBench(t *testing.T, cfg logic.Config, seed uint64, o Observer) *bench {
	t.Helper()
	b := &bench{attempts: map[uint64]Attempt{}, gate: budget.NewGate(1<<24, 1)}
	var err error
	if b.Relay, err = New(cfg, seed, b, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	if o != nil {
		b.SetObserver(o)
	}
	b.Start(b)
	t.Cleanup(b.mailbox.Close)
	return b
}

func (b *bench) note(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

func (b *bench) Open(m Member, report func(AttemptID, Result)) Server {
	b.report = report
	return &benchServer{b, m.ID}
}

func (b *bench) Watch() { b.note("watch") }

type benchServer struct {
	b  *bench
	id uint64
}

func (n *benchServer) Start(c Attempt) {
	n.b.attempts[c.ID.Request] = c
	n.b.note("attempt %d.%d at %d for %v", c.ID.Request, c.ID.Attempt, n.id, time.Until(c.Deadline))
}
func (n *benchServer) Cancel(id AttemptID) { n.b.note("cancel %d.%d", id.Request, id.Attempt) }
func (n *benchServer) CloseIdle()          {}
func (n *benchServer) TrimIdle()           {}
func (n *benchServer) Update(m Member)     { n.b.note("server %d state %d", n.id, m.State) }
func (n *benchServer) Close()              { n.b.note("server %d closed", n.id) }

// submit submits a request whose client waits for one second, and returns its id.
func (b *bench) submit(class string) uint64 {
	b.submitted++
	id := b.submitted
	b.submitAs(id, fmt.Sprint("call", id), class)
	return id
}

func (b *bench) submitAs(id uint64, call, class string) {
	b.Submit(Request{Class: class, Expires: time.Now().Add(time.Second), Payload: &Payload{CallID: call, Charge: b.gate.ForceReserve(budget.Requests, 1)}, Answer: func(a Answer) {
		a.Charge.Release()
		b.note("answer %d %s%s", id, [...]string{"served ", "rejected", "failed", "duplicate"}[a.Kind], a.Body)
	}})
	synctest.Wait()
}

func (b *bench) outcome(request uint64, o logic.Outcome, body string) {
	b.report(b.attempts[request].ID, Result{Outcome: o, At: time.Now(), Body: []byte(body),
		Charge: b.gate.ForceReserve(budget.Answers, int64(len(body)))})
	synctest.Wait()
}

func (b *bench) list(complete bool, members ...Member) {
	b.UpdateMembers(Members{Complete: complete, Members: members})
	synctest.Wait()
}

// member is a ready server without a name.
func member(id uint64) Member {
	return Member{Server: logic.Server{ID: id}}
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		play func(*bench)
		want string
	}{
		"served": {func(b *bench) {
			id := b.submit("safe")
			b.outcome(id, logic.Done, "hi")
		}, "attempt 1.0 at 8 for 1s, answer 1 served hi"},
		"the next attempt follows the outcome of the last": {func(b *bench) {
			id := b.submit("safe")
			b.outcome(id, logic.Refused, "")
			b.outcome(id, logic.Done, "hi")
		}, "attempt 1.0 at 8 for 1s, attempt 1.1 at 8 for 1s, answer 1 served hi"},
		"a request of an unknown class fails at once": {func(b *bench) {
			b.submit("odd")
		}, "answer 1 failed"},
		// An answer arrives after the request has expired: the client gets one answer only, and the attempt is still
		// reported to the module.
		"expiry races with an answer": {func(b *bench) {
			id := b.submit("safe")
			time.Sleep(time.Second)
			b.outcome(id, logic.Done, "late")
		}, "attempt 1.0 at 8 for 1s, answer 1 rejected, cancel 1.0"},
		"withdrawal races with an answer": {func(b *bench) {
			id := b.submit("safe")
			b.Withdraw(id)
			b.outcome(id, logic.Done, "late")
			b.Withdraw(id)
		}, "attempt 1.0 at 8 for 1s, cancel 1.0"},
		"an unsafe request that may have run is not rejected": {func(b *bench) {
			b.submit("unsafe")
			time.Sleep(time.Second)
		}, "attempt 1.0 at 8 for 1s, answer 1 failed, cancel 1.0"},
		"a server missing from a complete list is closed once no attempt is pending": {func(b *bench) {
			id := b.submit("safe")
			b.list(true, member(9))
			b.outcome(id, logic.Done, "hi")
		}, "attempt 1.0 at 8 for 1s, server 8 state 2, answer 1 served hi, server 8 closed"},
		// Servers would take a request that reuses the call id of an open one for a second copy of it, and its client could
		// get the answer of the other request.
		"a request that reuses a call id": {func(b *bench) {
			id := b.submit("safe")
			b.submitAs(2, "call1", "safe")
			b.outcome(id, logic.Done, "hi")
			b.submitAs(3, "call1", "safe")
			time.Sleep(duplicateWindow)
			synctest.Wait()
			b.submitAs(4, "call1", "odd")
		}, "attempt 1.0 at 8 for 1s, answer 2 duplicate, answer 1 served hi, answer 3 duplicate, answer 4 failed"},
		"a lost list is requested again": {func(b *bench) {
			b.ListLost(time.Time{})
			time.Sleep(time.Second)
		}, "watch"},
		// A panic in the module fails the open requests only; the process goes on and serves the next request.
		"a panic of the module": {func(b *bench) {
			b.submit("safe")
			b.mailbox.Put(func() { b.balancer = &logic.Balancer{} })
			b.list(false, member(8))
			b.outcome(1, logic.Canceled, "")
			id := b.submit("safe")
			b.outcome(id, logic.Done, "hi")
		}, "attempt 1.0 at 8 for 1s, server 8 state 0, cancel 1.0, answer 1 failed, server 8 state 0, watch, " +
			"attempt 2.0 at 8 for 1s, answer 2 served hi"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &bench{attempts: map[uint64]Attempt{}, gate: budget.NewGate(1<<20, 1)}
				class := logic.Class{Name: "safe", LatencyTarget: 500 * time.Millisecond, Deadline: time.Second, LateValue: 0.5}
				unsafe := class
				unsafe.Name, unsafe.Effect = "unsafe", logic.Unsafe
				cfg := logic.Config{Tick: 5 * time.Millisecond, Subscribe: true, Classes: []logic.Class{class, unsafe},
					Contract: logic.Contract{ListInterval: 4 * time.Second},
					Limits:   logic.Limits{MaxAttempts: 3, Cancel: true}}
				var err error
				if b.Relay, err = New(cfg, 1, b, zerolog.Nop()); err != nil {
					t.Fatal(err)
				}
				b.Start(b)
				defer b.mailbox.Close()
				b.list(false, member(8))
				c.play(b)
				synctest.Wait()
				if diff := cmp.Diff(strings.Split(c.want, ", "), b.lines); diff != "" {
					t.Errorf("received (-want +got):\n%s", diff)
				}
				if held := b.gate.State().Sum(); held != int64(len(b.requests)) {
					t.Errorf("%d bytes charged to the budget for %d requests", held, len(b.requests))
				}
				if len(b.requests) != 0 && !strings.HasPrefix(name, "an unsafe") {
					t.Errorf("%d requests remain in the relay, want none", len(b.requests))
				}
			})
		})
	}
}

// The module's clock must be Unix time, so that its times can be compared with those in the list. A wake-up must never come
// early: the module would ignore it and keep the request past its expiry.
func TestClockIsUnixTimeAndWakesAreNotEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{}
		var err error
		if b.Relay, err = New(logic.Config{Classes: []logic.Class{{}}}, 1, b, zerolog.Nop()); err != nil {
			t.Fatal(err)
		}
		at := b.now() + 1500*time.Microsecond
		b.scheduleWake(at, logic.Timer{})
		time.Sleep(1500*time.Microsecond - time.Nanosecond)
		synctest.Wait()
		early := b.mailbox.Len()
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		got := []any{early, b.mailbox.Len(), b.now()}
		if diff := cmp.Diff([]any{0, 1, time.Duration(time.Now().UnixNano())}, got); diff != "" {
			t.Errorf("messages before and at the time, and the clock (-want +got):\n%s", diff)
		}
	})
}

// Payload.Wanted must return false once the request has its final answer or its client has left, even if the module may not
// cancel attempts: otherwise a waiting transport would still send an attempt.
func TestAnEndedRequestIsNotWanted(t *testing.T) {
	for name, end := range map[string]func(b *bench, job uint64){
		"withdrawn": func(b *bench, job uint64) { b.Withdraw(job) },
		"served":    func(b *bench, job uint64) { b.outcome(job, logic.Done, "x") },
		"expired":   func(*bench, uint64) { time.Sleep(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, logic.Config{Classes: []logic.Class{{Name: "c", LatencyTarget: time.Second, Deadline: time.Second}}}, 1, nil)
				b.UpdateMembers(Members{Complete: true, Members: []Member{{Server: logic.Server{ID: 1}, Addr: "h:1", ListedAt: time.Now()}}})
				job := b.submit("c")
				request := b.attempts[job].Payload
				before := request.Wanted()
				end(b, job)
				synctest.Wait()
				if after := request.Wanted(); !before || after {
					t.Errorf("Wanted before the end of the request: %t, want true; after it: %t, want false", before, after)
				}
				gone := Payload{ClientGone: func() bool { return true }}
				if gone.Wanted() {
					t.Error("Wanted is true for a request whose client has gone")
				}
			})
		})
	}
}
