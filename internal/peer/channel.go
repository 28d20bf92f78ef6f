package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fieldrelay/internal/socket"
)

// Bounds of the channel.
const (
	maxInbound   = 256              // streams from others; one over it is closed unread
	maxLinks     = 128              // streams to others; what goes to one over it is dropped
	maxQueued    = 64               // frames that wait for one stream; the oldest goes first
	dialTimeout  = time.Second      // a peer that cannot be reached
	writeTimeout = 2 * time.Second  // a peer that does not read
	readTimeout  = 2 * time.Second  // a frame that has begun
	idleTimeout  = 20 * time.Second // a stream that carries nothing
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 3 * time.Second // between two tries to reach a peer, doubled and jittered
	lengthBytes  = 4
)

// Counts are what has passed. Bytes are those of frames, without the system's headers.
type Counts struct {
	SentDatagrams, SentStreamed, SentBytes int64
	ReceivedFrames, ReceivedBytes          int64
	Dropped                                int64 // frames to a peer that was slow or out of reach
	Refused                                int64 // streams over maxInbound
}

// Channel is one sidecar's end: a datagram socket and a listener at one address, and streams to the others.
type Channel struct {
	deliver func(frame []byte)
	udp     *net.UDPConn
	tcp     net.Listener
	wg      sync.WaitGroup
	done    chan struct{}

	mu      sync.Mutex
	links   map[string]*link
	inbound map[net.Conn]bool
	closed  bool

	sentDatagrams, sentStreamed, sentBytes, receivedFrames, receivedBytes, dropped, refused atomic.Int64
}

// link is the stream to one address. Its goroutine lives while frames wait, and idleTimeout longer.
type link struct {
	frames chan []byte
}

// Listen opens both sockets at address (host:port; port 0: one that is free for both). deliver is called from several
// goroutines; the frame is its own.
func Listen(address string, deliver func(frame []byte)) (*Channel, error) {
	tcp, udp, err := socket.Pair(address)
	if err != nil {
		return nil, err
	}
	c := &Channel{deliver: deliver, udp: udp, tcp: tcp, done: make(chan struct{}), links: map[string]*link{}, inbound: map[net.Conn]bool{}}
	c.wg.Add(2)
	go c.readDatagrams()
	go c.accept()
	return c, nil
}

// Addr is where it listens.
func (c *Channel) Addr() string { return c.tcp.Addr().String() }

// Counts are the figures so far.
func (c *Channel) Counts() Counts {
	return Counts{SentDatagrams: c.sentDatagrams.Load(), SentStreamed: c.sentStreamed.Load(), SentBytes: c.sentBytes.Load(),
		ReceivedFrames: c.receivedFrames.Load(), ReceivedBytes: c.receivedBytes.Load(), Dropped: c.dropped.Load(), Refused: c.refused.Load()}
}

// Close ends all sockets and goroutines.
func (c *Channel) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	close(c.done)
	c.udp.Close()
	c.tcp.Close()
	for nc := range c.inbound {
		nc.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// Datagram sends a frame that may be lost. It does not block.
func (c *Channel) Datagram(address string, frame []byte) error {
	if len(frame) > MaxDatagram {
		return fmt.Errorf("%w: a datagram of %d bytes", ErrTooLong, len(frame))
	}
	to, err := netip.ParseAddrPort(address) // no name: a look-up would block
	if err != nil {
		return err
	}
	if _, err = c.udp.WriteToUDPAddrPort(frame, to); err == nil {
		c.sentDatagrams.Add(1)
		c.sentBytes.Add(int64(len(frame)))
	}
	return err
}

// Stream queues a frame for an address. It does not block: what a slow peer does not take is dropped, the oldest first.
func (c *Channel) Stream(address string, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	l := c.links[address]
	if l == nil {
		if len(c.links) >= maxLinks {
			c.dropped.Add(1)
			return
		}
		l = &link{frames: make(chan []byte, maxQueued)}
		c.links[address] = l
		c.wg.Add(1)
		go c.serveLink(address, l)
	}
	for {
		select {
		case l.frames <- frame:
			return
		default:
		}
		select { // full: room for the newer one
		case <-l.frames:
			c.dropped.Add(1)
		default:
		}
	}
}

// serveLink writes what waits for an address.
func (c *Channel) serveLink(address string, l *link) {
	defer c.wg.Done()
	var nc net.Conn
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	rest := minBackoff
	for {
		var frame []byte
		idle := time.NewTimer(idleTimeout)
		select {
		case frame = <-l.frames:
		case <-c.done:
		case <-idle.C:
		}
		idle.Stop()
		if frame == nil {
			c.mu.Lock()
			if len(l.frames) > 0 && !c.closed {
				c.mu.Unlock()
				continue
			}
			delete(c.links, address)
			c.mu.Unlock()
			return
		}
		if nc != nil && closedByPeer(nc) {
			nc.Close()
			nc = nil
		}
		var err error
		if nc == nil {
			nc, err = net.DialTimeout("tcp", address, dialTimeout)
		}
		if err == nil {
			out := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(frame)), uint32(len(frame)))
			nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = nc.Write(append(out, frame...))
		}
		if err == nil {
			rest = minBackoff
			c.sentStreamed.Add(1)
			c.sentBytes.Add(int64(lengthBytes + len(frame)))
			continue
		}
		c.dropped.Add(1)
		if nc != nil {
			nc.Close()
			nc = nil
		}
		select { // jittered: those who lost one peer do not come back to it together
		case <-time.After(rest/2 + rand.N(rest)):
		case <-c.done:
		}
		rest = min(2*rest, maxBackoff)
	}
}

// gone tells whether the other side has closed a stream on which it never writes. The system is asked: a read has to have a
// deadline, and where that is over before the read begins (there was no processor for a millisecond) it tells nothing. It is
// left for what the system does not tell.
func closedByPeer(nc net.Conn) bool {
	if socket.Departed(nc) {
		return true
	}
	nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := nc.Read(make([]byte, 1))
	var timeout net.Error
	return !(errors.As(err, &timeout) && timeout.Timeout())
}

func (c *Channel) readDatagrams() {
	defer c.wg.Done()
	b := make([]byte, MaxDatagram+1)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > MaxDatagram { // an earlier datagram's port unreachable, or too long
			continue
		}
		c.receive(append([]byte(nil), b[:n]...))
	}
}

func (c *Channel) receive(frame []byte) {
	c.receivedFrames.Add(1)
	c.receivedBytes.Add(int64(len(frame)))
	c.deliver(frame)
}

func (c *Channel) accept() {
	defer c.wg.Done()
	for {
		nc, err := c.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select { // short of descriptors, perhaps
			case <-time.After(minBackoff):
			case <-c.done:
				return
			}
			continue
		}
		c.mu.Lock()
		full := c.closed || len(c.inbound) >= maxInbound
		if !full {
			c.inbound[nc] = true
			c.wg.Add(1)
		}
		c.mu.Unlock()
		if full {
			c.refused.Add(1)
			nc.Close()
			continue
		}
		go c.readStream(nc)
	}
}

// read takes frames from one stream. A frame that has begun must come whole in time; a bad length ends the stream.
func (c *Channel) readStream(nc net.Conn) {
	defer c.wg.Done()
	defer func() {
		nc.Close()
		c.mu.Lock()
		delete(c.inbound, nc)
		c.mu.Unlock()
	}()
	var head [lengthBytes]byte
	for {
		nc.SetReadDeadline(time.Now().Add(idleTimeout + readTimeout))
		if _, err := io.ReadFull(nc, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n == 0 || n > MaxFrame {
			return
		}
		nc.SetReadDeadline(time.Now().Add(readTimeout))
		frame, err := readFrame(nc, int(n))
		if err != nil {
			return
		}
		c.receive(frame)
	}
}

// readFrame grows with what has come, not with what was announced.
func readFrame(r io.Reader, n int) ([]byte, error) {
	var frame []byte
	for len(frame) < n {
		piece := min(n-len(frame), max(4<<10, len(frame)))
		frame = append(frame, make([]byte, piece)...)
		if _, err := io.ReadFull(r, frame[len(frame)-piece:]); err != nil {
			return nil, err
		}
	}
	return frame, nil
}
