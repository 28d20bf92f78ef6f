// Package faultline injects network faults between loopback sockets. A Link is a proxy with an address of its own: it
// forwards streams and datagrams to a target and applies the configured faults in each direction. The random faults of the
// k-th datagram or connection of a link depend on the seed, the link's name and k alone, so that a run can be repeated.
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
	maxStreams       = 512      // simultaneous connections; a further one is reset
	maxDelayed       = 8192     // delayed datagrams that were not sent on yet; a further one is lost
	maxDatagramBytes = 64 << 10 // size of the receive buffer
	chunkBytes       = 16 << 10 // greatest number of bytes of a stream that are forwarded at a time
	dialTimeout      = 2 * time.Second
	pollInterval     = 5 * time.Millisecond  // interval of checks whether a Drop has ended
	reorderFactor    = 3                     // additional delay of a reordered datagram in units of its delay
	minReorderDelay  = 10 * time.Millisecond // least additional delay of a reordered datagram
)

// Fault describes the faults of one direction. The zero Fault forwards everything without delay.
type Fault struct {
	Drop      bool          // datagrams are lost, streams stall; the data of streams is forwarded once the fault ends
	Loss      float64       // fraction of the datagrams that are lost
	Delay     time.Duration // delay of each datagram and of each chunk of a stream
	Jitter    time.Duration // upper limit of an additional, uniformly distributed delay
	Rate      int           // bytes per second of a stream; 0: no limit
	Reorder   float64       // fraction of the datagrams that later ones overtake
	Duplicate float64       // fraction of the datagrams that are delivered twice
	Hang      bool          // a new connection is accepted, but nothing is forwarded or answered
	Refuse    bool          // a new connection is reset
}

// Hits counts the datagrams and connections of a link, and those that were affected by each fault.
type Hits struct {
	Datagrams, Lost, Duplicated, Reordered, Delayed int64
	Streams, Refused, Hung, Cut, HalfClosed         int64
	Held                                            int64 // chunks of streams that waited for a Drop to end
}

// Link is a fault-injecting proxy of one target.
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
	toTarget, fromTarget Fault // faults of the two directions
	streams              map[*stream]bool
	datagrams            uint64 // number of the newest datagram; the first is 1
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

// NewLink opens a link to target on a free port of host, for both TCP and UDP.
func NewLink(name, host, target string, seed uint64) (*Link, error) {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // writing to a hash never fails
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

// Announcement is the first byte that an announcing link sends to its caller.
const Announcement = '+'

// Announce makes the link send one byte to each caller once its connection has reached the target. While either direction
// drops, the connection does not reach the target: to a caller that waits for the byte, this looks like a TCP handshake
// during a network partition.
func (l *Link) Announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announces = true
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.tcp.Addr().String() }

// Set changes the faults towards the target and from it. Datagrams are only forwarded towards the target.
func (l *Link) Set(toTarget, fromTarget Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toTarget, l.fromTarget = toTarget, fromTarget
}

// Disconnect resets all streams, or, if half is set, only closes their direction towards the target.
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

// Hits returns the current counts.
func (l *Link) Hits() Hits {
	h := func(i int) int64 { return l.hits[i].Load() }
	return Hits{Datagrams: h(hitDatagrams), Lost: h(hitLost), Duplicated: h(hitDuplicated), Reordered: h(hitReordered), Delayed: h(hitDelayed),
		Streams: h(hitStreams), Refused: h(hitRefused), Hung: h(hitHung), Cut: h(hitReset), HalfClosed: h(hitHalfClosed), Held: l.stalledChunks.Load()}
}

// Close closes the link and all its connections, and waits for its goroutines to end.
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

// randomFor returns the random numbers for the k-th datagram or connection; kind separates independent sequences.
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
