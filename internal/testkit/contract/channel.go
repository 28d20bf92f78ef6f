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

// Channel is one sidecar's endpoint for messages between sidecars.
type Channel interface {
	// Addr returns the address (host:port) at which the channel listens.
	Addr() string
	// Datagram sends a frame that may be lost. It does not block; it returns an error for a frame that is too long.
	Datagram(address string, frame []byte) error
	// Stream queues a frame. It does not block; when a slow peer does not take its frames, the oldest are dropped first.
	Stream(address string, frame []byte)
	// Close closes the channel and stops everything that it started. A second call does nothing.
	Close()
}

// ChannelMaker opens channels.
type ChannelMaker struct {
	Listen func(t T, deliver func(frame []byte)) (Channel, error)
	// Reach returns the address at which other channels reach a channel, and a function that ends this route; nil: channels
	// are reached at the address at which they listen.
	Reach func(t T, to Channel) (address string, end func(), err error)
	// MostDatagram and MostFrame are the maximum lengths, in bytes, of a datagram frame and of a stream frame.
	MostDatagram, MostFrame int
	// Sockets reports whether clients can dial the address of a channel over TCP; the channel then reads what they write.
	Sockets bool
	// ReadTimeout is the time after which the channel closes a connection on which a frame has begun but does not go on.
	ReadTimeout time.Duration
}

// ChannelClauses are the requirements on every channel between sidecars.
var ChannelClauses = []Clause[ChannelMaker]{
	{"stream frames are delivered at most once and in order", channelOrder},
	{"a frame is delivered unchanged or not at all", channelComplete},
	{"frames over the maximum length are not delivered", channelLong},
	{"a slow receiver does not delay other receivers", channelSlow},
	{"a new listener at a known address is reached", channelBack},
	{"malformed input from unknown clients is ignored", channelStrangers},
	{"a stalled frame closes the connection", channelReadTimeout},
	{"close stops everything that was started", channelClose},
}

// inbox records the frames that a channel delivers.
type inbox struct {
	mu     sync.Mutex
	frames [][]byte
	resume chan struct{} // deliver blocks until it is closed, as a slow receiver does; nil: deliver does not block
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

// pair opens two channels. It returns them, the inbox of the second one, the address at which the first reaches the second,
// and a function that closes both.
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
			return fmt.Errorf("frame %d was delivered after frame %d", binary.BigEndian.Uint32(f), binary.BigEndian.Uint32(before))
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
			return fmt.Errorf("channel delivered a frame of %d bytes that was not sent", len(f))
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
		return errors.New("method Datagram accepted a frame over the maximum length")
	}
	a.Stream(to, make([]byte, m.MostFrame+1))
	if err := until("delivery of a frame sent after one over the maximum length", func() bool {
		a.Stream(to, []byte(lastFrame)) // the frame over the maximum may have closed the connection
		return in.has(lastFrame)
	}); err != nil {
		return err
	}
	for _, f := range in.all() {
		if len(f) > m.MostFrame {
			return fmt.Errorf("channel delivered a frame of %d bytes, which is over the maximum", len(f))
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
		return fmt.Errorf("slow receiver blocked the sender for %v", took)
	}
	return until("delivery of a frame to another receiver", func() bool { return in.has(lastFrame) })
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
	ln, err := net.Listen("tcp", to) // the new listener at the same address
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
		_, _ = io.WriteString(nc, text) // the channel may close the connection early
		_ = nc.Close()
	}
	a.Stream(to, []byte(lastFrame))
	if err := until("delivery of a frame sent after malformed input", func() bool { return in.has(lastFrame) }); err != nil {
		return err
	}
	for _, f := range in.all() {
		if len(f) > 300 {
			return fmt.Errorf("channel delivered a frame of %d bytes from an unknown client", len(f))
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
		return errors.Join(fmt.Errorf("connection with a stalled frame is still open after %v", time.Since(from)), err)
	}
	if took := time.Since(from); took < m.ReadTimeout/2 || took > m.ReadTimeout+waitTimeout/2 {
		return fmt.Errorf("connection with a stalled frame was closed after %v, expected after %v", took, m.ReadTimeout)
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
	a.Close() // a second Close does nothing
	a.Stream(to, []byte("late"))
	_ = a.Datagram(to, []byte("late")) // either returns an error or loses the frame
	if took := time.Since(from); took > waitTimeout/2 {
		return fmt.Errorf("close took %v", took)
	}
	return goleak.Find(before)
}
