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

// Source follows the list of execute nodes.
type Source interface {
	// Watch starts to watch the list, in place of an earlier watch.
	Watch()
	// Close stops everything that the source started.
	Close()
}

// SourceMaker makes sources that follow the list of a simulated discovery service.
type SourceMaker struct {
	// Begin starts a source for the discovery service at an address. The source calls told after each list or change with the
	// current set of names, and lost whenever it loses its watch; these calls never overlap.
	Begin func(t T, address string, told func(names map[string]bool), lost func()) (Source, error)
	// List returns the text with which discovery begins a watch, and Change the text that says that a name was added (there) or
	// removed.
	List   func(names ...string) string
	Change func(generation int, name string, there bool) string
	// IdleTimeout is the time without data after which a watch is lost; Heartbeat is the text that says that nothing has changed.
	IdleTimeout time.Duration
	Heartbeat   string
}

// SourceClauses are the requirements on every source of the list.
var SourceClauses = []Clause[SourceMaker]{
	{"the list and each change are reported in order", sourceOrder},
	{"a lost watch is reported once and keeps the list", sourceBreak},
	{"an idle watch is lost, heartbeats keep it", sourceIdleTimeout},
	{"malformed input ends the watch and changes nothing", sourceMalformed},
	{"a new watch replaces the earlier one without a report", sourceReplaced},
	{"close stops everything that was started", sourceClose},
}

// discovery is a simulated discovery service: it accepts watch requests, one on each connection, and leaves the connections to
// the clause for writing.
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

// close stops accepting watch requests.
func (d *discovery) close() { _ = d.ln.Close() }

// call waits for the next watch request, sends the response header and returns its connection.
func (d *discovery) call() (net.Conn, error) {
	select {
	case nc := <-d.calls:
		_, err := fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		return nc, err
	case <-time.After(waitTimeout):
		return nil, errors.New("no watch request arrived at the discovery service")
	}
}

func write(nc net.Conn, text string) error {
	_, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text)
	return err
}

// notifications records the calls of told and lost of a source.
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
	return fmt.Sprintf("source reported lists %q and %d losses", strings.Join(h.lists, " "), h.lost)
}

// begin starts discovery and a source whose first watch is answered with a list of a and b.
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
	if err := until(fmt.Sprintf("lists %q and %d losses", lists, lost), func() bool { return h.equal(lists, lost) }); err != nil {
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
			return fmt.Errorf("heartbeats were sent, but %s", h)
		}
	}
	from := time.Now()
	if err := h.wait("ab", 1); err != nil {
		return err
	}
	if took := time.Since(from); took < m.IdleTimeout/2 {
		return fmt.Errorf("watch lost after %v without data, expected after %v", took, m.IdleTimeout)
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
			return fmt.Errorf("after the malformed input %.20q: %w", text, err)
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
	_ = write(nc, m.Change(2, "a", false)) // the source may have closed the connection already
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
		return fmt.Errorf("calls after Close: %s", h)
	}
	return nil
}
