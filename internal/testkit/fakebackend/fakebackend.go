// Package fakebackend plays the parties outside a sidecar: execute nodes and
// discovery, as the protocol page describes them. Each listens on a loopback
// port of its own and can be told to misbehave. Tests, measurements and
// demonstrations share them.
package fakebackend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	heartbeat = 2 * time.Second // of a watch on which nothing changes
	mostBody  = 1 << 20
)

// LargeBody is from how many bytes on the body of a job is large to a node.
const LargeBody = 32 << 10

// Node is an execute node that answers every job after Delay with a body of Size bytes, and one that came with a
// body of LargeBody or more after Slow. All may be changed while it serves.
type Node struct {
	Delay atomic.Int64 // nanoseconds
	Slow  atomic.Int64 // nanoseconds
	Size  atomic.Int64 // bytes of an answer
	Jobs  atomic.Int64 // answered or about to be
	Now   atomic.Int64 // in work,
	Peak  atomic.Int64 // and the most of that so far
	Fails atomic.Bool  // every job is answered with an error
	Heeds atomic.Bool  // work ends with the time that the job came with
	// Of a node that can do only so much: how many jobs it works at at a time (0: any number), how many more wait before it
	// turns jobs away, and for how long after its start it works at a third of its speed at first.
	Cores, Queue, Warmup int
	started              time.Time
	cores                chan struct{}
	waiting              atomic.Int64
	once                 sync.Once
	Tally                Tally // of connections; those of jobs are Came
	Came                 Tally
	// Ran is told of each job before it is answered; drop means that the node knows the key and does no work. Set it
	// before the first job comes; nil: none is told.
	Ran func(id, key, class string) (drop bool)
	// Work records who has how much in work. Set it before the first job comes; nil: nothing is recorded.
	Work   *WorkLog
	server *fasthttp.Server
	mu     sync.Mutex
	lns    []net.Listener // the first is that of Addr
}

// NewNode starts an execute node.
func NewNode(delay time.Duration, size int) (*Node, error) {
	n := &Node{started: time.Now()}
	n.Delay.Store(int64(delay))
	n.Size.Store(int64(size))
	n.server = &fasthttp.Server{Handler: n.serve, MaxRequestBodySize: mostBody, Concurrency: 1 << 16,
		DisablePreParseMultipartForm: true, ReduceMemoryUsage: true, Logger: discardLogger{},
		ConnState: func(_ net.Conn, s fasthttp.ConnState) {
			if s == fasthttp.StateNew {
				n.Tally.Add()
			}
		}}
	if _, err := n.Listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// Listen has the node take jobs at one more address, which tells who sent a job where each sender has its own.
func (n *Node) Listen() (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lns = append(n.lns, ln)
	go func() { _ = n.server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Addr is the first address of the node.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lns[0].Addr().String()
}

// Close ends the node's listeners; what it has taken goes on.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.lns {
		_ = ln.Close()
	}
}

// Tally keeps when something happened. The zero Tally is ready.
type Tally struct {
	mu sync.Mutex
	at []time.Time
}

// mostTally bounds a tally: the oldest half goes.
const mostTally = 1 << 20

// Add counts one now.
func (t *Tally) Add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.at) >= mostTally {
		t.at = append(t.at[:0], t.at[mostTally/2:]...)
	}
	t.at = append(t.at, time.Now())
}

// Times are those from a time on.
func (t *Tally) Times(from time.Time) (all []time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.at {
		if !at.Before(from) {
			all = append(all, at)
		}
	}
	return all
}

// Peak is the most within a window, of several tallies together, between two times.
func Peak(window time.Duration, from, to time.Time, tallies ...*Tally) (most int) {
	var all []time.Time
	for _, t := range tallies {
		for _, at := range t.Times(from) {
			if at.Before(to) {
				all = append(all, at)
			}
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	for first, last := 0, 0; last < len(all); last++ {
		for all[last].Sub(all[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// warmupSpeed is the part of its speed that a node begins with.
const warmupSpeed = 1.0 / 3

// work keeps one core busy for the time that a job takes there now. It tells whether there was room.
func (n *Node) work(delay time.Duration) bool {
	if n.Cores == 0 {
		time.Sleep(delay)
		return true
	}
	n.once.Do(func() { n.cores = make(chan struct{}, n.Cores) })
	if n.waiting.Add(1) > int64(n.Cores+n.Queue) {
		n.waiting.Add(-1)
		return false
	}
	defer n.waiting.Add(-1)
	n.cores <- struct{}{}
	defer func() { <-n.cores }()
	speed := 1.0
	if age := time.Since(n.started); n.Warmup > 0 && age < time.Duration(n.Warmup) {
		speed = warmupSpeed + (1-warmupSpeed)*float64(age)/float64(n.Warmup)
	}
	time.Sleep(time.Duration(float64(delay) / speed))
	return true
}

func (n *Node) serve(ctx *fasthttp.RequestCtx) {
	n.Jobs.Add(1)
	n.Came.Add()
	for now := n.Now.Add(1); ; {
		if peak := n.Peak.Load(); now <= peak || n.Peak.CompareAndSwap(peak, now) {
			break
		}
	}
	defer n.Now.Add(-1)
	if n.Work != nil {
		defer n.Work.begin(Job{Address: ctx.LocalAddr().String(), ID: string(ctx.Request.Header.Peek("X-Call-Id")), Began: time.Now(),
			Budget: string(ctx.Request.Header.Peek("X-Budget"))})()
	}
	delay := n.Delay.Load()
	if len(ctx.PostBody()) >= LargeBody {
		delay = n.Slow.Load()
	}
	if n.Ran != nil {
		class, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
		if n.Ran(string(ctx.Request.Header.Peek("X-Call-Id")), string(ctx.Request.Header.Peek("Idempotency-Key")), class) {
			delay = 0
		}
	}
	late := false
	if left, err := strconv.ParseFloat(string(ctx.Request.Header.Peek("X-Budget")), 64); err == nil && n.Heeds.Load() {
		if budget := int64(left * float64(time.Second)); budget < delay {
			delay, late = budget, true
		}
	}
	if !n.work(time.Duration(delay)) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("X-Rejected", "1")
		return
	}
	if late || n.Fails.Load() {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.SetBodyRaw(make([]byte, n.Size.Load()))
}

// DeafNode accepts connections and never reads from them, so that a claim of some size cannot be written whole.
func DeafNode() (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var mu sync.Mutex
	var held []net.Conn
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			mu.Lock()
			held = append(held, nc)
			mu.Unlock()
		}
	}()
	return ln.Addr().String(), func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, nc := range held {
			_ = nc.Close()
		}
	}, nil
}

// Entry is an execute node as discovery names it.
type Entry struct {
	ID        string `json:"instanceId"`
	Addr      string `json:"hostPort"`
	Zone      string `json:"zone"`
	Cell      int    `json:"cell"`
	Lifecycle string `json:"lifecycle"`
	Started   int64  `json:"startedAtMs"`
}

// Ready is the entry of an execute node that takes jobs.
func Ready(id, addr string) Entry { return Entry{ID: id, Addr: addr, Zone: "a", Lifecycle: "Ready"} }

// Discovery tells a list of execute nodes to any number of watches.
type Discovery struct {
	ln         net.Listener
	mu         sync.Mutex
	generation int
	list       []byte
	changed    chan struct{} // closed at the next change
	Calls      Tally
	Down       atomic.Bool // calls end in 503
}

// NewDiscovery starts discovery with a list.
func NewDiscovery(entries ...Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, changed: make(chan struct{})}
	d.Publish(entries...)
	go func() { _ = (&fasthttp.Server{Handler: d.serve, Logger: discardLogger{}}).Serve(ln) }()
	return d, nil
}

// Addr is the address of discovery.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends discovery's listener.
func (d *Discovery) Close() { _ = d.ln.Close() }

// Publish replaces the list. Every watch learns the whole of it.
func (d *Discovery) Publish(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.list = Object(d.generation, entries)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Object is the whole list in discovery's form, as one line.
func Object(generation int, entries []Entry) []byte {
	text, err := json.Marshal(map[string]any{"generation": generation, "reset": true, "instances": entries})
	if err != nil {
		panic(fmt.Sprintf("a list has no form: %v", err)) // its fields are text and numbers
	}
	return append(text, '\n')
}

func (d *Discovery) now() ([]byte, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.changed
}

func (d *Discovery) serve(ctx *fasthttp.RequestCtx) {
	d.Calls.Add()
	if d.Down.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if !ctx.QueryArgs().Has("watch") {
		list, _ := d.now()
		_, _ = ctx.Write(list)
		return
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		list, changed := d.now()
		_, _ = w.Write(list)
		for w.Flush() == nil {
			select {
			case <-changed:
				list, changed = d.now()
				_, _ = w.Write(list)
			case <-time.After(heartbeat):
				_, _ = w.WriteString("\n")
			}
		}
	})
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
