package faultline

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// peer starts a target that reports the datagrams that it receives and echoes streams.
func peer(t *testing.T) (addr string, datagrams chan string) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	if err != nil {
		t.Skip("the port is taken for datagrams: ", err)
	}
	t.Cleanup(func() { _ = tcp.Close() })
	t.Cleanup(func() { _ = udp.Close() })
	datagrams = make(chan string, 1024)
	go func() {
		b := make([]byte, 2048)
		for {
			n, _, err := udp.ReadFrom(b)
			if err != nil {
				return
			}
			datagrams <- string(b[:n])
		}
	}()
	go func() {
		for {
			nc, err := tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(nc, nc)
				_ = nc.Close()
			}()
		}
	}()
	return tcp.Addr().String(), datagrams
}

func link(t *testing.T, name, target string, seed uint64) *Link {
	t.Helper()
	l, err := NewLink(name, "127.0.0.1", target, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// send sends n datagrams through a link, each with a letter, and returns the received letters in order of arrival once all
// datagrams that were not lost have arrived.
func send(t *testing.T, l *Link, got chan string, n int) string {
	t.Helper()
	nc, err := net.Dial("udp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	before := l.Hits()
	var all strings.Builder
	for i := range n {
		if _, err := nc.Write([]byte{'a' + byte(i%26)}); err != nil {
			t.Fatal(err)
		}
		// Each datagram is sent after the link has received the previous one, so that the operating system cannot reorder them.
		for end := time.Now().Add(10 * time.Second); l.Hits().Datagrams < before.Datagrams+int64(i)+1; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(end) {
				t.Fatal("a datagram did not reach the link within 10 s")
			}
		}
	}
	h := l.Hits()
	want := int64(n) - (h.Lost - before.Lost) + h.Duplicated - before.Duplicated
	for range want {
		select {
		case d := <-got:
			all.WriteString(d)
		case <-time.After(10 * time.Second):
			t.Fatalf("received %d of %d datagrams", all.Len(), want)
		}
	}
	return all.String()
}

// Which datagrams are lost or duplicated depends only on the seed, the link's name and the datagram's number.
func TestFaultsFollowFromSeedNameAndNumber(t *testing.T) {
	target, got := peer(t)
	f := Fault{Loss: 0.3, Duplicate: 0.2}
	run := func(name string, seed uint64) string {
		l := link(t, name, target, seed)
		l.Set(f, Fault{})
		return send(t, l, got, 200)
	}
	first := run("a>b", 1)
	if again := run("a>b", 1); again != first {
		t.Errorf("two runs with the same seed and name differ:\n%s\n%s", first, again)
	}
	if run("a>b", 2) == first || run("a>c", 1) == first {
		t.Error("another seed or link gives the same faults")
	}
	if len(first) < 100 || len(first) > 240 {
		t.Errorf("received %d datagrams after sending 200, expected 100 to 240", len(first))
	}
}

func TestDropReorderAndDelay(t *testing.T) {
	target, got := peer(t)
	l := link(t, "x", target, 1)
	l.Set(Fault{Drop: true}, Fault{})
	if s := send(t, l, got, 5); s != "" {
		t.Errorf("received %q through a link that drops", s)
	}
	l.Set(Fault{Reorder: 0.3, Delay: time.Millisecond}, Fault{})
	if s := send(t, l, got, 26); s == "abcdefghijklmnopqrstuvwxyz" || len(s) != 26 || l.Hits().Reordered == 0 {
		t.Errorf("%q, %+v", s, l.Hits())
	}
}

func dial(t *testing.T, l *Link) *net.TCPConn {
	t.Helper()
	nc, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return nc.(*net.TCPConn)
}

func echo(t *testing.T, nc net.Conn) {
	t.Helper()
	b := make([]byte, 2)
	if _, err := nc.Write([]byte("hi")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != "hi" {
		t.Fatalf("%q, %v", b, err)
	}
}

func TestStreams(t *testing.T) {
	target, _ := peer(t)
	l := link(t, "x", target, 1)
	nc := dial(t, l)
	echo(t, nc)

	l.Set(Fault{Drop: true}, Fault{}) // the stream stalls, and resumes without loss
	if _, err := nc.Write([]byte("on")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); l.Hits().Held == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no chunk was held back by the drop")
		}
	}
	l.Set(Fault{}, Fault{})
	b := make([]byte, 2)
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != "on" {
		t.Fatalf("%q, %v", b, err)
	}

	l.Disconnect(true) // the target sees the end of the stream and closes its own direction
	if _, err := nc.Read(b); !errors.Is(err, io.EOF) {
		t.Errorf("after a half-close: %v", err)
	}
	nc = dial(t, l)
	echo(t, nc)
	l.Disconnect(false)
	if _, err := nc.Read(b); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a disconnect: %v", err)
	}
	l.Set(Fault{Refuse: true}, Fault{})
	refused, err := net.Dial("tcp", l.Addr()) // the reset may arrive before Dial returns
	if err == nil {
		if err := refused.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		_, err = refused.Read(b)
		_ = refused.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("refused: %v", err)
	}
	l.Set(Fault{Hang: true}, Fault{})
	nc = dial(t, l)
	if err := nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Read(b); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("hung: %v", err)
	}
	l.Set(Fault{Rate: 2000}, Fault{})
	nc = dial(t, l)
	from := time.Now()
	_, writeErr := nc.Write(make([]byte, 400))
	_, readErr := io.ReadFull(nc, make([]byte, 400))
	if err := errors.Join(writeErr, readErr); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(from); took < 150*time.Millisecond {
		t.Errorf("400 bytes at 2,000 a second took %v", took)
	}
	if h := l.Hits(); h.Cut == 0 || h.HalfClosed == 0 || h.Refused == 0 || h.Hung == 0 {
		t.Errorf("%+v", h)
	}
}
