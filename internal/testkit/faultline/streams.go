package faultline

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// stream is one TCP connection through a link: from the caller, and to the target (nil until it is connected).
type stream struct {
	from, to *net.TCPConn
}

func (s *stream) close() {
	_ = s.from.Close()
	if s.to != nil {
		_ = s.to.Close()
	}
}

// reset closes both connections so that their peers see a reset. A connection that was closed before stays as it is.
func (s *stream) reset() {
	_ = s.from.SetLinger(0)
	if s.to != nil {
		_ = s.to.SetLinger(0)
	}
	s.close()
}

// resetConnection closes one connection so that its peer sees a reset.
func resetConnection(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

func (l *Link) accept() {
	defer l.wg.Done()
	for {
		nc, err := l.tcp.Accept()
		if err != nil {
			return
		}
		s := &stream{from: nc.(*net.TCPConn)}
		l.mu.Lock()
		f, target := l.toTarget, l.target
		l.conns++
		k := l.conns
		full := l.closed || len(l.streams) >= maxStreams
		if !full && !f.Refuse {
			l.streams[s] = true
			l.wg.Add(1)
		}
		l.mu.Unlock()
		l.hits[hitStreams].Add(1)
		if full || f.Refuse {
			l.hits[hitRefused].Add(1)
			resetConnection(s.from)
			continue
		}
		go func() {
			defer l.wg.Done()
			l.serve(s, f, target, k)
			l.mu.Lock()
			delete(l.streams, s)
			l.mu.Unlock()
			s.close()
		}()
	}
}

// serve forwards one connection until both directions have ended.
func (l *Link) serve(s *stream, f Fault, target string, k uint64) {
	if f.Hang {
		l.hits[hitHung].Add(1)
		_, _ = io.Copy(io.Discard, s.from) // until the caller or Close ends the connection
		return
	}
	announces, open := l.awaitOpen()
	if !open {
		return
	}
	nc, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = s.from.SetLinger(0) // makes the close that follows a reset
		return
	}
	l.mu.Lock()
	s.to = nc.(*net.TCPConn)
	closed := l.closed
	l.mu.Unlock()
	if closed {
		return
	}
	if announces {
		if _, err := s.from.Write([]byte{Announcement}); err != nil {
			return
		}
	}
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		l.pass(s.to, s.from, func() Fault { return l.fromTarget }, l.randomFor(3, k))
	}()
	l.pass(s.from, s.to, func() Fault { return l.toTarget }, l.randomFor(2, k))
	both.Wait()
}

// awaitOpen waits, on an announcing link, until neither direction drops. It returns whether the link announces, and whether
// it is still open.
func (l *Link) awaitOpen() (announces, open bool) {
	for {
		l.mu.Lock()
		announces = l.announces
		dropped := announces && (l.toTarget.Drop || l.fromTarget.Drop)
		l.mu.Unlock()
		if !dropped {
			return announces, true
		}
		if !l.sleep(pollInterval) {
			return announces, false
		}
	}
}

// pass forwards one direction of a stream. It forwards the end of the stream as a half-close and a reset as a reset.
func (l *Link) pass(from, to *net.TCPConn, currentFault func() Fault, r *rand.Rand) {
	fault := func() Fault {
		l.mu.Lock()
		defer l.mu.Unlock()
		return currentFault()
	}
	b := make([]byte, chunkBytes)
	for {
		size := len(b)
		if f := fault(); f.Rate > 0 {
			size = max(1, min(size, f.Rate/50))
		}
		n, err := from.Read(b[:size])
		if n > 0 {
			f := fault()
			wait := f.wait(r)
			if f.Rate > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(f.Rate)
			}
			if wait > 0 && !l.sleep(wait) {
				return
			}
			for stalled := false; fault().Drop; stalled = true {
				if !stalled {
					l.stalledChunks.Add(1)
				}
				if !l.sleep(pollInterval) {
					return
				}
			}
			if _, werr := to.Write(b[:n]); werr != nil {
				resetConnection(from)
				return
			}
		}
		if err != nil {
			for fault().Drop { // a Drop also delays the end of the stream
				if !l.sleep(pollInterval) {
					return
				}
			}
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				resetConnection(to)
			}
			return
		}
	}
}
