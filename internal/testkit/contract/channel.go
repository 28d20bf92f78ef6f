package contract

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/goleak"
)

// Channel is one sidecar's end of what passes between sidecars.
type Channel interface {
	// Addr is the address (host:port) at which it listens.
	Addr() string
	// Datagram sends a frame that may be lost. It does not block; a frame that is too long is the error.
	Datagram(address string, frame []byte) error
	// Stream queues a frame. It does not block; what a slow peer does not take is dropped, the oldest first.
	Stream(address string, frame []byte)
	// Close ends it and all that it has begun. A second call does nothing.
	Close()
}

// ChannelMaker opens channels.
type ChannelMaker struct {
	Listen func(t T, deliver func(frame []byte)) (Channel, error)
	// Reach is the address at which one reaches another, and what ends that way; nil: where it listens.
	Reach func(t T, to Channel) (address string, end func(), err error)
	// MostDatagram and MostFrame are the longest frames, in bytes.
	MostDatagram, MostFrame int
	// Sockets tells that others can dial the address of a channel, which then reads what they write.
	Sockets bool
	// ReadTimeout is after what time a frame that has begun and does not go on is a break.
	ReadTimeout time.Duration
}

// ChannelClauses are what every channel between sidecars promises.
var ChannelClauses = []Clause[ChannelMaker]{
	{"frames of a stream come once and in order", channelOrder},
	{"a frame comes as it was sent or not at all", channelComplete},
	{"frames that are too long go nowhere", channelLong},
	{"a slow reader makes no other one wait", channelSlow},
	{"who comes back at an address is reached again", channelBack},
	{"what strangers write does no harm", channelStrangers},
	{"silence in a frame is a break", channelReadTimeout},
	{"close ends all that was begun", channelClose},
}

// inbox keeps what a channel delivers.
type inbox struct {
	mu     sync.Mutex
	frames [][]byte
	resume chan struct{} // a slow reader's deliver waits for it
}

func (in *inbox) deliver(frame []byte) {
	if in.resume != nil {
		<-in.resume
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.frames = append(in.frames, frame)
}

func (in *inbox) all() [][]byte {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([][]byte(nil), in.frames...)
}

func (in *inbox) has(frame string) bool {
	for _, f := range in.all() {
		if string(f) == frame {
			return true
		}
	}
	return false
}

// pair opens two channels, and gives the way from the first to the second.
func (m ChannelMaker) pair(t T) (a, b Channel, in *inbox, to string, end func(), err error) {
	in = &inbox{}
	if a, err = m.Listen(t, func([]byte) {}); err != nil {
		return nil, nil, nil, "", nil, err
	}
	if b, err = m.Listen(t, in.deliver); err != nil {
		a.Close()
		return nil, nil, nil, "", nil, err
	}
	to, away, err := m.reach(t, b)
	return a, b, in, to, func() { a.Close(); b.Close(); away() }, err
}

func (m ChannelMaker) reach(t T, to Channel) (string, func(), error) {
	if m.Reach == nil {
		return to.Addr(), func() {}, nil
	}
	return m.Reach(t, to)
}

const (
	orderFrames = 500
	lastFrame   = "the last one"
)

func channelOrder(t T, m ChannelMaker) error {
	a, _, in, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	for i := range orderFrames {
		a.Stream(to, binary.BigEndian.AppendUint32(nil, uint32(i)))
	}
	if err := until("the last frame", func() bool {
		got := in.all()
		return len(got) > 0 && binary.BigEndian.Uint32(got[len(got)-1]) == orderFrames-1
	}); err != nil {
		return err
	}
	for i, f := range in.all()[1:] {
		if before := in.all()[i]; binary.BigEndian.Uint32(before) >= binary.BigEndian.Uint32(f) {
			return fmt.Errorf("frame %d came behind frame %d", binary.BigEndian.Uint32(f), binary.BigEndian.Uint32(before))
		}
	}
	return nil
}

func channelComplete(t T, m ChannelMaker) error {
	a, _, in, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	sent := map[string]bool{}
	for i := range 40 {
		frame := bytes.Repeat([]byte{byte(i + 1)}, 1+i*m.MostDatagram/40)
		sent[string(frame)] = true
		if err := a.Datagram(to, frame); err != nil {
			return err
		}
		big := bytes.Repeat([]byte{byte(i + 100)}, 1+i*m.MostFrame/400)
		sent[string(big)] = true
		a.Stream(to, big)
	}
	a.Stream(to, []byte(lastFrame))
	if err := until("the last frame", func() bool { return in.has(lastFrame) }); err != nil {
		return err
	}
	for _, f := range in.all() {
		if string(f) != lastFrame && !sent[string(f)] {
			return fmt.Errorf("a frame of %d bytes came that was not sent", len(f))
		}
	}
	return nil
}

func channelLong(t T, m ChannelMaker) error {
	a, _, in, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	if a.Datagram(to, make([]byte, m.MostDatagram+1)) == nil {
		return errors.New("a datagram over the bound was taken")
	}
	a.Stream(to, make([]byte, m.MostFrame+1))
	if err := until("a frame behind one over the bound", func() bool {
		a.Stream(to, []byte(lastFrame)) // the stream may have been broken by the one before
		return in.has(lastFrame)
	}); err != nil {
		return err
	}
	for _, f := range in.all() {
		if len(f) > m.MostFrame {
			return fmt.Errorf("a frame of %d bytes was delivered", len(f))
		}
	}
	return nil
}

func channelSlow(t T, m ChannelMaker) error {
	a, _, in, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	slow := &inbox{resume: make(chan struct{})}
	b, err := m.Listen(t, slow.deliver)
	if err != nil {
		return err
	}
	defer b.Close()
	defer close(slow.resume)
	toSlow, away, err := m.reach(t, b)
	if err != nil {
		return err
	}
	defer away()
	from := time.Now()
	for range 400 {
		a.Stream(toSlow, make([]byte, m.MostFrame))
	}
	a.Stream(to, []byte(lastFrame))
	if took := time.Since(from); took > waitTimeout/2 {
		return fmt.Errorf("the sender was held up for %v", took)
	}
	return until("a frame to another one", func() bool { return in.has(lastFrame) })
}

func channelBack(t T, m ChannelMaker) error {
	if !m.Sockets || m.Reach != nil {
		return nil
	}
	a, b, in, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	a.Stream(to, []byte("first"))
	if err := until("the first frame", func() bool { return in.has("first") }); err != nil {
		return err
	}
	b.Close()
	ln, err := net.Listen("tcp", to) // whoever is there now
	if err != nil {
		return err
	}
	defer func() { _ = ln.Close() }()
	came := make(chan error, 1)
	go func() {
		nc, err := ln.Accept()
		if err == nil {
			if err = nc.SetReadDeadline(time.Now().Add(waitTimeout)); err == nil {
				_, err = io.ReadFull(nc, make([]byte, 1))
			}
			err = errors.Join(err, nc.Close())
		}
		came <- err
	}()
	for {
		a.Stream(to, []byte("second"))
		select {
		case err := <-came:
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func channelStrangers(t T, m ChannelMaker) error {
	if !m.Sockets {
		return nil
	}
	a, b, in, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff and so on", "\x00\x00\x01\x00 too short"} {
		nc, err := net.DialTimeout("tcp", b.Addr(), waitTimeout)
		if err != nil {
			return err
		}
		_, _ = io.WriteString(nc, text) // the channel may end it early
		_ = nc.Close()
	}
	a.Stream(to, []byte(lastFrame))
	if err := until("a frame behind what strangers wrote", func() bool { return in.has(lastFrame) }); err != nil {
		return err
	}
	for _, f := range in.all() {
		if len(f) > 300 {
			return fmt.Errorf("a stranger's %d bytes were delivered", len(f))
		}
	}
	return nil
}

func channelReadTimeout(t T, m ChannelMaker) error {
	if !m.Sockets {
		return nil
	}
	_, b, _, _, end, err := m.pair(t)
	if err != nil {
		return err
	}
	defer end()
	nc, err := net.DialTimeout("tcp", b.Addr(), waitTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	_, writeErr := nc.Write([]byte{0, 0, 1, 0, 7})
	if err := errors.Join(writeErr, nc.SetReadDeadline(time.Now().Add(m.ReadTimeout+waitTimeout))); err != nil {
		return err
	}
	from := time.Now()
	if _, err := nc.Read(make([]byte, 1)); errors.Is(err, nil) || isTimeout(err) {
		return errors.Join(fmt.Errorf("a frame that does not go on is no break after %v", time.Since(from)), err)
	}
	if took := time.Since(from); took < m.ReadTimeout/2 || took > m.ReadTimeout+waitTimeout/2 {
		return fmt.Errorf("a break after %v, promised after %v", took, m.ReadTimeout)
	}
	return nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func channelClose(t T, m ChannelMaker) error {
	before := goleak.IgnoreCurrent()
	a, b, _, to, end, err := m.pair(t)
	if err != nil {
		return err
	}
	for range 100 {
		a.Stream(to, []byte("x"))
		a.Stream("127.0.0.1:1", []byte("nobody there"))
		b.Stream(a.Addr(), []byte("y"))
	}
	from := time.Now()
	end()
	a.Close() // a second time does nothing
	a.Stream(to, []byte("late"))
	_ = a.Datagram(to, []byte("late")) // an error, or lost
	if took := time.Since(from); took > waitTimeout/2 {
		return fmt.Errorf("close took %v", took)
	}
	return goleak.Find(before)
}
