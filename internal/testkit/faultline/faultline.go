// Package faultline is a fault injector between loopback sockets. A Link
// stands at an address of its own and passes streams and datagrams on to a
// target, each way with the faults that it is told. What happens to the k-th
// datagram or connection of a link depends on the seed, the link's name and k
// alone.
package faultline

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

// Bounds of a link.
const (
	maxStreams       = 512  // at a time; one over it is closed
	maxDelayed       = 8192 // datagrams on their way; one over it is lost
	maxDatagramBytes = 64 << 10
	chunkBytes       = 16 << 10 // of a stream, passed on at a time
	dialTimeout      = 2 * time.Second
	pollInterval     = 5 * time.Millisecond // while a way is held
	reorderFactor    = 3                    // a datagram that is overtaken comes this many delays later, and at least minReorderDelay
	minReorderDelay  = 10 * time.Millisecond
)

// Fault is what happens to all that passes one way. The zero Fault passes everything on at once.
type Fault struct {
	Drop      bool          // datagrams vanish, streams stand still; what they carried goes on once this ends
	Loss      float64       // part of the datagrams that vanish
	Delay     time.Duration // of each datagram, and of each piece of a stream
	Jitter    time.Duration // on top, evenly drawn
	Rate      int           // bytes a second of a stream; 0: no limit
	Reorder   float64       // part of the datagrams that later ones overtake
	Duplicate float64       // part of the datagrams that come twice
	Hang      bool          // a new connection is taken, and nothing follows
	Refuse    bool          // a new connection is reset
}

// Hits counts what faults struck.
type Hits struct {
	Datagrams, Lost, Duplicated, Reordered, Delayed int64
	Streams, Refused, Hung, Cut, HalfClosed         int64
	Held                                            int64 // pieces of streams that waited for a Drop to end
}

// Link is an injector before one target.
type Link struct {
	Name string

	seed uint64
	udp  *net.UDPConn
	tcp  net.Listener
	wg   sync.WaitGroup
	done chan struct{}

	mu                   sync.Mutex
	target               string
	announces            bool
	toTarget, fromTarget Fault // towards the target, and from it
	streams              map[*stream]bool
	datagrams            uint64 // numbers, from 1
	conns                uint64
	closed               bool
	delayed              atomic.Int64
	hits                 [10]atomic.Int64
	stalledChunks        atomic.Int64
}

const (
	hitDatagrams = iota
	hitLost
	hitDuplicated
	hitReordered
	hitDelayed
	hitStreams
	hitRefused
	hitHung
	hitReset
	hitHalfClosed
)

// NewLink opens a link to target at a free port of host, for streams and for datagrams.
func NewLink(name, host, target string, seed uint64) (*Link, error) {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // a hash takes everything
	tcp, udp, err := socket.Pair(net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &Link{Name: name, seed: seed ^ h.Sum64(), udp: udp, tcp: tcp, done: make(chan struct{}), target: target, streams: map[*stream]bool{}}
	l.wg.Add(2)
	go l.passDatagrams()
	go l.accept()
	return l, nil
}

// Announcement is the byte that an announcing link sends to its caller first.
const Announcement = '+'

// Announce has the link tell each caller by one byte that its connection has reached the target. While a way drops, it
// does not reach it: a caller that waits for the byte sees what the opening of a connection over a cut looks like.
func (l *Link) Announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announces = true
}

// Addr is where the link stands.
func (l *Link) Addr() string { return l.tcp.Addr().String() }

// Set changes the faults towards the target and from it. Datagrams only ever go towards it.
func (l *Link) Set(toTarget, fromTarget Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toTarget, l.fromTarget = toTarget, fromTarget
}

// Disconnect ends all streams with a reset, or, half, only the writing towards the target.
func (l *Link) Disconnect(half bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.streams {
		if half {
			if s.to != nil {
				_ = s.to.CloseWrite()
				l.hits[hitHalfClosed].Add(1)
			}
			continue
		}
		s.reset()
		l.hits[hitReset].Add(1)
	}
}

// Hits are the counts so far.
func (l *Link) Hits() Hits {
	h := func(i int) int64 { return l.hits[i].Load() }
	return Hits{Datagrams: h(hitDatagrams), Lost: h(hitLost), Duplicated: h(hitDuplicated), Reordered: h(hitReordered), Delayed: h(hitDelayed),
		Streams: h(hitStreams), Refused: h(hitRefused), Hung: h(hitHung), Cut: h(hitReset), HalfClosed: h(hitHalfClosed), Held: l.stalledChunks.Load()}
}

// Close ends the link and all that is on it.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.done)
	_ = l.udp.Close()
	_ = l.tcp.Close()
	for s := range l.streams {
		s.close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// randomFor is what is drawn for the k-th of its kind.
func (l *Link) randomFor(kind, k uint64) *rand.Rand { return rand.New(rand.NewPCG(l.seed+kind, k)) }

func (f Fault) wait(r *rand.Rand) time.Duration {
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(r.Int64N(int64(f.Jitter)))
	}
	return d
}

func (l *Link) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}
