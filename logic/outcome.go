package logic

import (
	"math"
	"slices"
	"time"
)

// attempt gives the attempt that ev speaks of, or nil if there is none.
func (b *Balancer) attempt(ev *Event) *attempt {
	if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r.attempts[ev.Attempt]
	}
	return nil
}

func (b *Balancer) outcome(ev *Event) {
	a := b.attempt(ev)
	if a == nil || !a.out {
		return
	}
	r := a.req
	a.out, r.busy, b.out = false, ev.Outcome == Busy, b.out-1
	a.srv.out = slices.DeleteFunc(a.srv.out, func(o *attempt) bool { return o == a })
	b.idle(a.srv)
	a.mayRun = ev.Outcome != Refused && ev.Outcome != Skipped &&
		(ev.Outcome != Busy || b.cfg.Contract.BusyMayHaveRun)
	b.learn(a, ev)
	if ev.Final && !r.closed {
		if !r.started {
			b.sample(r, ev.Outcome == Done)
		}
		b.close(r, ev.Outcome == Done)
	}
	if !r.closed {
		b.again(r, a)
	}
	b.forget(r)
	b.release()
}

// learn takes in what an attempt tells of its server.
func (b *Balancer) learn(a *attempt, ev *Event) {
	s := a.srv
	switch ev.Outcome {
	case Skipped: // tells nothing of the server
	case Done:
		if !a.req.started {
			b.answered(a, ev.Latency)
		}
	case Canceled, TimedOut:
		if a.gaveUp || (ev.Outcome == TimedOut && b.now >= a.req.full-b.cfg.Tick) {
			b.failed(a, ev.Outcome)
		} else if v := a.req.cost / max(ev.Latency.Seconds(), 1e-3); v < s.Speed() {
			s.Observe(b.now, v) // it had not answered by then: slower than this at best
		}
	default:
		b.failed(a, ev.Outcome)
	}
}

func (b *Balancer) answered(a *attempt, latency time.Duration) {
	s, r, sec := a.srv, a.req, max(latency.Seconds(), 1e-3)
	b.blame(a, failed, false)
	own := b.blame(a, late, b.now > r.full)
	s.Observe(b.now, r.cost/sec)
	s.fails, s.alive = 0, b.now
	s.failing -= meanStep * s.failing
	// Answers to what was sent before an ejection do not end it.
	if s.backoff > ejectFirst && a.sent >= s.ejected && b.now <= r.full {
		b.logf("server %d recovered", s.ID)
		s.backoff = ejectFirst
	}
	c := r.class
	if c.mean == 0 {
		c.mean, c.dev, c.quick = sec, sec/2, sec
	}
	if b.now <= r.full {
		c.dev += meanStep * (math.Abs(sec-c.mean) - c.dev)
		c.mean += meanStep * (sec - c.mean)
	}
	c.quick += quickStep * (min(sec, c.quick) - c.quick + max(sec-c.quick, 0)/10)
	room := max((r.full-r.arrived).Seconds()-c.quick, 0)
	s.slow -= lateStep * s.slow
	if sec > c.quick+shrinkAbove*room {
		if own && (!a.crowded || b.now > r.full) { // else its limit answers
			s.lates++
		}
		b.tighten(a)
	} else if s.lates = 0; a.crowded && sec <= c.quick+growBelow*room {
		s.limit += max(1/s.limit, grow)
	}
	if b.now > r.aim {
		b.walk.Leave(s)
	}
}

// failed counts a failure as speed zero and ejects on a row of them or on a high share of errors (a fast
// failure would otherwise look like an idle server).
func (b *Balancer) failed(a *attempt, o Outcome) {
	s, what := a.srv, failed
	if o == TimedOut || o == Canceled {
		what = late
	}
	own := b.blame(a, what, true)
	s.failing += meanStep * (1 - s.failing)
	// Late though others were answered meanwhile: a queue, which the limit is for.
	if own && (what == failed || s.alive <= a.sent) {
		s.fails++
	}
	if !a.req.ofKind() {
		s.Observe(b.now, 0)
		b.walk.Leave(s)
	}
	b.tighten(a)
	if what == failed {
		s.alive = b.now
	} else if own {
		s.lates++
	}
	// Called gone and silent: the list was right, so the longest rest follows at once.
	row := b.run()
	if s.State == Gone && o != Errored && o != Busy {
		s.fails, s.backoff = row, ejectMost
	}
	if s.fails >= row || s.suspect[failed] > ejectShare {
		b.eject(s)
	}
}

// tighten lowers the limit of a slow server, once for the attempts then out, by half the share of slow
// answers (as DCTCP does): spread in the work cuts little, a queue deep.
func (b *Balancer) tighten(a *attempt) {
	s := a.srv
	if s.slow += lateStep; a.sent >= s.shrunk && !a.req.ofKind() {
		s.limit, s.shrunk = max(1, s.limit*(1-s.slow*cut)), b.now
	}
}

// run is how many failures in a row tell that a server is at fault. Where attempts fail now and then at all,
// as when connections break on the way, a busy sidecar soon sees a few in a row anywhere: four of six servers
// were ejected for that, and the others overrun.
func (b *Balancer) run() int {
	shares := []float64{0} // the list may have gone meanwhile
	for _, s := range b.servers {
		shares = append(shares, s.failing)
	}
	slices.Sort(shares)
	usual := min(max(shares[len(shares)/2], 1e-3), 0.5) // of the middle one: a few at fault do not move it
	return max(ejectFails, int(math.Ceil(math.Log(ejectChance)/math.Log(usual))))
}

// eject rests a hung or failing server for a while that doubles, then tries it with one attempt at a time.
func (b *Balancer) eject(s *server) {
	if b.now < s.ejected {
		return
	}
	s.ejected, s.limit = b.now+time.Duration(s.backoff*float64(ageing)), 1
	b.logf("server %d ejected for %.1fs: %d failures, errors %.2f", s.ID,
		(s.ejected - b.now).Seconds(), s.fails, s.suspect[failed])
	s.backoff = min(2*s.backoff, ejectMost)
}

// idle plans the closing of s's idle connections once they have cost as much as a new handshake, so that
// never more than twice the least is paid. All sidecars are taken to have this one's traffic.
func (b *Balancer) idle(s *server) {
	p := &b.cfg.Prices
	if len(s.out) > 0 || p.Connection <= 0 {
		return
	}
	all := max(b.rate*float64(max(b.cfg.Balancers, 1)), 1e-3)
	s.releaseAt = b.now + seconds(min(p.Handshake/p.Connection*connsPriced*float64(len(b.servers))/all, 1e6))
	b.at(s.releaseAt, TimerIdle, s.ID)
}
