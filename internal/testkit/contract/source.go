package contract

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/goleak"
)

// Source follows a list of execute nodes.
type Source interface {
	// Watch asks for the list from now on, in place of an earlier call.
	Watch()
	// Close ends all that it has begun.
	Close()
}

// SourceMaker makes sources that follow a list which Discovery plays.
type SourceMaker struct {
	// Begin starts a source that asks at an address; told is called with each list or change as the names it has now, and
	// lost with each loss. Both are called one after another.
	Begin func(t T, address string, told func(names map[string]bool), lost func()) (Source, error)
	// List is the text with which discovery begins a watch, and Change the one by which it tells that name has come or gone.
	List   func(names ...string) string
	Change func(generation int, name string, there bool) string
	// IdleTimeout is after what time without a sign a watch is lost; Sign is the sign that nothing has changed.
	IdleTimeout time.Duration
	Heartbeat   string
}

// SourceClauses are what every source of the list promises.
var SourceClauses = []Clause[SourceMaker]{
	{"the list and each change are told in order", sourceOrder},
	{"a break is told once and the list stays", sourceBreak},
	{"silence is a break, signs are none", sourceIdleTimeout},
	{"what cannot be read is a break and changes nothing", sourceMalformed},
	{"a new call ends the one before unheard", sourceReplaced},
	{"close ends all that was begun", sourceClose},
}

// discovery takes calls, one connection each, and lets the clause write to them.
type discovery struct {
	ln    net.Listener
	calls chan net.Conn
}

func newDiscovery() (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{ln, make(chan net.Conn, 16)}
	go func() {
		defer close(d.calls)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
				_ = nc.Close()
				continue
			}
			d.calls <- nc
		}
	}()
	return d, nil
}

// close ends the taking of calls.
func (d *discovery) close() { _ = d.ln.Close() }

// call is the next call, answered.
func (d *discovery) call() (net.Conn, error) {
	select {
	case nc := <-d.calls:
		_, err := fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		return nc, err
	case <-time.After(waitTimeout):
		return nil, errors.New("no call came")
	}
}

func write(nc net.Conn, text string) error {
	_, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text)
	return err
}

// notifications is what a source has told.
type notifications struct {
	mu    sync.Mutex
	lists []string
	lost  int
}

func (h *notifications) notified(names map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for _, n := range []string{"a", "b", "c", "d"} {
		if names[n] {
			all = append(all, n)
		}
	}
	h.lists = append(h.lists, strings.Join(all, ""))
}

func (h *notifications) addLoss() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost++
}

func (h *notifications) equal(lists string, lost int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.lists, " ") == lists && h.lost == lost
}

func (h *notifications) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("told %q, %d losses", strings.Join(h.lists, " "), h.lost)
}

// begin starts discovery and a source whose first call is answered with a list of a and b.
func (m SourceMaker) begin(t T) (d *discovery, s Source, h *notifications, nc net.Conn, err error) {
	if d, err = newDiscovery(); err != nil {
		return nil, nil, nil, nil, err
	}
	h = &notifications{}
	if s, err = m.Begin(t, d.ln.Addr().String(), h.notified, h.addLoss); err != nil {
		return nil, nil, nil, nil, err
	}
	s.Watch()
	if nc, err = d.call(); err == nil {
		err = write(nc, m.List("a", "b"))
	}
	if err == nil {
		err = h.wait("ab", 0)
	}
	return d, s, h, nc, err
}

func (h *notifications) wait(lists string, lost int) error {
	if err := until(fmt.Sprintf("%q and %d losses", lists, lost), func() bool { return h.equal(lists, lost) }); err != nil {
		return fmt.Errorf("%w, but %s", err, h)
	}
	return nil
}

func sourceOrder(t T, m SourceMaker) error {
	d, s, h, nc, err := m.begin(t)
	if err != nil {
		return err
	}
	defer d.close()
	defer s.Close()
	if err := errors.Join(write(nc, m.Change(2, "c", true)+m.Change(3, "a", false)), write(nc, m.Change(4, "a", true))); err != nil {
		return err
	}
	return h.wait("ab abc bc abc", 0)
}

func sourceBreak(t T, m SourceMaker) error {
	d, s, h, nc, err := m.begin(t)
	if err != nil {
		return err
	}
	defer d.close()
	defer s.Close()
	if err := nc.Close(); err != nil {
		return err
	}
	if err := h.wait("ab", 1); err != nil {
		return err
	}
	s.Watch()
	if nc, err = d.call(); err != nil {
		return err
	}
	if err := write(nc, m.Change(2, "b", false)); err != nil {
		return err
	}
	return h.wait("ab a", 1)
}

func sourceIdleTimeout(t T, m SourceMaker) error {
	d, s, h, nc, err := m.begin(t)
	if err != nil {
		return err
	}
	defer d.close()
	defer s.Close()
	for range 3 {
		<-time.After(m.IdleTimeout * 6 / 10)
		if err := write(nc, m.Heartbeat); err != nil {
			return err
		}
		if !h.equal("ab", 0) {
			return fmt.Errorf("signs came, but %s", h)
		}
	}
	from := time.Now()
	if err := h.wait("ab", 1); err != nil {
		return err
	}
	if took := time.Since(from); took < m.IdleTimeout/2 {
		return fmt.Errorf("lost after %v, promised after %v", took, m.IdleTimeout)
	}
	return nil
}

func sourceMalformed(t T, m SourceMaker) error {
	for _, text := range []string{"{\"what\n", strings.Repeat("{", 4096) + "\n", m.Change(2, "b", false)[:20] + "\x00\n"} {
		d, s, h, nc, err := m.begin(t)
		if err != nil {
			return err
		}
		err = errors.Join(write(nc, text), h.wait("ab", 1))
		s.Close()
		d.close()
		if err != nil {
			return fmt.Errorf("after %.20q: %w", text, err)
		}
	}
	return nil
}

func sourceReplaced(t T, m SourceMaker) error {
	d, s, h, nc, err := m.begin(t)
	if err != nil {
		return err
	}
	defer d.close()
	defer s.Close()
	s.Watch()
	next, err := d.call()
	if err != nil {
		return err
	}
	_ = write(nc, m.Change(2, "a", false)) // whether it can still be written or not
	if err := write(next, m.Change(2, "c", true)); err != nil {
		return err
	}
	return h.wait("ab abc", 0)
}

func sourceClose(t T, m SourceMaker) error {
	before := goleak.IgnoreCurrent()
	d, s, h, nc, err := m.begin(t)
	if err != nil {
		return err
	}
	s.Close()
	_ = nc.Close()
	d.close()
	for range d.calls {
	}
	if err := goleak.Find(before); err != nil {
		return err
	}
	if !h.equal("ab", 0) {
		return fmt.Errorf("after close: %s", h)
	}
	return nil
}
