package socket

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldrelay/internal/testkit/scenario"
)

func pair(t *testing.T) (near, far net.Conn) {
	ln := scenario.Listen(t)
	far, err := scenario.Dialer(ln.Addr().String())("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

func write(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
}

func readByte(t *testing.T, nc net.Conn) {
	t.Helper()
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// Unread data and the end of a connection are detected without being consumed.
func TestUnread(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("known on Linux only")
	}
	near, far := pair(t)
	got := []bool{Unread(near)}
	write(t, far, "x")
	for !Unread(near) {
		runtime.Gosched()
	}
	readByte(t, near)
	got = append(got, Unread(near))
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	for !Unread(near) {
		runtime.Gosched()
	}
	if diff := cmp.Diff([]bool{false, false}, got); diff != "" {
		t.Errorf("unread before a byte and after it was read (-want +got):\n%s", diff)
	}
}

// A close by the peer is detected behind unread bytes, and detecting it consumes nothing.
func TestDeparted(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("known on Linux only")
	}
	for name, end := range map[string]func(far *net.TCPConn) error{
		"half closed": func(far *net.TCPConn) error { return far.CloseWrite() },
		"closed":      func(far *net.TCPConn) error { return far.Close() },
		"reset":       func(far *net.TCPConn) error { return errors.Join(far.SetLinger(0), far.Close()) },
		"closed in unread": func(far *net.TCPConn) error {
			_, err := far.Write([]byte("more"))
			return errors.Join(err, far.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			before := PeerClosed(near)
			write(t, far, "xy")
			scenario.Await(t, "the bytes have come", func() bool { return Unread(near) })
			unread := PeerClosed(near)
			if err := end(far.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			scenario.Await(t, "the end is seen", func() bool { return PeerClosed(near) })
			if diff := cmp.Diff([]bool{false, false}, []bool{before, unread}); diff != "" {
				t.Errorf("departed while it was there (-want +got):\n%s", diff)
			}
		})
	}
	near, _ := pair(t)
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	if !PeerClosed(near) {
		t.Error("a connection closed on this side passes for one whose other side is there")
	}
}

// A connection that waits to be accepted is detected without being accepted.
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
	defer func() { _ = far.Close() }()
	scenario.Await(t, "the connection waits", func() bool { return Pending(ln) })
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
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
	if got := SinceLastReceive(near); got < quiet/2 {
		t.Errorf("%v after %v without a byte", got, quiet)
	}
	write(t, far, "x")
	readByte(t, near)
	if got := SinceLastReceive(near); got > quiet/2 {
		t.Errorf("%v after a byte", got)
	}
}

// TCP and UDP get the same address, and a port that another socket has is not used.
func TestPair(t *testing.T) {
	tcp, udp, err := Pair("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }()
	defer func() { _ = udp.Close() }()
	if tcp.Addr().String() != udp.LocalAddr().String() {
		t.Errorf("%v and %v", tcp.Addr(), udp.LocalAddr())
	}
	if _, _, err := Pair(tcp.Addr().String()); err == nil {
		t.Error("bound twice")
	}
	_ = tcp.Close() // its datagrams are still another's
	if _, _, err := Pair(udp.LocalAddr().String()); err == nil {
		t.Error("bound for streams alone")
	}
}
