package faultline

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

func (l *Link) passDatagrams() {
	defer l.wg.Done()
	b := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l.mu.Lock()
		f, target := l.toTarget, l.target
		l.datagrams++
		k := l.datagrams
		l.mu.Unlock()
		l.datagram(f, target, k, append([]byte(nil), b[:n]...))
	}
}

func (l *Link) datagram(f Fault, target string, k uint64, b []byte) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return
	}
	l.hits[hitDatagrams].Add(1)
	r := l.randomFor(1, k)
	lost, overtaken, duplicated := r.Float64() < f.Loss, r.Float64() < f.Reorder, r.Float64() < f.Duplicate
	wait := f.wait(r)
	if f.Drop || lost {
		l.hits[hitLost].Add(1)
		return
	}
	if overtaken {
		wait += max(reorderFactor*wait, minReorderDelay)
		l.hits[hitReordered].Add(1)
	}
	copies := 1
	if duplicated {
		copies = 2
		l.hits[hitDuplicated].Add(1)
	}
	for range copies {
		if wait == 0 {
			_, _ = l.udp.WriteToUDPAddrPort(b, to) // a failed write counts as the loss of a datagram
			continue
		}
		if l.delayed.Add(1) > maxDelayed {
			l.delayed.Add(-1)
			l.hits[hitLost].Add(1)
			continue
		}
		l.hits[hitDelayed].Add(1)
		time.AfterFunc(wait, func() {
			l.delayed.Add(-1)
			_, _ = l.udp.WriteToUDPAddrPort(b, to) // fails if the link was closed meanwhile
		})
	}
}
