package frontend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/testkit/scenario"
)

// greeter is a server that greets each client, waits for one byte and answers it.
type greeter struct {
	mu    sync.Mutex
	ln    net.Listener
	limit int
	open  sync.WaitGroup
}

func (g *greeter) Serve(ln net.Listener) error {
	g.mu.Lock()
	g.ln = ln
	g.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		g.open.Go(func() {
			// Errors are ignored: the tests check what the client receives.
			_, _ = io.WriteString(nc, "hello")
			_, _ = nc.Read(make([]byte, 1))
			_, _ = io.WriteString(nc, "bye")
			_ = nc.Close()
		})
	}
}
func (g *greeter) SetMaxConns(n int) { g.limit = n }
func (g *greeter) TrimIdle()         {}
func (g *greeter) Pause()            {}
func (g *greeter) Resume()           {}
func (g *greeter) MarkNotReady()     {}
func (g *greeter) Shutdown(context.Context) error {
	scenarioWait(func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.ln != nil })
	err := g.ln.Close()
	g.open.Wait()
	return err
}

func scenarioWait(holds func() bool) {
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

func newSet(t *testing.T) (*Set, map[string]*greeter) {
	servers := map[string]*greeter{}
	s := NewSet(func(l Listener) Server {
		servers[l.Address] = &greeter{}
		return servers[l.Address]
	}, nil, time.Minute, zerolog.Nop())
	t.Cleanup(func() {
		for address, ln := range s.Listeners() {
			_ = ln.Close() // the listener may be closed already
			if path, unix := strings.CutPrefix(address, unixPrefix); unix {
				_ = os.Remove(path) // the file may be removed already
			}
		}
	})
	return s, servers
}

func apply(t *testing.T, s *Set, want ...Listener) {
	t.Helper()
	c, err := s.Prepare(want)
	if err != nil {
		t.Fatal(err)
	}
	c.Commit()
}

// greeted connects to address and reads the greeting.
func greeted(address string) (net.Conn, error) {
	network := "tcp"
	if path, unix := strings.CutPrefix(address, unixPrefix); unix {
		network, address = "unix", path
	}
	nc, err := net.DialTimeout(network, address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	if err := nc.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	_, err = io.ReadFull(nc, make([]byte, 5))
	return nc, err
}

func closeIt(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// free returns an address without a listener.
func free(t *testing.T) string {
	t.Helper()
	ln := scenario.Listen(t)
	closeIt(t, ln)
	return ln.Addr().String()
}

// A removed listener must serve the connections that it has accepted and accept no more. Its address can be bound again.
func TestListenersAreAddedAndRemoved(t *testing.T) {
	s, servers := newSet(t)
	a, b := Listener{Address: free(t)}, Listener{Address: unixPrefix + filepath.Join(t.TempDir(), "b.sock"), Mode: "0640"}
	apply(t, s, a, b)
	open, err := greeted(b.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = open.Close() })
	if info, err := os.Stat(strings.TrimPrefix(b.Address, unixPrefix)); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("socket file: %v, error %v; want mode 0640", info, err)
	}
	a.Connections = 9
	apply(t, s, a)
	if servers[a.Address].limit != 9 {
		t.Errorf("limit of %d connections after the change, want 9", servers[a.Address].limit)
	}
	scenario.Await(t, "b accepts nothing more", func() bool {
		nc, err := greeted(b.Address)
		if err == nil {
			closeIt(t, nc)
		}
		return err != nil
	})
	if _, err := io.WriteString(open, "x"); err != nil {
		t.Error(err)
	}
	if rest, err := io.ReadAll(open); err != nil || string(rest) != "bye" {
		t.Errorf("accepted connection received %q, error %v; want bye", rest, err)
	}
	apply(t, s, a, b)
	if nc, err := greeted(b.Address); err != nil {
		t.Error(err)
	} else {
		closeIt(t, nc)
	}
}

// If one address cannot be bound, Prepare must change nothing: no new listener serves, none is removed, and no socket file is
// left.
func TestNothingChangesIfOneCannotBeBound(t *testing.T) {
	dir := t.TempDir()
	taken := scenario.Listen(t).Addr().String()
	inUse, err := net.Listen("unix", filepath.Join(dir, "held.sock"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inUse.Close() })
	if err := os.WriteFile(filepath.Join(dir, "file"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	fresh := Listener{Address: unixPrefix + filepath.Join(dir, "fresh.sock")}
	for name, c := range map[string]struct {
		bad  Listener
		want error
	}{
		"a port in use":                {Listener{Address: taken}, syscall.EADDRINUSE},
		"a socket in use":              {Listener{Address: unixPrefix + filepath.Join(dir, "held.sock")}, syscall.EADDRINUSE},
		"a file that is not a socket":  {Listener{Address: unixPrefix + filepath.Join(dir, "file")}, nil},
		"a missing directory":          {Listener{Address: unixPrefix + filepath.Join(dir, "none", "x")}, os.ErrNotExist},
		"the same valid address twice": {fresh, nil},
	} {
		s, _ := newSet(t)
		old := Listener{Address: free(t)}
		apply(t, s, old)
		_, err := s.Prepare([]Listener{fresh, c.bad})
		if err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: unexpected result of Prepare: error %v", name, err)
		}
		if nc, err := greeted(old.Address); err != nil {
			t.Errorf("%s: connecting to the existing listener: %v", name, err)
		} else {
			closeIt(t, nc)
		}
		if _, err := os.Lstat(strings.TrimPrefix(fresh.Address, unixPrefix)); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("%s: socket file of the new listener: error %v, want none to exist", name, err)
		}
	}
}

// Bind must replace the socket file that a killed process has left, and leave no other file.
func TestSocketLeftByACrashIsReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.sock")
	ln, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	closeIt(t, ln)
	s, _ := newSet(t)
	apply(t, s, Listener{Address: unixPrefix + path})
	nc, err := greeted(unixPrefix + path)
	if err != nil {
		t.Fatal(err)
	}
	closeIt(t, nc)
	left, err := os.ReadDir(filepath.Dir(path))
	if err != nil || len(left) != 1 {
		t.Errorf("files in the directory: %v, error %v; want the socket only", left, err)
	}
}

func TestCheck(t *testing.T) {
	s := Settings{HTTP: []Listener{{Address: "127.0.0.1:81"}, {Address: "unix:/x", Mode: "0660", Connections: 30}, {Address: "127.0.0.1:81"},
		{Address: "nowhere"}, {Address: "127.0.0.1:82", Mode: "0600"}, {Address: "unix:"}, {Address: "unix:/y", Mode: "999"},
		{Address: "127.0.0.1:83", Connections: -1}, {Address: "127.0.0.1:84", Connections: 900}}}
	var got []string
	s.Check(600, func(key string, read any, _ string) { got = append(got, fmt.Sprintf("%s=%v", key, read)) })
	want := []string{"http[2].listen=127.0.0.1:81", "http[3].listen=nowhere", "http[4].mode=0600", "http[5].listen=unix:",
		"http[6].mode=999", "http[7].connections=-1", "http[8].connections=900"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
