package daemon

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
)

// The platform's listening socket is served as inherited: a connection to it is accepted through the descriptor, and no other
// socket is bound.
func TestPlatformSocket(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = held.Close() })
	f, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(f.Fd()))
	if err = errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	ln, err := platformSocket(fd)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	if ln.Addr().String() != held.Addr().String() {
		t.Fatalf("serves %s, the platform holds %s", ln.Addr(), held.Addr())
	}
	nc, err := net.Dial("tcp", held.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := in.Close(); err != nil {
		t.Error(err)
	}
	if _, err := platformSocket(1 << 19); err == nil {
		t.Error("a descriptor that is not open is taken")
	}
}

// Suspensions that one process stores are read by the next one. A file that is not a list is an error; no file means no
// suspensions.
func TestSuspensionsKept(t *testing.T) {
	dir := t.TempDir()
	o := &operations{fleetSuspensions: &fleetSuspensions{}, stored: newStoredState(dir, "s")}
	if names, err := loadSuspensions(o.stored); err != nil || names != nil {
		t.Fatalf("no file: %v %v", names, err)
	}
	o.store([]string{"a", "b"})
	if names, err := loadSuspensions(o.stored); err != nil || !slices.Equal(names, []string{"a", "b"}) {
		t.Fatalf("kept: %v %v", names, err)
	}
	// A server that only the fleet has suspended is restored by the fleet: stored as suspended by hand, it would stay suspended
	// forever.
	o.fleetSuspensions.byFleet, o.fleetSuspensions.byHand = []string{"b", "c"}, map[string]bool{"c": true}
	o.store([]string{"a", "b", "c"})
	if names, err := loadSuspensions(o.stored); err != nil || !slices.Equal(names, []string{"a", "c"}) {
		t.Fatalf("kept beside the fleet's: %v %v", names, err)
	}
	if err := os.WriteFile(o.stored.options.Path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, err := loadSuspensions(o.stored); err == nil {
		t.Errorf("a broken file is taken: %q", names)
	}
	// The file of a version before the store is read, and is removed once the suspensions are stored again.
	earlier := newStoredState(dir, "e")
	if err := os.WriteFile(earlier.legacyFiles[keySuspended], []byte(`["x"]`), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, err := loadSuspensions(earlier); err != nil || !slices.Equal(names, []string{"x"}) {
		t.Errorf("of an earlier program: %v %v", names, err)
	}
	if err := earlier.save(keySuspended, []string{"y"}); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(earlier.legacyFiles[keySuspended]); err == nil {
		t.Error("the earlier file is still there, for an earlier program to believe")
	}
}
