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
	newer, _ := cbor.Marshal(map[int]any{1: 9, 2: 1, 3: "x", 4: sender, 5: ping, 99: "field of a later version"})
	incompatible, _ := cbor.Marshal(map[int]any{1: 9, 2: 8, 3: "x", 4: sender})
	noSender, _ := cbor.Marshal(map[int]any{1: 1, 2: 1, 3: "x"})
	for name, c := range map[string]struct {
		frame    []byte
		fleet    string
		want     error
		accepted bool
	}{
		"valid frame":          {valid, "x", nil, true},
		"from a later version": {newer, "x", nil, true},
		"from another fleet":   {valid, "y", ErrFleet, false},
		"no common version":    {incompatible, "x", ErrVersion, false},
		"no sender":            {noSender, "x", nil, false},
		"truncated":            {valid[:len(valid)-2], "x", nil, false},
		"empty":                {nil, "x", nil, false},
		"longer than MaxFrame": {make([]byte, MaxFrame+1), "x", ErrTooLong, false},
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
		if frame.Member != nil { // the failure detector must accept any frame that can be decoded
			m.Step(1, member.Received{From: frame.From, Message: *frame.Member})
		}
		if again, err := Encode(frame); err != nil || len(again) == 0 {
			t.Errorf("decoded frame cannot be encoded: %v", err)
		}
	})
}

// openChannel opens a channel and returns it with a Go channel on which its frames are delivered.
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
		t.Fatal("no frame received within 10 s")
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

// writeLength writes the length prefix of a frame to a stream, and sets a deadline for reads.
func writeLength(t *testing.T, nc net.Conn, length uint32) {
	t.Helper()
	if _, err := nc.Write(binary.BigEndian.AppendUint32(nil, length)); err != nil {
		t.Fatal(err)
	}
	if err := nc.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
}

// A peer that accepts a stream and never reads fills only its own queue: frames to other peers must still arrive.
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
		t.Error("received another frame than the one sent")
	}
	if c := a.Counts(); c.Dropped < 200-maxQueued-40 {
		t.Errorf("%d of 200 frames dropped", c.Dropped)
	}
	if err := a.Datagram(b.Addr(), make([]byte, MaxDatagram+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("datagram longer than MaxDatagram: got error %v", err)
	}
	if err := a.Datagram(b.Addr(), []byte("loose")); err != nil || string(receiveFrame(t, got)) != "loose" {
		t.Errorf("datagram not received as sent: error %v", err)
	}
}

// A malformed or incomplete frame must end its own stream and no other.
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
			t.Errorf("%s frame: stream not closed, read error %v", name, err)
		}
	}
	stalled, err := net.Dial("tcp", c.Addr()) // sends a length without a frame: the stream must be closed after readTimeout
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, stalled)
	writeLength(t, stalled, MaxFrame)
	a, _ := openChannel(t)
	a.Stream(c.Addr(), []byte("whole"))
	if !bytes.Equal(receiveFrame(t, got), []byte("whole")) {
		t.Error("received another frame than the one sent")
	}
	if err := stalled.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := stalled.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("stalled frame: stream not closed, read error %v", err)
	}
}

// A peer that restarts at the same address must be reached again over the same link.
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
	// The first frame is lost if it is written to the old stream before the close of that stream is detected.
	for end := time.Now().Add(10 * time.Second); ; {
		a.Stream(c.Addr(), []byte("2"))
		select {
		case f := <-afterRestart:
			if string(f) != "2" {
				t.Error("received another frame than the one sent")
			}
			return
		case <-time.After(20 * time.Millisecond):
			if time.Now().After(end) {
				t.Fatal("no frame received within 10 s")
			}
		}
	}
}

// A stream that the peer has closed must never be considered open, even if the process does not run for a while during the check.
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
		t.Error("open stream reported as closed")
	}
	if err := errors.Join(other.Close(), nc.SetReadDeadline(time.Now().Add(10*time.Second))); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	for i := range 2000 {
		if !closedByPeer(nc) {
			t.Fatalf("check %d: closed stream reported as open", i)
		}
	}
	if !closedByPeer(&delayedConn{nc.(*net.TCPConn)}) {
		t.Error("delayed check: closed stream reported as open")
	}
}

// delayedConn is a stream on which SetReadDeadline returns only after the deadline has passed, as if the process had not run
// meanwhile.
type delayedConn struct{ *net.TCPConn }

func (s *delayedConn) SetReadDeadline(end time.Time) error {
	err := s.TCPConn.SetReadDeadline(end)
	<-time.After(time.Until(end))
	return err
}
