package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// Module is the name of the decision module among the policies.
const Module = "module"

// pickers choose a node of those that take requests. Each is small: what they lack is what the module is for.
var pickers = map[string]func(p *baseline) *seen{
	"random": func(p *baseline) *seen { return p.usable[p.rng.IntN(len(p.usable))] },
	"round-robin": func(p *baseline) *seen {
		p.next++
		return p.usable[p.next%len(p.usable)]
	},
	"least-outstanding": func(p *baseline) *seen {
		return p.least(p.usable, func(s *seen) float64 { return float64(s.out) })
	},
	// Mitzenmacher, The power of two choices in randomized load balancing, 2001.
	"two-choices": func(p *baseline) *seen {
		a, b := p.usable[p.rng.IntN(len(p.usable))], p.usable[p.rng.IntN(len(p.usable))]
		if b.out < a.out {
			return b
		}
		return a
	},
	// As Finagle's: an average of latency that jumps to a peak and decays, times what is out, of two drawn at random.
	"peak-ewma": func(p *baseline) *seen {
		a, b := p.usable[p.rng.IntN(len(p.usable))], p.usable[p.rng.IntN(len(p.usable))]
		if b.cost() < a.cost() {
			return b
		}
		return a
	},
	// The bound that no real policy reaches: it sees what each node has this moment.
	"shortest-queue": func(p *baseline) *seen {
		return p.least(p.usable, func(s *seen) float64 { return float64(p.truth(s.id)) })
	},
}

// Policies are the names of all policies, the module first.
func Policies() []string {
	names := []string{}
	for name := range pickers {
		names = append(names, name)
	}
	sort.Strings(names)
	return append([]string{Module, Verdicts}, names...)
}

func newPolicy(name string, cfg logic.Config, seed uint64, truth Oracle) (Policy, error) {
	if name == Module {
		return logic.New(cfg, seed)
	}
	pick, ok := pickers[name]
	if !ok {
		return nil, fmt.Errorf("no policy %q; there are %v", name, Policies())
	}
	p := &baseline{pick: pick, rng: rand.New(rand.NewPCG(seed, 0)), truth: truth, nodes: map[uint64]*seen{},
		open: map[uint64]*asked{}, effects: map[string]logic.Effect{}, attempts: cfg.Limits.MaxAttempts}
	for _, c := range cfg.Classes {
		p.effects[c.Name] = c.Effect
	}
	return p, nil
}

// baseline is what the policies to compare with share: they take every request, send it where pick says, again
// where the class allows, and fail what is left.
type baseline struct {
	pick     func(p *baseline) *seen
	rng      *rand.Rand
	truth    Oracle
	now      time.Duration
	next     int
	nodes    map[uint64]*seen
	usable   []*seen
	open     map[uint64]*asked
	effects  map[string]logic.Effect
	attempts int
}

// seen is a node as a baseline knows it.
type seen struct {
	id    uint64
	state logic.State
	out   int
	peak  float64 // seconds
	at    time.Duration
}

type asked struct {
	effect   logic.Effect
	expires  time.Duration
	attempts int
	at       []*seen
	mayRun   bool
}

// decay is the time constant of peak-ewma.
const decay = 10 * time.Second

func (s *seen) cost() float64 { return s.peak * float64(s.out+1) }

// sample takes in an answer's latency: a peak counts at once, and fades.
func (s *seen) sample(now time.Duration, latency time.Duration) {
	l := latency.Seconds()
	if keep := math.Exp(-float64(now-s.at) / float64(decay)); l < s.peak {
		l = s.peak*keep + l*(1-keep)
	}
	s.peak, s.at = l, now
}

// least gives the one with the least figure; of like ones any.
func (p *baseline) least(of []*seen, figure func(*seen) float64) *seen {
	var best *seen
	low, like := math.Inf(1), 0
	for _, s := range of {
		switch f := figure(s); {
		case f < low:
			best, low, like = s, f, 1
		case f == low:
			if like++; p.rng.IntN(like) == 0 {
				best = s
			}
		}
	}
	return best
}

// Step decides as the module's does.
func (p *baseline) Step(now time.Duration, ev *logic.Event, acts []logic.Action) []logic.Action {
	p.now = now
	switch ev.Kind {
	case logic.EvServerList:
		if ev.Complete {
			for _, s := range p.nodes {
				s.state = logic.Gone
			}
		}
		for _, e := range ev.Servers {
			if p.nodes[e.ID] == nil {
				p.nodes[e.ID] = &seen{id: e.ID}
			}
			p.nodes[e.ID].state = e.State
		}
		p.usable = p.usable[:0]
		for _, s := range p.nodes {
			if s.state == logic.Ready {
				p.usable = append(p.usable, s)
			}
		}
		slices.SortFunc(p.usable, func(a, b *seen) int { return int(a.id) - int(b.id) })
		if ev.Stored {
			acts = append(acts, logic.Action{Kind: logic.ActWatch})
		}
	case logic.EvListLost:
		acts = append(acts, logic.Action{Kind: logic.ActWatch})
	case logic.EvRequest:
		r := &asked{effect: p.effects[ev.Class], expires: ev.Expires}
		p.open[ev.Request] = r
		acts = p.send(ev.Request, r, acts)
	case logic.EvOutcome:
		acts = p.outcome(ev, acts)
	case logic.EvClientGone:
		delete(p.open, ev.Request)
	}
	return acts
}

func (p *baseline) send(id uint64, r *asked, acts []logic.Action) []logic.Action {
	if len(p.usable) == 0 || r.attempts >= max(p.attempts, 1) || p.now >= r.expires {
		delete(p.open, id)
		if r.mayRun {
			return append(acts, logic.Action{Kind: logic.ActFail, Request: id})
		}
		return append(acts, logic.Action{Kind: logic.ActReject, Request: id})
	}
	s := p.pick(p)
	s.out++
	r.attempts++
	r.at = append(r.at, s)
	return append(acts, logic.Action{Kind: logic.ActSend, Request: id, Server: s.id, Attempt: r.attempts - 1})
}

func (p *baseline) outcome(ev *logic.Event, acts []logic.Action) []logic.Action {
	r := p.open[ev.Request]
	if r == nil {
		return acts
	}
	s := r.at[ev.Attempt]
	s.out--
	s.sample(p.now, ev.Latency)
	if ev.Outcome == logic.Done || ev.Final {
		delete(p.open, ev.Request)
		return acts
	}
	never := ev.Outcome == logic.Busy || ev.Outcome == logic.Refused || ev.Outcome == logic.Skipped
	r.mayRun = r.mayRun || !never
	if r.mayRun && r.effect == logic.Unsafe {
		delete(p.open, ev.Request)
		return append(acts, logic.Action{Kind: logic.ActFail, Request: ev.Request})
	}
	return p.send(ev.Request, r, acts)
}
