package http

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/relay"
	"fieldrelay/internal/scenario"
)

// burst is a node in a bubble of fake time whose every answer takes a while. All differ, or all are alike.
type burst struct {
	node   *node
	opened atomic.Int64
	served chan struct{}
	asked  int
}

const burstIdle, burstWork = 30 * time.Second, 10 * time.Millisecond

func newBurst(alike bool) *burst {
	b := &burst{served: make(chan struct{}, 1024)}
	nodes := NewNodes(Options{DialTimeout: time.Second, ConnIdle: burstIdle, MaxConns: 64, Settle: Settle,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			number := b.opened.Add(1)
			go answerAll(far, number, alike)
			return near, nil
		}}, zerolog.Nop())
	b.node = nodes.Open(relay.Member{Addr: "node:1"}, func(relay.ClaimID, relay.Result) { b.served <- struct{}{} }).(*node)
	return b
}

func answerAll(far net.Conn, number int64, alike bool) {
	requests := bufio.NewReader(far)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		time.Sleep(burstWork) // fake time: the node's work
		body := fmt.Sprintf("%d of connection %d", n, number)
		if alike {
			body = "answered"
		}
		fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// claim asks for a number of claims at once and waits for all.
func (b *burst) claim(count int) {
	for range count {
		b.asked++
		b.node.Claim(aClaim(fmt.Sprint(b.asked), time.Minute))
	}
	for range count {
		<-b.served
	}
	synctest.Wait()
}

func (b *burst) idle() int {
	count := make(chan int, 1)
	b.node.box.Put(func() { count <- len(b.node.idle) })
	return <-count
}

// Connections that only a burst needed are closed, first what is over a few and then the rest, though the node goes on being
// asked all the time; none is opened anew meanwhile.
func TestAPoolShrinksAfterABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(false)
		defer b.node.Close()
		const most, pace = 24, 200 * time.Millisecond
		b.claim(most)
		got := []int{b.idle()}
		trickle := func(length time.Duration) {
			for range length / pace {
				time.Sleep(pace)
				b.claim(1)
			}
			got = append(got, b.idle())
		}
		trickle(trimmed - pace)
		trickle(most * pace)
		trickle(burstIdle)
		if diff := cmp.Diff([]int{most, most, keptIdle, 1}, got); diff != "" {
			t.Errorf("idle after the burst, a second later, five and half a minute (-want +got):\n%s", diff)
		}
		if b.opened.Load() != most {
			t.Errorf("%d connections were opened, want %d", b.opened.Load(), most)
		}
	})
}

// The idle time of a connection counts from its last use, however often its end was put off, and ends before the node's.
func TestIdleTimeCountsFromTheLastUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(false)
		defer b.node.Close()
		const early = time.Duration((1 - idleMargin) * float64(burstIdle))
		for range 3 {
			b.claim(1)
			time.Sleep(early - time.Millisecond)
			synctest.Wait()
			if b.idle() != 1 {
				t.Fatal("closed before its time")
			}
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if b.idle() != 0 || b.opened.Load() != 1 {
			t.Errorf("%d idle of %d opened; want none of 1", b.idle(), b.opened.Load())
		}
	})
}

// countedSocket counts the looks at a connection's socket: those of who writes, and the waits of the reader.
type countedSocket struct {
	*net.TCPConn
	looks, waits *atomic.Int64
}

type countedRaw struct {
	syscall.RawConn
	of countedSocket
}

func (c countedSocket) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return countedRaw{raw, c}, err
}

func (r countedRaw) Control(f func(fd uintptr)) error {
	r.of.looks.Add(1)
	return r.RawConn.Control(f)
}

func (r countedRaw) Read(f func(fd uintptr) bool) error {
	r.of.waits.Add(1)
	return r.RawConn.Read(f)
}

// A socket is looked at once for each claim, just before its first byte, and its reader waits once for each answer.
func TestOneLookARequest(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("looked at on Linux only")
	}
	var looks, waits atomic.Int64
	opts := Options{DialTimeout: time.Minute, ConnIdle: time.Minute, MaxConns: 9, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countedSocket{nc.(*net.TCPConn), &looks, &waits}, nil
	}}
	ln := scenario.Listen(t)
	stage := scenario.NewStage(scenario.Accepter(ln))
	n := NewNodes(opts, zerolog.Nop()).Open(relay.Member{Addr: ln.Addr().String()}, tell(stage))
	t.Cleanup(n.Close)
	stage.Calls["claim"] = func(id string) { n.Claim(aClaim(id, time.Minute)) }
	const claims = 8
	steps := ""
	for i := range claims {
		steps += fmt.Sprintf("claim send %d\n a expect body\n a send %s\n wait %d done hi\n", i, ok, i)
	}
	stage.Play(t, steps)
	if got := looks.Load(); got != claims {
		t.Errorf("%d looks for %d claims", got, claims)
	}
	if got := waits.Load(); got > claims+1 {
		t.Errorf("the reader waited %d times for %d answers", got, claims)
	}
}
