package fleetsim

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/quota"
)

// Sums judges a limit from outside: it adds up what all that run may use, after every step of anybody.
type Sums struct {
	Broken       []string
	Looks        int
	Most         quota.Unit // the greatest sum
	Used         float64    // of the limit, the mean over time of what demand could be served
	Static       float64    // likewise, by an even split of the limit
	WithoutLease int        // looks at which somebody that runs held no lease
	at           time.Duration
	usedSum      float64
	evenSum      float64
	wanted       float64
}

// Sums begins to judge the limit of an index. over is what is allowed over it; it is called with the number of members
// without a lease.
func (w *World) Sums(limit int, over func(cut int) quota.Unit) *Sums {
	s := &Sums{}
	l := w.opts.Limits[limit]
	stepped := w.Stepped
	w.Stepped = func(n *Node, at time.Duration) {
		w.sum(s, l, at, over)
		if stepped != nil {
			stepped(n, at)
		}
	}
	return s
}

func (w *World) sum(s *Sums, l quota.Limit, at time.Duration, over func(cut int) quota.Unit) {
	var all, used, even, wanted quota.Unit
	cut, up := 0, 0
	for _, n := range w.nodes {
		if n.Core != nil {
			up++
		}
	}
	for _, n := range w.nodes {
		if n.Core == nil || n.stopped {
			continue
		}
		now := n.clock(at)
		part, _, until := n.Core.Holder().Share(l.Name, now)
		all += part
		if until > now+1000*time.Hour {
			cut++
		}
		if w.opts.Demand != nil {
			d := w.opts.Demand(n.Index, at)
			used += min(d, part)
			even += min(d, l.Total/quota.Unit(up))
			wanted += d
		}
	}
	s.Looks++
	s.Most = max(s.Most, all)
	if cut > 0 {
		s.WithoutLease++
	}
	if most := l.Total + over(cut); all > most && len(s.Broken) < mostBroken {
		s.Broken = append(s.Broken, fmt.Sprintf("%v: parts sum to %d of %d, %d without a lease", at, all, most, cut))
	}
	d := float64(at - s.at)
	s.at = at
	could := float64(min(wanted, l.Total))
	s.usedSum, s.evenSum, s.wanted = s.usedSum+d*float64(used), s.evenSum+d*float64(even), s.wanted+d*could
	if s.wanted > 0 {
		s.Used, s.Static = s.usedSum/s.wanted, s.evenSum/s.wanted
	}
}
