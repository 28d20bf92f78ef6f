package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/budget"
	"fieldrelay/logic"
)

// bench stands in for the front, the execute nodes and the list, and writes down what they are told.
type bench struct {
	*Relay
	gate   *budget.Gate
	lines  []string
	taken  uint64
	report func(AttemptID, Result)
	claims map[uint64]Attempt // the last one of each job
}

// newBench starts a relay of these settings, with an observer where there is one, until the test ends. It is called in a bubble.
func newBench(t *testing.T, cfg logic.Config, seed uint64, o Observer) *bench {
	t.Helper()
	b := &bench{claims: map[uint64]Attempt{}, gate: budget.NewGate(1<<24, 1)}
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
	return &benchNode{b, m.ID}
}

func (b *bench) Watch() { b.note("watch") }

type benchNode struct {
	b  *bench
	id uint64
}

func (n *benchNode) Start(c Attempt) {
	n.b.claims[c.ID.Request] = c
	n.b.note("claim %d.%d at %d for %v", c.ID.Request, c.ID.Attempt, n.id, time.Until(c.Deadline))
}
func (n *benchNode) Cancel(id AttemptID) { n.b.note("cancel %d.%d", id.Request, id.Attempt) }
func (n *benchNode) CloseIdle()          {}
func (n *benchNode) TrimIdle()           {}
func (n *benchNode) Update(m Member)     { n.b.note("node %d state %d", n.id, m.State) }
func (n *benchNode) Close()              { n.b.note("node %d closed", n.id) }

// submit gives the relay a job whose submitter waits for a second.
func (b *bench) submit(class string) uint64 {
	b.taken++
	id := b.taken
	b.submitAs(id, fmt.Sprint("call", id), class)
	return id
}

func (b *bench) submitAs(id uint64, call, class string) {
	b.Submit(Request{Class: class, Expires: time.Now().Add(time.Second), Payload: &Payload{CallID: call, Charge: b.gate.Must(budget.Jobs, 1)}, Answer: func(a Answer) {
		a.Charge.Release()
		b.note("answer %d %s%s", id, [...]string{"served ", "requeue", "failed", "again"}[a.Kind], a.Body)
	}})
	synctest.Wait()
}

func (b *bench) outcome(job uint64, o logic.Outcome, body string) {
	b.report(b.claims[job].ID, Result{Outcome: o, At: time.Now(), Body: []byte(body),
		Charge: b.gate.Must(budget.Answers, int64(len(body)))})
	synctest.Wait()
}

func (b *bench) list(complete bool, members ...Member) {
	b.UpdateMembers(Members{Complete: complete, Members: members})
	synctest.Wait()
}

func member(id uint64, state logic.State) Member {
	return Member{Server: logic.Server{ID: id, State: state}}
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		play func(*bench)
		want string
	}{
		"served": {func(b *bench) {
			id := b.submit("safe")
			b.outcome(id, logic.Done, "hi")
		}, "claim 1.0 at 8 for 1s, answer 1 served hi"},
		"the next claim follows the outcome of the last": {func(b *bench) {
			id := b.submit("safe")
			b.outcome(id, logic.Refused, "")
			b.outcome(id, logic.Done, "hi")
		}, "claim 1.0 at 8 for 1s, claim 1.1 at 8 for 1s, answer 1 served hi"},
		"a job that the module does not know of fails at once": {func(b *bench) {
			b.submit("odd")
		}, "answer 1 failed"},
		// A late answer crosses the end of the time: one answer, and the claim is still told to the module.
		"the end of the time and an answer cross": {func(b *bench) {
			id := b.submit("safe")
			time.Sleep(time.Second)
			b.outcome(id, logic.Done, "late")
		}, "claim 1.0 at 8 for 1s, answer 1 requeue, cancel 1.0"},
		"a withdrawal and an answer cross": {func(b *bench) {
			id := b.submit("safe")
			b.Withdraw(id)
			b.outcome(id, logic.Done, "late")
			b.Withdraw(id)
		}, "claim 1.0 at 8 for 1s, cancel 1.0"},
		"an unsafe job that may have run is not refused": {func(b *bench) {
			b.submit("unsafe")
			time.Sleep(time.Second)
		}, "claim 1.0 at 8 for 1s, answer 1 failed, cancel 1.0"},
		"a node that a whole list leaves out is gone, and closed once nothing is out": {func(b *bench) {
			id := b.submit("safe")
			b.list(true, member(9, logic.Ready))
			b.outcome(id, logic.Done, "hi")
		}, "claim 1.0 at 8 for 1s, node 8 state 2, answer 1 served hi, node 8 closed"},
		// Under the id of an open job a second copy of that would be out, and one of its answers go to another.
		"a job under the id of another": {func(b *bench) {
			id := b.submit("safe")
			b.submitAs(2, "call1", "safe")
			b.outcome(id, logic.Done, "hi")
			b.submitAs(3, "call1", "safe")
			time.Sleep(duplicateWindow)
			synctest.Wait()
			b.submitAs(4, "call1", "odd")
		}, "claim 1.0 at 8 for 1s, answer 2 again, answer 1 served hi, answer 3 again, answer 4 failed"},
		"a lost list is asked for again": {func(b *bench) {
			b.ListLost(time.Time{})
			time.Sleep(time.Second)
		}, "watch"},
		// A panic in the module costs its open jobs, not the process; the next job is served.
		"a panic of the module": {func(b *bench) {
			b.submit("safe")
			b.mailbox.Put(func() { b.balancer = &logic.Balancer{} })
			b.list(false, member(8, logic.Ready))
			b.outcome(1, logic.Canceled, "")
			id := b.submit("safe")
			b.outcome(id, logic.Done, "hi")
		}, "claim 1.0 at 8 for 1s, node 8 state 0, cancel 1.0, answer 1 failed, node 8 state 0, watch, " +
			"claim 2.0 at 8 for 1s, answer 2 served hi"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &bench{claims: map[uint64]Attempt{}, gate: budget.NewGate(1<<20, 1)}
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
				b.list(false, member(8, logic.Ready))
				c.play(b)
				synctest.Wait()
				if diff := cmp.Diff(strings.Split(c.want, ", "), b.lines); diff != "" {
					t.Errorf("told (-want +got):\n%s", diff)
				}
				if held := b.gate.State().Sum(); held != int64(len(b.requests)) {
					t.Errorf("%d bytes held for %d jobs", held, len(b.requests))
				}
				if len(b.requests) != 0 && !strings.HasPrefix(name, "an unsafe") {
					t.Errorf("%d jobs are kept", len(b.requests))
				}
			})
		})
	}
}

// The module's times compare with those in the list, and a wake-up never comes early: woken before its time, it
// would drop the wake-up and hold the job past its end.
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

// A request is wanted until its final answer or its client's leaving, and that is told to whoever still holds a claim of it,
// also where the module may not call claims off.
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
				request := b.claims[job].Payload
				before := request.Wanted()
				end(b, job)
				synctest.Wait()
				if after := request.Wanted(); !before || after {
					t.Errorf("wanted before %t, after %t", before, after)
				}
				gone := Payload{ClientGone: func() bool { return true }}
				if gone.Wanted() {
					t.Error("wanted though its client has gone")
				}
			})
		})
	}
}
