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

	"fieldrelay/internal/sidecar/socket"
)

// Limits and timeouts of the channel.
const (
	maxInbound   = 256                    // maximum number of inbound streams; a further stream is closed unread
	maxLinks     = 128                    // maximum number of outbound streams; a frame for a further stream is dropped
	maxQueued    = 64                     // maximum number of frames queued for a stream; a further frame replaces the oldest one
	dialTimeout  = time.Second            // timeout of a connection attempt
	writeTimeout = 2 * time.Second        // timeout of a write, for peers that do not read
	readTimeout  = 2 * time.Second        // time for a frame to arrive completely after its length
	idleTimeout  = 20 * time.Second       // time without frames after which a stream is closed
	minBackoff   = 100 * time.Millisecond // initial wait after a failed attempt to reach a peer
	maxBackoff   = 3 * time.Second        // longest wait after a failed attempt; the wait doubles each time and is jittered
	lengthBytes  = 4                      // size of the length prefix of each frame in a stream, big-endian
)

// Counts holds the numbers of frames sent and received. Byte counts do not include the headers of the transport.
type Counts struct {
	SentDatagrams, SentStreamed, SentBytes int64
	ReceivedFrames, ReceivedBytes          int64
	Dropped                                int64 // frames dropped because the peer was slow or unreachable, or maxLinks was reached
	Refused                                int64 // inbound streams closed because maxInbound was reached
}

// Channel is a sidecar's endpoint of the channel: a datagram socket and a listener at one address, and streams to other sidecars.
// It is safe for concurrent use. Close waits for all of its goroutines.
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

// link is the outbound stream to an address. Its goroutine ends after idleTimeout without a queued frame.
type link struct {
	frames chan []byte
}

// Listen opens a datagram socket and a listener at an address (host:port; port 0: a port that is free for both). deliver is called
// from several goroutines concurrently and owns the frame that it receives.
func Listen(address string, deliver func(frame []byte)) (*Channel, error) {
	tcp, udp, err := socket.Pair(address)
	if err != nil {
		return nil, err
	}
	c := &Channel{deliver: deliver, udp: udp, tcp: tcp, done: make(chan struct{}), links: make(map[string]*link), inbound: make(map[net.Conn]bool)}
	c.wg.Add(2)
	go c.readDatagrams()
	go c.accept()
	return c, nil
}

// Addr returns the address on which the channel listens.
func (c *Channel) Addr() string { return c.tcp.Addr().String() }

// Counts returns the counts since the channel was opened.
func (c *Channel) Counts() Counts {
	return Counts{SentDatagrams: c.sentDatagrams.Load(), SentStreamed: c.sentStreamed.Load(), SentBytes: c.sentBytes.Load(),
		ReceivedFrames: c.receivedFrames.Load(), ReceivedBytes: c.receivedBytes.Load(), Dropped: c.dropped.Load(), Refused: c.refused.Load()}
}

// Close closes all sockets and waits for all goroutines.
func (c *Channel) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	close(c.done)
	_ = c.udp.Close() // there is no way to handle an error of Close
	_ = c.tcp.Close()
	for nc := range c.inbound {
		_ = nc.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// Datagram sends a frame as a datagram, which may be lost. It does not block.
func (c *Channel) Datagram(address string, frame []byte) error {
	if len(frame) > MaxDatagram {
		return fmt.Errorf("%w for a datagram: %d bytes", ErrTooLong, len(frame))
	}
	to, err := netip.ParseAddrPort(address) // no host names: a lookup would block
	if err != nil {
		return err
	}
	if _, err = c.udp.WriteToUDPAddrPort(frame, to); err == nil {
		c.sentDatagrams.Add(1)
		c.sentBytes.Add(int64(len(frame)))
	}
	return err
}

// Stream queues a frame for the stream to an address. It does not block: if the queue is full, its oldest frame is dropped.
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
		select { // the queue is full: drop the oldest frame in it
		case <-l.frames:
			c.dropped.Add(1)
		default:
		}
	}
}

// serveLink writes the frames that are queued for an address, and connects to the address as needed.
func (c *Channel) serveLink(address string, l *link) {
	defer c.wg.Done()
	var nc net.Conn
	defer func() {
		if nc != nil {
			_ = nc.Close() // unwritten data is lost, whether or not Close fails
		}
	}()
	backoff := minBackoff
	for {
		frame := c.nextFrame(l)
		if frame == nil {
			if c.removeLink(address, l) {
				return
			}
			continue
		}
		if nc != nil && closedByPeer(nc) {
			_ = nc.Close() // the peer has closed the stream already
			nc = nil
		}
		var err error
		if nc == nil {
			nc, err = net.DialTimeout("tcp", address, dialTimeout)
		}
		if err == nil {
			err = writeFrame(nc, frame)
		}
		if err == nil {
			backoff = minBackoff
			c.sentStreamed.Add(1)
			c.sentBytes.Add(int64(lengthBytes + len(frame)))
			continue
		}
		c.dropped.Add(1)
		if nc != nil {
			_ = nc.Close() // the stream has failed already
			nc = nil
		}
		select { // with jitter, so that peers that lost the same peer do not reconnect at the same time
		case <-time.After(backoff/2 + rand.N(backoff)):
		case <-c.done:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextFrame waits for a queued frame of a link. It returns nil if there was none within idleTimeout, or the channel was closed.
func (c *Channel) nextFrame(l *link) []byte {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	select {
	case frame := <-l.frames:
		return frame
	case <-c.done:
	case <-idle.C:
	}
	return nil
}

// removeLink removes a link and reports whether it did. It keeps a link for which a frame was queued meanwhile, unless the channel
// is closed.
func (c *Channel) removeLink(address string, l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.frames) > 0 && !c.closed {
		return false
	}
	delete(c.links, address)
	return true
}

// writeFrame writes a frame with its length prefix to a stream.
func writeFrame(nc net.Conn, frame []byte) error {
	out := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(frame)), uint32(len(frame)))
	if err := nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := nc.Write(append(out, frame...))
	return err
}

// closedByPeer reports whether the peer has closed a stream on which it never writes. It queries the operating system first,
// because a read needs a deadline: if the deadline passes before the read begins (the process did not run for a millisecond), the
// result of the read says nothing. The read covers cases in which the operating system does not report the close.
func closedByPeer(nc net.Conn) bool {
	if socket.PeerClosed(nc) {
		return true
	}
	if nc.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return true
	}
	_, err := nc.Read(make([]byte, 1))
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// readDatagrams receives datagrams until the socket is closed.
func (c *Channel) readDatagrams() {
	defer c.wg.Done()
	b := make([]byte, MaxDatagram+1)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > MaxDatagram { // for example "port unreachable" after an earlier datagram; or the datagram is too long
			continue
		}
		c.receive(append([]byte(nil), b[:n]...))
	}
}

// receive counts and delivers a frame.
func (c *Channel) receive(frame []byte) {
	c.receivedFrames.Add(1)
	c.receivedBytes.Add(int64(len(frame)))
	c.deliver(frame)
}

// accept accepts streams until the listener is closed.
func (c *Channel) accept() {
	defer c.wg.Done()
	for {
		nc, err := c.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select { // file descriptors may be exhausted: retry later
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
			_ = nc.Close() // nothing was read or written, so an error has no effect
			continue
		}
		go c.readStream(nc)
	}
}

// readStream receives frames from an inbound stream. After its length, a frame must arrive completely within readTimeout. An
// invalid length ends the stream.
func (c *Channel) readStream(nc net.Conn) {
	defer c.wg.Done()
	defer func() {
		_ = nc.Close() // the stream is only read, so an error has no effect
		c.mu.Lock()
		delete(c.inbound, nc)
		c.mu.Unlock()
	}()
	var head [lengthBytes]byte
	for {
		if nc.SetReadDeadline(time.Now().Add(idleTimeout+readTimeout)) != nil {
			return
		}
		if _, err := io.ReadFull(nc, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n == 0 || n > MaxFrame {
			return
		}
		if nc.SetReadDeadline(time.Now().Add(readTimeout)) != nil {
			return
		}
		frame, err := readFrame(nc, int(n))
		if err != nil {
			return
		}
		c.receive(frame)
	}
}

// readFrame reads a frame of n bytes. It allocates memory as bytes arrive, not n bytes in advance, since a sender may announce more
// than it sends.
func readFrame(r io.Reader, n int) ([]byte, error) {
	var frame []byte
	for len(frame) < n {
		chunk := min(n-len(frame), max(4<<10, len(frame)))
		frame = append(frame, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, frame[len(frame)-chunk:]); err != nil {
			return nil, err
		}
	}
	return frame, nil
}
