package platform

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/source/endpoints"
	"fieldrelay/internal/testkit/scenario"
)

// recordingSink is a sink that records its calls, in place of the relay.
type recordingSink struct{ *scenario.Stage }

func (s recordingSink) ListLost(notifiedAt time.Time) {
	switch left := time.Until(notifiedAt); {
	case left <= 0:
		s.Event("lost, notified already")
	default:
		s.Event(fmt.Sprintf("lost, notified within %ds", int(left.Seconds())+1))
	}
}
func (s recordingSink) UpdateMembers(l relay.Members) {
	text := fmt.Sprintf("complete=%t stored=%t", l.Complete, l.Stored)
	for _, m := range l.Members {
		text += fmt.Sprintf(" %s/%d/%s", m.Addr, m.State, m.Since)
	}
	s.Event(text)
}

const (
	head   = `d send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	begin  = "watch send now\n d expect GET /v1/endpoints?watch=1&after=4 HTTP/1.1\\r\\n\n d expect \\r\\n\\r\\n\n"
	change = `{"generation":5,"reset":false,"instances":[{"instanceId":"x","hostPort":"h:1","lifecycle":"Terminating","startedAtMs":7}]}\n`
)

func chunk(text string) string {
	return fmt.Sprintf(`%x\r\n%s\r\n`, len(strings.ReplaceAll(text, `\n`, "n")), text)
}

func TestWatch(t *testing.T) {
	stored := "wait complete=true stored=true h:9/0/0s\n"
	for name, steps := range map[string]string{
		"changes are told, and the next watch asks for what came after": begin + head + chunk(change) + `
			wait complete=false stored=false h:1/1/7ms
			d close
			wait lost, notified within 6s
			watch send now
			e expect after=5 HTTP`,
		"an empty line is no change":     begin + head + chunk(`\n`) + chunk(change) + "\n wait complete=false stored=false h:1/1/7ms",
		"a refusal is a loss":            begin + `d send HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n` + "\n wait lost, notified within 6s",
		"a malformed line is a loss":     begin + head + chunk(`{"generation":x}\n`) + "\n wait lost, notified within 6s\n d wait",
		"an unknown lifecycle is a loss": begin + head + chunk(strings.Replace(change, "Terminating", "Odd", 1)) + "\n wait lost, notified within 6s\n d wait",
		"a long line is a loss":          begin + head + `200000\r\n{"generation":4,"note":"` + strings.Repeat("x", maxObjectBytes) + "\n wait lost, notified within 6s\n d wait",
		// Discovery writes every 2 s: a watch on which nothing arrives is lost, although its connection stays open.
		"a call that is not answered is a loss": begin + "wait lost, notified within 4s\n d wait",
		"a watch that tells nothing is a loss":  begin + head + "\n wait lost, notified within 4s\n d wait",
		// A lost watch missed changes since its last line. They count as notified 6 s after it, so 3.5 s are left when the
		// idle timeout of 2.5 s expires. That time stands for each further call until a watch begins.
		"silence is a loss with little time left": begin + head + chunk(change) + `
			wait complete=false stored=false h:1/1/7ms
			wait lost, notified within 4s
			d wait
			watch send now
			e expect after=5 HTTP
			e send HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n
			wait lost, notified within 4s
			watch send now
			f expect after=5 HTTP
			f ` + strings.TrimPrefix(head, "d ") + chunk(strings.Replace(change, "5", "6", 1)) + `
			wait complete=false stored=false h:1/1/7ms
			f close
			wait lost, notified within 6s`,
		// Where lists are pushed, Watch is not called: the watch is opened at once, and again after each loss.
		"a kept watch": `keep send now
			d expect GET /v1/endpoints?watch=1&after=4 HTTP/1.1\r\n
			d expect \r\n\r\n
			` + head + chunk(change) + `
			wait complete=false stored=false h:1/1/7ms
			d close
			wait lost, notified within 6s
			e expect after=5 HTTP
			e send HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n
			wait lost, notified within 6s
			f expect after=5 HTTP`,
		"a move that fails leaves little time": begin + head + `
			move send away
			d wait
			moved expect GET /v1/endpoints?watch=1 HTTP/1.1\r\n
			moved send HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n
			wait lost, notified within 4s`,
		// A second call of Watch replaces the watch; the first watch must not be reported as lost.
		"a new watch ends the old one": begin + head + `
			watch send again
			d wait
			e expect after=4 HTTP`,
		// Another discovery numbers generations by itself: asked for the changes after a generation of the previous one, it
		// would leave out changes. The previous watch ends without a report, and later ones go to the new address.
		"discovery moves": begin + head + `
			move send away
			d wait
			moved expect GET /v1/endpoints?watch=1 HTTP/1.1\r\n
			moved ` + strings.TrimPrefix(head, "d ") + chunk(strings.Replace(change, "false", "true", 1)) + `
			wait complete=true stored=false h:1/1/7ms
			move send to the same address
			watch send now
			moved wait
			moved2 expect after=5 HTTP`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, next := scenario.Listen(t), scenario.Listen(t)
			stage := scenario.NewStage(func(peer string) (net.Conn, error) {
				if strings.HasPrefix(peer, "moved") {
					return scenario.Accepter(next)(peer)
				}
				return scenario.Accepter(ln)(peer)
			})
			a := New(ln.Addr().String(), recordingSink{stage}, nil, zerolog.Nop())
			known, err := endpoints.Parse([]byte(`{"generation":4,"instances":[{"instanceId":"x","hostPort":"h:9","lifecycle":"Ready"}]}`))
			if err != nil {
				t.Fatal(err)
			}
			a.Start(known)
			t.Cleanup(a.Close)
			stage.Calls["keep"] = func(string) { a.KeepWatching() }
			stage.Calls["watch"] = func(string) { a.Watch() }
			stage.Calls["move"] = func(string) { a.SetAddr(next.Addr().String()) }
			stage.Play(t, stored+steps)
		})
	}
}

// After half an object, empty lines do not keep the watch open, since the rest of the object may never come: the watch is lost
// as if nothing had arrived. Between two objects empty lines keep it open.
func TestEmptyLinesWithinAnObjectAreNoSign(t *testing.T) {
	half, _, _ := strings.Cut(change, `{"instanceId"`)
	for name, c := range map[string]struct{ object, want string }{
		"between objects":     {change, "complete=false stored=false h:1/1/7ms"},
		"within an object":    {half, "lost, notified within 4s"},
		"within the next one": {change + half, "complete=false stored=false h:1/1/7ms"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := scenario.Listen(t)
			stage := scenario.NewStage(scenario.Accepter(ln))
			a := New(ln.Addr().String(), recordingSink{stage}, nil, zerolog.Nop())
			a.Start(endpoints.List{})
			t.Cleanup(a.Close)
			a.Watch()
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = nc.Close() })
			text := strings.NewReplacer(`\r`, "\r", `\n`, "\n")
			if _, err := fmt.Fprint(nc, text.Replace(strings.TrimPrefix(head, "d send ")+chunk(c.object))); err != nil {
				t.Fatal(err)
			}
			beats := time.NewTicker(idleTimeout / 5)
			defer beats.Stop()
			begun := time.Now()
			ended := make(chan struct{})
			go func() { // until the watch is lost or, where it must not be, twice the idle timeout is over
				defer close(ended)
				for range beats.C {
					_, err := fmt.Fprint(nc, text.Replace(chunk(`\n`)))
					if err != nil || !strings.HasSuffix(c.object, half) && time.Since(begun) > 2*idleTimeout {
						return
					}
				}
			}()
			steps := "wait complete=true stored=true\n wait " + c.want
			if name == "within the next one" {
				steps += "\n wait lost, notified within 4s"
			}
			stage.Play(t, steps)
			<-ended
			stage.Play(t, "") // and nothing else was notified
		})
	}
}

// However a call failed (refused, answered with an error, cut, or hung in the dial or after it), the next call has at least
// half of the remaining time, and that is enough for a call: the worst case of the schedule is computed as a sum.
func TestTheCallAfterAFailureHasTimeLeft(t *testing.T) {
	left := notifiedAfterLoss - dialTimeout - idleTimeout // time left after a call that hung until its timeouts, counted from its begin
	if call := left - left/2; call < time.Second {
		t.Errorf("the next call has %s of the %s after which a change counts as notified", call, notifiedAfterLoss)
	}
	ln := scenario.Listen(t)
	if err := ln.Close(); err != nil { // nobody listens: refused
		t.Fatal(err)
	}
	for name, addr := range map[string]string{"refused": ln.Addr().String(), "hung": scenario.Listen(t).Addr().String()} {
		stage := scenario.NewStage(nil)
		a := New(addr, recordingSink{stage}, nil, zerolog.Nop())
		a.Start(endpoints.List{})
		a.Watch()
		want := map[string]string{"refused": "lost, notified within 6s", "hung": "lost, notified within 4s"}[name]
		stage.Play(t, "wait complete=true stored=true\n wait "+want)
		a.Close()
	}
}

// The decision module knows a server by an id that is the same after a restart, and no two servers share an id.
func TestIDsAreStable(t *testing.T) {
	a, b := New("", nil, nil, zerolog.Nop()), New("", nil, nil, zerolog.Nop())
	b.idOf("other")
	if diff := cmp.Diff(a.idOf("s-5be2a07c"), b.idOf("s-5be2a07c")); diff != "" {
		t.Error(diff)
	}
	first := a.idOf("first")
	delete(a.ids, "first")
	if a.idOf("first") == first {
		t.Error("two servers share an id")
	}
}
