package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fieldrelay/internal/testkit/scenario"
)

// role tells the test's binary, started as a replacement, how to behave.
const role = "HANDOVER_TEST_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(inheritedEnv) != "" {
		os.Exit(replacement(os.Getenv(role)))
	}
	os.Exit(m.Run())
}

func replacement(role string) int {
	in, err := Inherit()
	if err != nil || !in.Replaces() {
		fmt.Fprintln(os.Stderr, "replacement:", err)
		return 1
	}
	switch role {
	case "crashes":
		return 3
	case "hangs":
		time.Sleep(time.Minute)
		return 0
	}
	if err := in.Ready(); err != nil {
		return 1
	}
	served := make(chan bool, 9)
	for address, ln := range in.Listeners {
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				_, err = fmt.Fprintf(nc, "new at %s", address)
				served <- errors.Join(err, nc.Close()) == nil
			}
		}()
	}
	for range in.Listeners {
		select {
		case ok := <-served:
			if !ok {
				return 1
			}
		case <-time.After(20 * time.Second):
			return 1
		}
	}
	return 0
}

// listeners returns a TCP and a Unix-socket listener.
func listeners(t *testing.T) map[string]net.Listener {
	t.Helper()
	u, err := net.Listen("unix", filepath.Join(t.TempDir(), "x.sock"))
	if err != nil {
		t.Fatal(err)
	}
	u.(*net.UnixListener).SetUnlinkOnClose(false)
	t.Cleanup(func() { _ = u.Close() })
	return map[string]net.Listener{"tcp": scenario.Listen(t), "unix": u}
}

// Connections that wait in the accept queue of a socket while the process is replaced are served by the new process.
func TestTheNewProcessServesWhatWaits(t *testing.T) {
	t.Setenv(role, "serves")
	lns := listeners(t)
	conns := map[string]net.Conn{}
	for address, ln := range lns {
		nc, err := net.Dial(ln.Addr().Network(), ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		conns[address] = nc
	}
	if pid, err := Start(t.Context(), os.Args[0], nil, lns, 10*time.Second); err != nil || pid == 0 {
		t.Fatal(pid, err)
	}
	for _, ln := range lns {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	}
	for address, nc := range conns {
		if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(nc); err != nil || string(text) != "new at "+address {
			t.Errorf("%s: %q, %v", address, text, err)
		}
	}
}

// If the new process does not become ready, for whatever reason, the old process continues to serve and its sockets accept as
// before.
func TestTheOldProcessGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		binary, role string
		timeout      time.Duration
		want         error
	}{
		"it hangs":        {os.Args[0], "hangs", 200 * time.Millisecond, ErrTimeout},
		"it crashes":      {os.Args[0], "crashes", 10 * time.Second, ErrExited},
		"it is not there": {filepath.Join(t.TempDir(), "none"), "", time.Second, os.ErrNotExist},
	} {
		t.Setenv(role, c.role)
		lns := listeners(t)
		if _, err := Start(t.Context(), c.binary, nil, lns, c.timeout); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		for address, ln := range lns {
			accepted := make(chan error, 1)
			go func() {
				nc, err := ln.Accept()
				if err == nil {
					err = nc.Close()
				}
				accepted <- err
			}()
			nc, err := net.Dial(ln.Addr().Network(), ln.Addr().String())
			if err != nil {
				t.Fatalf("%s, %s: %v", name, address, err)
			}
			if err := nc.Close(); err != nil {
				t.Error(err)
			}
			if err := <-accepted; err != nil {
				t.Errorf("%s, %s: %v", name, address, err)
			}
			// A pending accept without a connection must still end when its listener is closed.
			go func() {
				_, err := ln.Accept()
				accepted <- err
			}()
			if err := ln.Close(); err != nil {
				t.Error(err)
			}
			select {
			case err := <-accepted:
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("%s, %s: %v", name, address, err)
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("%s, %s: accept goes on after its listener was closed", name, address)
			}
		}
	}
}

func TestNothingIsInheritedAsARule(t *testing.T) {
	in, err := Inherit()
	if err != nil || in.Replaces() || len(in.Listeners) != 0 || in.Ready() != nil {
		t.Errorf("%+v, %v", in, err)
	}
	var faults []string
	s := Settings{TimeoutS: -1}
	s.Check(func(key string, _ any, _ string) { faults = append(faults, key) })
	if len(faults) != 1 || faults[0] != "patience_s" {
		t.Error(faults)
	}
}

// A caller that cancels a replacement while the new process starts does not wait for the timeout, and the new process has
// ended when Start returns.
func TestGivenUp(t *testing.T) {
	t.Setenv(role, "hangs")
	ln := scenario.Listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := Start(ctx, os.Args[0], nil, map[string]net.Listener{"a": ln}, time.Hour)
		ended <- err
	}()
	cancel()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrCanceled) {
			t.Errorf("Start returned %v after the cancel", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("Start still waits after the cancel")
	}
}

// A process that has signaled that it is ready counts as having taken over, even if the deadline has passed when the pipe is
// checked: a read alone returns nothing then. A process that has signaled nothing, or has exited without it, does not.
func TestReadyIsSeenAfterItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		say  func(w *os.File) error
		want bool
	}{
		"it has said so":              {sayReady, true},
		"it has said so and ended":    {func(w *os.File) error { return errors.Join(sayReady(w), w.Close()) }, true},
		"it has said nothing":         {func(*os.File) error { return nil }, false},
		"it has ended without a word": {(*os.File).Close, false},
	} {
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(c.say(w), r.SetReadDeadline(time.Unix(1, 0))); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if _, err := r.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%s: the read returned %v", name, err)
		}
		if got := signaledReady(r); got != c.want {
			t.Errorf("%s: signaledReady returned %t", name, got)
		}
		_ = r.Close()
		_ = w.Close() // some cases have closed it
	}
}

func sayReady(w *os.File) error {
	_, err := w.Write([]byte{1})
	return err
}
