package processfleet

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/fakebackend"
)

// Loss is that many sidecars end at once and come back.
type Loss struct {
	Who    []*Sidecar
	Lose   func(s *Sidecar) bool // whose kept state is gone; nil: nobody's
	Down   time.Duration         // from the end to the first start
	Within time.Duration         // all starts fall evenly into it
}

// Comeback is how the fleet came back from a loss. Times count from the kill.
type Comeback struct {
	Together time.Duration // all are in one view
	Serving  time.Duration // from then on, for five seconds, as much is served as before
	Full     time.Duration // both
	Before   float64       // the share that was served before
	// The most within 100 ms after the loss, and before it: calls for the list, connections and requests to nodes, of all.
	Lists, ListsBefore, Conns, ConnsBefore, Requests, RequestsBefore int
	Unanswered, Asked                                                int // requests begun since the loss
}

const (
	backWindow        = 5 * time.Second
	recoveredFraction = 0.98
	peakWindow        = 100 * time.Millisecond
	backBefore        = 5 * time.Second // of the time before the loss that is looked at
	backRetries       = 20 * time.Millisecond
)

// Lose plays a loss and waits until the fleet is back in full service, bound at the most. Load must be running.
func (r *Fleet) Lose(l Loss, bound time.Duration) (c Comeback, err error) {
	from, wall := r.History.Now(), time.Now()
	var wg sync.WaitGroup
	errs := make([]error, len(l.Who))
	for i, s := range l.Who {
		wg.Go(func() { errs[i] = s.Kill() })
	}
	wg.Wait()
	<-time.After(time.Until(wall.Add(l.Down)))
	for i, s := range l.Who {
		if l.Lose != nil && l.Lose(s) {
			errs = append(errs, s.loseState())
		}
		errs = append(errs, s.Start())
		if i+1 < len(l.Who) {
			<-time.After(l.Within / time.Duration(len(l.Who)))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return c, err
	}
	for time.Since(wall) < bound {
		if c.Together == 0 && r.Agreed() {
			c.Together = time.Since(wall)
		}
		var ok bool
		if c.Before, c.Serving, ok = servedAgain(r.History.Entries(), from); ok && c.Together > 0 {
			c.Full = max(c.Together, c.Serving)
			break
		}
		<-time.After(backRetries)
	}
	var lists, conns, came []*fakebackend.Tally
	for _, d := range r.lists {
		lists = append(lists, &d.Calls)
	}
	for _, n := range r.nodes {
		conns, came = append(conns, &n.Tally), append(came, &n.Came)
	}
	peaks := func(tallies []*fakebackend.Tally) (after, before int) {
		return fakebackend.Peak(peakWindow, wall, time.Now(), tallies...), fakebackend.Peak(peakWindow, wall.Add(-backBefore), wall, tallies...)
	}
	c.Lists, c.ListsBefore = peaks(lists)
	c.Conns, c.ConnsBefore = peaks(conns)
	c.Requests, c.RequestsBefore = peaks(came)
	c.Unanswered, c.Asked = unanswered(r.History.Entries(), from)
	if c.Full == 0 {
		return c, fmt.Errorf("not in full service within %v: %s", bound, r.dissent())
	}
	return c, nil
}

// servedAgain tells from when on, after a loss, as much is served for backWindow as before it, of the requests begun in a window
// whose last is over.
func servedAgain(entries []checker.Entry, loss time.Duration) (before float64, from time.Duration, ok bool) {
	type request struct {
		begun  time.Duration
		over   bool
		status int
	}
	var all []*request
	byID := map[string]*request{}
	for _, e := range entries {
		switch e.Kind {
		case checker.Ask:
			if byID[e.ID] == nil {
				byID[e.ID] = &request{begun: e.At}
				all = append(all, byID[e.ID])
			}
		case checker.Over:
			if q := byID[e.ID]; q != nil {
				q.over, q.status = true, e.Status
			}
		}
	}
	share := func(from, to time.Duration) (part float64, whole bool) {
		n, good := 0, 0
		for _, q := range all {
			if q.begun < from || q.begun >= to {
				continue
			}
			if !q.over {
				return 0, false
			}
			n++
			if q.status == 200 {
				good++
			}
		}
		return float64(good) / float64(max(1, n)), n > 0
	}
	before, _ = share(max(0, loss-backBefore), loss-time.Second/2) // what was out at the loss is the loss's
	if len(all) == 0 {
		return before, 0, false
	}
	last := all[len(all)-1].begun
	for at := loss; at+backWindow <= last; at += 50 * time.Millisecond {
		if part, whole := share(at, at+backWindow); whole && part >= recoveredFraction*before {
			return before, at - loss, true
		}
	}
	return before, 0, false
}

// unanswered counts the requests begun from a time on that were given up without any answer.
func unanswered(entries []checker.Entry, from time.Duration) (n, asked int) {
	begun := map[string]bool{}
	for _, e := range entries {
		switch {
		case e.Kind == checker.Ask && e.At >= from && !begun[e.ID]:
			begun[e.ID] = true
			asked++
		case e.Kind == checker.Over && begun[e.ID] && e.Status == 0:
			n++
		}
	}
	return n, asked
}
