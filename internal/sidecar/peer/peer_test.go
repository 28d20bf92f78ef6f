package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fieldrelay/internal/sidecar/member"
)

var sender = member.Record{Name: "a", Addr: "127.0.0.1:1", Boot: 7, Incarnation: 2}

func TestFrames(t *testing.T) {
	ping := &member.Message{Kind: member.Ping, Seq: 3, To: "b", Updates: []member.Record{sender}}
	valid, err := Encode(Frame{Fleet: "x", From: sender, Member: ping})
	if err != nil {
		t.Fatal(err)
	}
	newer, _ := cbor.Marshal(map[int]any{1: 9, 2: 1, 3: "x", 4: sender, 5: ping, 99: "what a later version says"})
	incompatible, _ := cbor.Marshal(map[int]any{1: 9, 2: 8, 3: "x", 4: sender})
	noSender, _ := cbor.Marshal(map[int]any{1: 1, 2: 1, 3: "x"})
	for name, c := range map[string]struct {
		frame    []byte
		fleet    string
		want     error
		accepted bool
	}{
		"a frame":                       {valid, "x", nil, true},
		"of a later version":            {newer, "x", nil, true},
		"of another fleet":              {valid, "y", ErrFleet, false},
		"no version in common":          {incompatible, "x", ErrVersion, false},
		"without a sender":              {noSender, "x", nil, false},
		"cut short":                     {valid[:len(valid)-2], "x", nil, false},
		"nothing":                       {nil, "x", nil, false},
		"longer than what is ever read": {make([]byte, MaxFrame+1), "x", ErrTooLong, false},
	} {
		f, err := Decode(c.frame, c.fleet)
		if (err == nil) != c.accepted || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		} else if c.accepted && (f.Member == nil || f.Member.Seq != 3 || f.Member.Updates[0] != sender) {
			t.Errorf("%s: read %+v", name, f)
		}
	}
}

func FuzzDecode(f *testing.F) {
	valid, _ := Encode(Frame{Fleet: "x", From: sender, Member: &member.Message{Kind: member.Sync, Updates: []member.Record{sender, sender}}})
	f.Add(valid)
	f.Add(valid[:9])
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b, "x")
		if err != nil {
			return
		}
		m := member.New(member.Config{Name: "m", Boot: 1, Pace: time.Second, Seed: 1}, 0)
		if frame.Member != nil { // what can be read must not upset the detector
			m.Step(1, member.Received{From: frame.From, Message: *frame.Member})
		}
		if again, err := Encode(frame); err != nil || len(again) == 0 {
			t.Errorf("read but not written: %v", err)
		}
	})
}

// openChannel is a channel whose frames come on a Go channel.
func openChannel(t *testing.T) (*Channel, chan []byte) {
	t.Helper()
	got := make(chan []byte, 1024)
	c, err := Listen("127.0.0.1:0", func(b []byte) { got <- b })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, got
}

func receiveFrame(t *testing.T, got chan []byte) []byte {
	t.Helper()
	select {
	case b := <-got:
		return b
	case <-time.After(10 * time.Second):
		t.Fatal("no frame came")
		return nil
	}
}

// closeOnCleanup closes a socket at the end of a test.
func closeOnCleanup(t *testing.T, socket io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
	})
}

// writeLength writes the length of a frame to a stream, and bounds the wait for an answer.
func writeLength(t *testing.T, nc net.Conn, length uint32) {
	t.Helper()
	if _, err := nc.Write(binary.BigEndian.AppendUint32(nil, length)); err != nil {
		t.Fatal(err)
	}
	if err := nc.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
}

// A peer that accepts and reads nothing fills its own queue; the others get what is sent meanwhile.
func TestSlowPeerDoesNotDelayOthers(t *testing.T) {
	unreadListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, unreadListener)
	a, _ := openChannel(t)
	b, got := openChannel(t)
	big := make([]byte, MaxFrame)
	for range 200 {
		a.Stream(unreadListener.Addr().String(), big) // does not block
	}
	a.Stream(b.Addr(), []byte("soon"))
	if string(receiveFrame(t, got)) != "soon" {
		t.Error("another frame came")
	}
	if c := a.Counts(); c.Dropped < 200-maxQueued-40 {
		t.Errorf("%d dropped of 200", c.Dropped)
	}
	if err := a.Datagram(b.Addr(), make([]byte, MaxDatagram+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("a long datagram: %v", err)
	}
	if err := a.Datagram(b.Addr(), []byte("loose")); err != nil || string(receiveFrame(t, got)) != "loose" {
		t.Errorf("a datagram: %v", err)
	}
}

// A malformed frame ends its own stream and no other.
func TestBadStreams(t *testing.T) {
	c, got := openChannel(t)
	for name, head := range map[string]uint32{"empty": 0, "oversized": MaxFrame + 1} {
		nc, err := net.Dial("tcp", c.Addr())
		if err != nil {
			t.Fatal(err)
		}
		closeOnCleanup(t, nc)
		writeLength(t, nc, head)
		if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v, not closed", name, err)
		}
	}
	stalled, err := net.Dial("tcp", c.Addr()) // announces a frame and sends none: it is closed in time
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, stalled)
	writeLength(t, stalled, MaxFrame)
	a, _ := openChannel(t)
	a.Stream(c.Addr(), []byte("whole"))
	if !bytes.Equal(receiveFrame(t, got), []byte("whole")) {
		t.Error("another frame came")
	}
	if err := stalled.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := stalled.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a silent stream: %v, not closed", err)
	}
}

// A peer that restarts at its address is reached again over the same link.
func TestPeerComesBack(t *testing.T) {
	a, _ := openChannel(t)
	b, got := openChannel(t)
	a.Stream(b.Addr(), []byte("1"))
	receiveFrame(t, got)
	b.Close()
	afterRestart := make(chan []byte, 16)
	c, err := Listen(b.Addr(), func(f []byte) { afterRestart <- f })
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The first frame is lost if it is written to the old stream before that is seen to be closed.
	for end := time.Now().Add(10 * time.Second); ; {
		a.Stream(c.Addr(), []byte("2"))
		select {
		case f := <-afterRestart:
			if string(f) != "2" {
				t.Error("another frame came")
			}
			return
		case <-time.After(20 * time.Millisecond):
			if time.Now().After(end) {
				t.Fatal("no frame came")
			}
		}
	}
}

// A stream that the other side has closed is never taken for an open one, however late the check runs.
func TestClosedStreamIsSeen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, ln)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, nc)
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if closedByPeer(nc) {
		t.Error("an open one was taken for closed")
	}
	if err := errors.Join(other.Close(), nc.SetReadDeadline(time.Now().Add(10*time.Second))); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	for i := range 2000 {
		if !closedByPeer(nc) {
			t.Fatalf("check %d did not see it", i)
		}
	}
	if !closedByPeer(&delayedConn{nc.(*net.TCPConn)}) {
		t.Error("a check that did not run for a while did not see it")
	}
}

// delayedConn is a stream whose user does not run after it has set a deadline, until that has passed.
type delayedConn struct{ *net.TCPConn }

func (s *delayedConn) SetReadDeadline(end time.Time) error {
	err := s.TCPConn.SetReadDeadline(end)
	<-time.After(time.Until(end))
	return err
}
