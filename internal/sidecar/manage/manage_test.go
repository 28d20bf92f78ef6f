package manage

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

type fake struct {
	ready     bool
	suspended map[string]bool
	paused    bool
}

func (f *fake) Ready() bool       { return f.ready && !f.paused }
func (f *fake) Figures() []string { return []string{"lb.inflight:2|g"} }
func (f *fake) Suspend(id string) error {
	if id != "n1" {
		return errors.New("no such execute node is listed")
	}
	f.suspended[id] = true
	return nil
}
func (f *fake) Restore(id string) error {
	if !f.suspended[id] && id != "n1" {
		return errors.New("no such execute node is listed")
	}
	delete(f.suspended, id)
	return nil
}
func (f *fake) Pause()  { f.paused = true }
func (f *fake) Resume() { f.paused = false }
func (f *fake) SuspendFleet(id string, suspended bool) error {
	if id != "n1" {
		return errors.New("no such execute node is listed")
	}
	return nil
}
func (f *fake) Recover() error              { return nil }
func (f *fake) Rules() ([]string, error)    { return []string{"agreed=1"}, nil }
func (f *fake) Verdicts() ([]string, error) { return []string{"n1 avoid"}, nil }
func (f *fake) Quotas() ([]string, error)   { return []string{"x per_second limit=5"}, nil }
func (f *fake) Peers() ([]string, error) {
	if !f.ready {
		return nil, errors.New("fleet off")
	}
	return []string{"a self inc=1"}, nil
}

func TestCommands(t *testing.T) {
	f := &fake{ready: true, suspended: map[string]bool{}}
	for _, c := range []struct{ line, first string }{
		{"STATUS", "ok"},
		{"status", "ok"},
		{"SUSPEND n1", "ok"},
		{"SUSPEND n1", "ok"},
		{"SUSPEND n9", "fail"},
		{"SUSPEND", "fail"},
		{"RESTORE n1", "ok"},
		{"PAUSE", "ok"},
		{"STATUS", "fail"},
		{"RESUME", "ok"},
		{"STATUS", "ok"},
		{"STATUS now", "fail"},
		{"REBOOT", "fail"},
		{"", "fail"},
		{"PEERS", "ok"},
		{"PEERS a", "fail"},
		{"RECOVER", "ok"},
		{"QUOTAS", "ok"},
		{"SUSPEND n1 fleet", "ok"},
		{"RESTORE n1 FLEET", "ok"},
		{"SUSPEND n9 fleet", "fail"},
		{"SUSPEND n1 all", "fail"},
		{"STATUS fleet", "fail"},
	} {
		got := Execute(f, c.line)
		if !strings.HasPrefix(got[0], c.first) {
			t.Errorf("%q: %q, want %s", c.line, got, c.first)
		}
	}
	if got := Execute(f, "METRICS"); len(got) != 3 || got[1] != "lb.inflight:2|g" || got[2] != "eof" {
		t.Errorf("METRICS: %q", got)
	}
}

// A client that sends nothing does not delay others.
func TestSilentCallers(t *testing.T) {
	s, err := Listen("127.0.0.1:0", &fake{ready: true, suspended: map[string]bool{}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for range 8 {
		nc, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
	}
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Write([]byte("STATUS\r\n")); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil || line != "ok ready\n" {
		t.Fatalf("%q %v", line, err)
	}
}
