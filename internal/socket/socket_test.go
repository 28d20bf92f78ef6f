package socket

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldrelay/internal/scenario"
)

func pair(t *testing.T) (near, far net.Conn) {
	ln := scenario.Listen(t)
	far, err := scenario.Dialer(ln.Addr().String())("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	return near, far
}

// What waits unread is seen without being taken: a byte, and the end of a connection.
func TestUnread(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("known on Linux only")
	}
	near, far := pair(t)
	got := []bool{Unread(near)}
	far.Write([]byte("x"))
	for !Unread(near) {
		runtime.Gosched()
	}
	near.Read(make([]byte, 1))
	got = append(got, Unread(near))
	far.Close()
	for !Unread(near) {
		runtime.Gosched()
	}
	if diff := cmp.Diff([]bool{false, false}, got); diff != "" {
		t.Errorf("unread before a byte and after it was read (-want +got):\n%s", diff)
	}
}

// The end of the other side is seen behind bytes that nobody has read, and nothing is taken by looking.
func TestDeparted(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("known on Linux only")
	}
	for name, end := range map[string]func(far *net.TCPConn){
		"half closed":      func(far *net.TCPConn) { far.CloseWrite() },
		"closed":           func(far *net.TCPConn) { far.Close() },
		"reset":            func(far *net.TCPConn) { far.SetLinger(0); far.Close() },
		"closed in unread": func(far *net.TCPConn) { far.Write([]byte("more")); far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			before := Departed(near)
			far.Write([]byte("xy"))
			scenario.Await(t, "the bytes have come", func() bool { return Unread(near) })
			unread := Departed(near)
			end(far.(*net.TCPConn))
			scenario.Await(t, "the end is seen", func() bool { return Departed(near) })
			if diff := cmp.Diff([]bool{false, false}, []bool{before, unread}); diff != "" {
				t.Errorf("departed while it was there (-want +got):\n%s", diff)
			}
		})
	}
	near, _ := pair(t)
	near.Close()
	if !Departed(near) {
		t.Error("a connection closed on this side passes for one whose other side is there")
	}
}

// A connection that waits to be accepted is seen without being taken.
func TestPending(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("known on Linux only")
	}
	ln := scenario.Listen(t)
	got := []bool{Pending(ln)}
	far, err := scenario.Dialer(ln.Addr().String())("")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	scenario.Await(t, "the connection waits", func() bool { return Pending(ln) })
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	got = append(got, Pending(ln))
	if diff := cmp.Diff([]bool{false, false}, got); diff != "" {
		t.Errorf("pending before and after (-want +got):\n%s", diff)
	}
}

func TestQuietCountsFromTheLastByte(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("known on Linux only")
	}
	near, far := pair(t)
	const quiet = 100 * time.Millisecond
	time.Sleep(quiet) // the time itself is what is measured
	if got := Quiet(near); got < quiet/2 {
		t.Errorf("%v after %v without a byte", got, quiet)
	}
	far.Write([]byte("x"))
	near.Read(make([]byte, 1))
	if got := Quiet(near); got > quiet/2 {
		t.Errorf("%v after a byte", got)
	}
}

// One address for both, and a port that another has is no port of ours.
func TestPair(t *testing.T) {
	tcp, udp, err := Pair("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	defer udp.Close()
	if tcp.Addr().String() != udp.LocalAddr().String() {
		t.Errorf("%v and %v", tcp.Addr(), udp.LocalAddr())
	}
	if _, _, err := Pair(tcp.Addr().String()); err == nil {
		t.Error("bound twice")
	}
	tcp.Close() // its datagrams are still another's
	if _, _, err := Pair(udp.LocalAddr().String()); err == nil {
		t.Error("bound for streams alone")
	}
}
