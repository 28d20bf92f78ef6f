package overload

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fieldrelay/internal/testkit/fakebackend"
)

const (
	large    = 64 << 10
	patience = 5 * time.Second         // a submitter's, for a large request
	brief    = 800 * time.Millisecond  // and for a small one
	grace    = 1500 * time.Millisecond // over its patience, before a submitter without an answer counts as forgotten
)

// Case is one flood.
type Case struct {
	Name   string
	answer int  // bytes that an execute node answers with
	deaf   int  // execute nodes that read nothing
	ends   bool // the sidecar ends in it
	// operator is the text of an operator's file; "": none.
	operator string
	play     func(*rig, *tally)
}

// Cases are all floods, by the names that a user types.
var Cases = []Case{
	{Name: "calm", play: func(r *rig, _ *tally) { time.Sleep(4 * time.Second) }},
	{Name: "length", play: func(r *rig, t *tally) { r.floods(t, request{class: "tukar", body: large}) }},
	{Name: "chunked", play: func(r *rig, t *tally) { r.floods(t, request{class: "tukar", body: large, chunked: true}) }},
	{Name: "once", play: func(r *rig, t *tally) { r.floods(t, request{class: "sekali", body: large}) }},
	{Name: "answers", answer: large, play: func(r *rig, t *tally) {
		r.floods(t, request{class: "tukar", body: 200, drip: true})
	}},
	{Name: "heads", play: func(r *rig, t *tally) { r.stall(t, "head") }},
	{Name: "halves", play: func(r *rig, t *tally) { r.stall(t, "body") }},
	{Name: "deaf", deaf: 4, play: func(r *rig, t *tally) { r.floods(t, request{class: "tukar", body: large}) }},
	{Name: "list", play: func(r *rig, t *tally) {
		go func() {
			entries := r.entries
			for i := range 5000 {
				entries = append(entries, fakebackend.Ready(fmt.Sprint("spare", i), fmt.Sprintf("127.9.%d.%d:9", i>>8, i&255)))
			}
			for i := range entries[len(r.entries):] { // listed, and not to be sent to
				entries[len(r.entries)+i].Lifecycle = "Terminating"
			}
			time.Sleep(time.Second)
			r.discovery.Publish(entries...)
			time.Sleep(time.Second)
			r.discovery.Publish(r.entries...)
		}()
		r.floods(t, request{class: "tukar", body: large})
	}},
	{Name: "reload", play: func(r *rig, t *tally) {
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					r.signal(syscall.SIGHUP)
				}
			}
		}()
		r.floods(t, request{class: "tukar", body: large})
		close(stop)
	}},
	{Name: "drain", ends: true, play: func(r *rig, t *tally) {
		time.AfterFunc(time.Second, func() { r.signal(syscall.SIGTERM) })
		r.opts.Rounds = 1
		r.floods(t, request{class: "tukar", body: large})
	}},
}

// Named finds a case.
func Named(name string) (Case, error) {
	for _, c := range append(slices.Clone(Cases), Changes...) {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, fmt.Errorf("no case %q", name)
}

type outcome struct {
	code         int    // 0: none came
	text         string // of a refusal
	unresponsive bool
	took         time.Duration
}

// request is what a submitter of a flood asks for.
type request struct {
	class    string
	body     int
	patience time.Duration
	chunked  bool
	drip     bool // it takes one byte a second of the answer
	cost     time.Duration
}

func (q request) head() string {
	method, key := "POST", fmt.Sprintf("Idempotency-Key: k%x\r\n", rand.Uint64())
	if q.class == "cek-saldo" {
		method, key = "GET", ""
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: o\r\nX-Call-Id: c%x\r\nX-Budget: %.3f\r\n%s",
		method, q.class, rand.Uint64(), q.patience.Seconds(), key)
	if q.cost > 0 {
		text += fmt.Sprintf("X-Call-Cost: %d\r\n", q.cost.Microseconds())
	}
	switch {
	case q.chunked:
		text += "Transfer-Encoding: chunked\r\n"
	case q.body > 0:
		text += "Content-Length: " + strconv.Itoa(q.body) + "\r\n"
	}
	return text + "\r\n"
}

func (q request) write(w io.Writer) error {
	text := q.head()
	body := strings.Repeat("x", q.body)
	if q.chunked {
		const chunk = 4 << 10
		for ; len(body) > 0; body = body[min(chunk, len(body)):] {
			part := body[:min(chunk, len(body))]
			text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		text += "0\r\n\r\n"
	} else {
		text += body
	}
	_, err := io.WriteString(w, text)
	return err
}

// ask makes one request and waits for its answer.
func (q request) ask(nc net.Conn) outcome {
	start := time.Now()
	_ = nc.SetDeadline(start.Add(q.patience + grace)) // fails on a closed connection, as the write does
	sent := make(chan struct{})
	var sendErr error // set before sent is closed; an answer may come before the last byte is taken
	go func() {
		defer close(sent)
		sendErr = q.write(nc)
	}()
	in := bufio.NewReader(nc)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		_ = nc.Close()
		<-sent // it ends with the connection
		return outcome{unresponsive: timedOut(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	o := outcome{code: resp.StatusCode}
	if q.drip && o.code == http.StatusOK {
		drip(resp.Body, q.patience+grace)
		_ = nc.Close()
	} else if body, err := io.ReadAll(resp.Body); err != nil {
		_ = nc.Close()
	} else if o.code != http.StatusOK {
		o.text = q.class + ": " + string(body)
	}
	if <-sent; sendErr != nil || resp.Close {
		_ = nc.Close()
	}
	if in.Buffered() > 0 { // a second answer
		o.code, o.text = http.StatusConflict, q.class+": answered twice"
		_ = nc.Close()
	}
	o.took = time.Since(start)
	return o
}

// timedOut reports whether a connection's deadline ended a call.
func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// drip reads one byte a second.
func drip(body io.Reader, most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(time.Second) {
		if _, err := body.Read(make([]byte, 1)); err != nil {
			return
		}
	}
}

func (r *rig) dial(small bool) (net.Conn, error) {
	nc, err := net.DialTimeout("tcp", r.addr, patience)
	if err == nil && small { // the system should take little of an answer for a submitter that does not read
		_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	return nc, err
}

// floods lets many submitters make a request at the same time, some times over, each on a connection of its own
// that it keeps as long as it can.
func (r *rig) floods(t *tally, q request) {
	q.patience, q.cost = patience, time.Millisecond
	if q.body >= fakebackend.LargeBody {
		q.cost = r.opts.Delay
	}
	var all sync.WaitGroup
	for range r.opts.Submitters {
		all.Go(func() {
			var nc net.Conn
			for range r.opts.Rounds {
				for try := 0; ; try++ {
					kept := nc != nil
					if !kept {
						var err error
						if nc, err = r.dial(q.drip); err != nil {
							t.add(outcome{})
							nc = nil
							break
						}
					}
					o := q.ask(nc)
					if o.code == 0 && !o.unresponsive && kept && try == 0 { // it ended between two requests, as it may
						nc = nil
						continue
					}
					t.add(o)
					if o.code == 0 || q.drip {
						_ = nc.Close()
						nc = nil
					} else if nc.SetDeadline(time.Now()) != nil { // closed by what ask saw
						nc = nil
					}
					break
				}
			}
			if nc != nil {
				_ = nc.Close()
			}
		})
	}
	all.Wait()
}

// stall opens every connection that the sidecar takes and leaves a request unfinished on each, three times over.
func (r *rig) stall(t *tally, in string) {
	var all sync.WaitGroup
	for range r.inbound() {
		all.Go(func() {
			for range 3 {
				t.add(r.unfinished(in))
			}
		})
	}
	all.Wait()
}

// inbound is how many connections the sidecar takes from submitters at the most, less room for the small requests.
func (r *rig) inbound() int { return min(576, r.opts.Sockets*6/10) - 26 }

func (r *rig) unfinished(in string) outcome {
	nc, err := r.dial(false)
	if err != nil {
		return outcome{}
	}
	defer func() { _ = nc.Close() }()
	if nc.SetDeadline(time.Now().Add(patience+grace)) != nil {
		return outcome{}
	}
	q := request{class: "tukar", body: large, patience: patience}
	if in == "body" {
		_, _ = io.WriteString(nc, q.head()+strings.Repeat("x", large/2)) // the sidecar may end it early
	} else {
		go func() { // a line now and then, without end
			_, _ = io.WriteString(nc, strings.TrimSuffix(q.head(), "\r\n")) // the next line fails too
			for {
				if _, err := io.WriteString(nc, "X-More: "+strings.Repeat("y", 60)+"\r\n"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return outcome{unresponsive: timedOut(err)}
	}
	_ = nc.Close() // first, so that closing the body does not wait for the rest of it
	_ = resp.Body.Close()
	return outcome{code: resp.StatusCode}
}

// trickle makes small requests at a steady rate, half of them with a small body, until it is stopped. Each waits for
// its answer on a connection that no other uses.
func (r *rig) trickle(rate int, stop chan struct{}, t *tally) {
	var all sync.WaitGroup
	idle := make(chan net.Conn, 256)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			all.Wait()
			close(idle)
			for nc := range idle {
				_ = nc.Close()
			}
			return
		case <-ticker.C:
		}
		q := request{class: "cek-saldo", patience: brief, cost: time.Millisecond}
		if n%2 == 1 {
			q = request{class: "isi-ulang", body: 200, patience: brief, cost: time.Millisecond}
		}
		all.Go(func() { r.once(q, idle, t) })
	}
}

func (r *rig) once(q request, idle chan net.Conn, t *tally) {
	for {
		var nc net.Conn
		kept := true
		select {
		case nc = <-idle:
		default:
			kept = false
			var err error
			if nc, err = r.dial(false); err != nil {
				t.add(outcome{})
				return
			}
		}
		o := q.ask(nc)
		if o.code == 0 && !o.unresponsive && kept {
			continue
		}
		t.add(o)
		if o.code != 0 && nc.SetDeadline(time.Time{}) == nil {
			select {
			case idle <- nc:
				return
			default:
			}
		}
		_ = nc.Close()
		return
	}
}
