package contract

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/goleak"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
)

// TransportMaker makes transports to execute nodes; a peer simulates each node.
type TransportMaker struct {
	New func(t T) relay.Transport
	// Request returns the payload of a claim with a call id. Complete returns the length of the complete request at the start of
	// the bytes that a peer has read; 0: it is not complete yet.
	Request  func(callID string) *relay.Payload
	Complete func(b []byte) int
	// Answer returns a valid response with a body.
	Answer func(body string) string
}

// TransportClauses are the requirements on every transport to execute nodes.
var TransportClauses = []Clause[TransportMaker]{
	{"each claim is reported once with its outcome", nodesOutcomes},
	{"a claim is sent at most once", nodesOnce},
	{"a response completes only the claim that it answers", nodesOwn},
	{"an unresponsive node does not delay other nodes", nodesUnresponsive},
	{"no new request is sent to a removed node", nodesRemoved},
	{"close stops everything once the last claim is reported", nodesClose},
}

// peer simulates an execute node: it calls behave with the connection of each complete request and the number of requests so
// far.
type peer struct {
	ln       net.Listener
	mu       sync.Mutex
	requests [][]byte
	conns    []net.Conn
	wg       sync.WaitGroup
}

func newPeer(m TransportMaker, behave func(nc net.Conn, n int)) (*peer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &peer{ln: ln}
	p.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, nc)
			p.mu.Unlock()
			p.wg.Go(func() { p.serve(m, nc, behave) })
		}
	})
	return p, nil
}

func (p *peer) serve(m TransportMaker, nc net.Conn, behave func(net.Conn, int)) {
	var read []byte
	b := make([]byte, 4096)
	for {
		n, err := nc.Read(b)
		if err != nil {
			return
		}
		read = append(read, b[:n]...)
		for whole := m.Complete(read); whole > 0; whole = m.Complete(read) {
			p.mu.Lock()
			p.requests = append(p.requests, read[:whole:whole])
			count := len(p.requests)
			p.mu.Unlock()
			read = read[whole:]
			behave(nc, count)
		}
	}
}

func (p *peer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests)
}

func (p *peer) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	for _, nc := range p.conns {
		_ = nc.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// reports records the results that a transport reports.
type reports struct {
	mu  sync.Mutex
	all map[relay.AttemptID][]relay.Result
}

func newReports() *reports { return &reports{all: map[relay.AttemptID][]relay.Result{}} }

func (r *reports) add(id relay.AttemptID, res relay.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[id] = append(r.all[id], res)
}

func (r *reports) of(id relay.AttemptID) []relay.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[id]
}

func claimID(n int) relay.AttemptID { return relay.AttemptID{Request: uint64(n)} }

// claim starts a claim and waits for its report.
func (m TransportMaker) claim(node relay.Server, r *reports, n int, patience time.Duration) (relay.Result, error) {
	node.Start(relay.Attempt{ID: claimID(n), Payload: m.Request(fmt.Sprintf("c%d", n)), Deadline: time.Now().Add(patience)})
	err := until(fmt.Sprintf("a report of claim %d", n), func() bool { return len(r.of(claimID(n))) > 0 })
	if err != nil {
		return relay.Result{}, err
	}
	return r.of(claimID(n))[0], nil
}

// open starts a peer and opens its node on a new transport.
func (m TransportMaker) open(t T, behave func(net.Conn, int)) (*peer, relay.Server, *reports, error) {
	p, err := newPeer(m, behave)
	if err != nil {
		return nil, nil, nil, err
	}
	r := newReports()
	return p, m.New(t).Open(relay.Member{Name: "n", Addr: p.ln.Addr().String(), ListedAt: time.Now()}, r.add), r, nil
}

// send writes the response of a node. It ignores errors, since the transport may have closed the connection.
func send(nc net.Conn, text string) { _, _ = io.WriteString(nc, text) }

func sendAndClose(nc net.Conn, text string) {
	send(nc, text)
	_ = nc.Close()
}

func nodesOutcomes(t T, m TransportMaker) error {
	for name, c := range map[string]struct {
		behave func(m TransportMaker, nc net.Conn)
		want   []logic.Outcome
	}{
		"an answer":              {func(m TransportMaker, nc net.Conn) { send(nc, m.Answer("hi")) }, []logic.Outcome{logic.Done}},
		"a close":                {func(_ TransportMaker, nc net.Conn) { _ = nc.Close() }, []logic.Outcome{logic.Reset}},
		"noise":                  {func(_ TransportMaker, nc net.Conn) { sendAndClose(nc, "\x00\x01noise\r\n\r\n") }, []logic.Outcome{logic.Reset, logic.Errored}},
		"silence":                {func(TransportMaker, net.Conn) {}, []logic.Outcome{logic.TimedOut}},
		"half an answer":         {func(m TransportMaker, nc net.Conn) { a := m.Answer("hi"); sendAndClose(nc, a[:len(a)-1]) }, []logic.Outcome{logic.Reset, logic.Errored}},
		"an answer and one more": {func(m TransportMaker, nc net.Conn) { send(nc, m.Answer("hi")+m.Answer("ho")) }, []logic.Outcome{logic.Done}},
	} {
		p, node, r, err := m.open(t, func(nc net.Conn, _ int) { c.behave(m, nc) })
		if err != nil {
			return err
		}
		res, err := m.claim(node, r, 1, 300*time.Millisecond)
		if err == nil {
			err = fmt.Errorf("unexpected outcome %d", res.Outcome)
			for _, w := range c.want {
				if res.Outcome == w {
					err = nil
				}
			}
		}
		if err == nil && res.Outcome == logic.Done && string(res.Body) != "hi" {
			err = fmt.Errorf("unexpected body %q of the response", res.Body)
		}
		node.Cancel(claimID(1)) // canceling a claim that was reported has no effect
		node.Close()
		p.close()
		if err == nil && len(r.of(claimID(1))) != 1 {
			err = fmt.Errorf("claim was reported %d times, expected once", len(r.of(claimID(1))))
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		return err
	}
	r := newReports()
	node := m.New(t).Open(relay.Member{Addr: address, ListedAt: time.Now()}, r.add)
	defer node.Close()
	if res, err := m.claim(node, r, 1, waitTimeout/10); err != nil || res.Outcome != logic.Refused {
		return errors.Join(fmt.Errorf("no listener at the address: outcome %d", res.Outcome), err)
	}
	return nil
}

func nodesOnce(t T, m TransportMaker) error {
	// The node closes each kept-alive connection on its next request, which must not be sent again.
	p, node, r, err := m.open(t, func(nc net.Conn, n int) {
		if n%2 == 1 {
			send(nc, m.Answer("hi"))
		} else {
			_ = nc.Close()
		}
	})
	if err != nil {
		return err
	}
	defer p.close()
	defer node.Close()
	for n := 1; n <= 6; n++ {
		if _, err := m.claim(node, r, n, time.Second); err != nil {
			return err
		}
		if p.count() > n {
			return fmt.Errorf("node received %d requests for %d claims", p.count(), n)
		}
	}
	return nil
}

func nodesOwn(t T, m TransportMaker) error {
	// The node sends a second response directly after its first one. It must not complete the next claim.
	p, node, r, err := m.open(t, func(nc net.Conn, n int) {
		send(nc, m.Answer(fmt.Sprint(n)))
		if n == 1 {
			send(nc, m.Answer("stray"))
		}
	})
	if err != nil {
		return err
	}
	defer p.close()
	defer node.Close()
	for n := 1; n <= 4; n++ {
		res, err := m.claim(node, r, n, time.Second)
		if err != nil {
			return err
		}
		if res.Outcome == logic.Done && string(res.Body) == "stray" {
			return fmt.Errorf("claim %d was completed by a response to another claim", n)
		}
	}
	return nil
}

func nodesUnresponsive(t T, m TransportMaker) error {
	nodes := m.New(t)
	silent, err := newPeer(m, func(net.Conn, int) {})
	if err != nil {
		return err
	}
	defer silent.close()
	good, err := newPeer(m, func(nc net.Conn, _ int) { send(nc, m.Answer("hi")) })
	if err != nil {
		return err
	}
	defer good.close()
	r := newReports()
	a := nodes.Open(relay.Member{Name: "a", Addr: silent.ln.Addr().String(), ListedAt: time.Now()}, r.add)
	b := nodes.Open(relay.Member{Name: "b", Addr: good.ln.Addr().String(), ListedAt: time.Now()}, r.add)
	defer b.Close()
	defer a.Close()
	from := time.Now()
	for n := 100; n < 104; n++ {
		a.Start(relay.Attempt{ID: claimID(n), Payload: m.Request("s"), Deadline: time.Now().Add(time.Second)})
	}
	if res, err := m.claim(b, r, 1, waitTimeout); err != nil || res.Outcome != logic.Done {
		return errors.Join(fmt.Errorf("claim of another node while one does not respond: outcome %d", res.Outcome), err)
	}
	if took := time.Since(from); took > 900*time.Millisecond {
		return fmt.Errorf("claim of another node took %v while one does not respond", took)
	}
	for n := 100; n < 104; n++ {
		if err := until("reports of the claims of the unresponsive node", func() bool { return len(r.of(claimID(n))) == 1 }); err != nil {
			return err
		}
	}
	return nil
}

func nodesRemoved(t T, m TransportMaker) error {
	p, node, r, err := m.open(t, func(nc net.Conn, _ int) { send(nc, m.Answer("hi")) })
	if err != nil {
		return err
	}
	defer p.close()
	defer node.Close()
	if _, err := m.claim(node, r, 1, time.Second); err != nil {
		return err
	}
	gone := relay.Member{Name: "n", Addr: p.ln.Addr().String(), ListedAt: time.Now().Add(-time.Minute)}
	gone.State = logic.Gone
	node.Update(gone)
	res, err := m.claim(node, r, 2, time.Second)
	if err != nil {
		return err
	}
	if p.count() != 1 || res.Outcome != logic.Skipped && res.Outcome != logic.Refused {
		return fmt.Errorf("removed node received %d requests, outcome %d", p.count(), res.Outcome)
	}
	return nil
}

func nodesClose(t T, m TransportMaker) error {
	before := goleak.IgnoreCurrent()
	p, node, r, err := m.open(t, func(nc net.Conn, n int) {
		if n == 1 {
			send(nc, m.Answer("hi"))
		}
	})
	if err != nil {
		return err
	}
	if _, err := m.claim(node, r, 1, time.Second); err != nil {
		return err
	}
	node.Start(relay.Attempt{ID: claimID(2), Payload: m.Request("c2"), Deadline: time.Now().Add(200 * time.Millisecond)})
	if err := until("arrival of the second request", func() bool { return p.count() == 2 }); err != nil {
		return err
	}
	node.Close()
	if err := until("a report after close", func() bool { return len(r.of(claimID(2))) == 1 }); err != nil {
		return errors.Join(errors.New("the report of a pending claim is lost"), err)
	}
	p.close()
	return goleak.Find(before)
}
