package processfleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/faultline"
)

const (
	formBound          = 30 * time.Second // until the fleet is one at first
	convergenceTimeout = 30 * time.Second // and again after the last fault
)

// Struck is one line of a trace.
type Struck struct {
	AtMs int64          `json:"at_ms"` // since the plan began
	Do   string         `json:"do"`
	On   []string       `json:"on"`
	End  bool           `json:"end,omitempty"`
	Err  string         `json:"err,omitempty"`
	Hits faultline.Hits `json:"hits"` // of all links, so far
}

// player plays a plan. Its fields belong to the goroutine of Play.
type player struct {
	r        *Fleet
	plan     Plan
	from     time.Time
	trace    *json.Encoder
	traceErr error             // the first of a line that could not be written
	ways     map[linkID][]Step // that hold on a link now, in the order of their begin
	again    sync.WaitGroup
}

// Play starts the fleet, plays a plan with load beside it, heals all and waits until the fleet is one again. trace has
// a line for each fault; it may be nil.
func (r *Fleet) Play(ctx context.Context, plan Plan, trace io.Writer) error {
	if err := plan.Check(); err != nil {
		return err
	}
	if trace == nil {
		trace = io.Discard
	}
	p := &player{r: r, plan: plan, trace: json.NewEncoder(trace), ways: map[linkID][]Step{}}
	if err := r.Start(); err != nil {
		return err
	}
	if !r.opts.NoFleet {
		if took, ok := Until(formBound, func() bool { return r.Agrees() && r.Agreed() }); !ok {
			return fmt.Errorf("not one fleet in %v: %s; %s", took, r.disagreement(), r.dissent())
		}
	}
	p.from = time.Now()
	loadCtx, end := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { r.Load(loadCtx, plan.Rate) })
	err := p.steps(ctx)
	err = errors.Join(err, p.heal())
	from := time.Now()
	settled := checker.Entry{Kind: checker.Convergence}
	if !r.opts.NoFleet {
		if _, ok := Until(convergenceTimeout, func() bool { return r.Agrees() && r.Agreed() }); !ok {
			settled.Err = r.disagreement() + "; " + r.dissent()
		}
	}
	settled.State = time.Since(from).String()
	r.History.Add(settled)
	end()
	load.Wait()
	if p.traceErr != nil {
		err = errors.Join(err, fmt.Errorf("write the trace: %w", p.traceErr))
	}
	return err
}

// occasion is the begin or the end of a step.
type occasion struct {
	at   int
	step Step
	end  bool
}

func (p *player) steps(ctx context.Context) error {
	var all []occasion
	for _, s := range p.plan.Steps {
		all = append(all, occasion{s.At, s, false})
		if s.For > 0 {
			all = append(all, occasion{s.At + s.For, s, true})
		}
	}
	slices.SortStableFunc(all, func(a, b occasion) int { return a.at - b.at })
	all = append(all, occasion{at: p.plan.For})
	for _, o := range all {
		select {
		case <-time.After(time.Until(p.from.Add(time.Duration(o.at) * time.Millisecond))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.step.Do != "" {
			p.do(o.step, o.end)
		}
	}
	return nil
}

// do begins or ends a step and writes it down.
func (p *player) do(s Step, end bool) {
	on := s.Who
	var err error
	switch s.Do {
	case "kill", "term", "stop":
		for _, name := range s.Who {
			err = errors.Join(err, p.process(s, p.r.Sidecar(name), end))
		}
	default:
		ids := p.links(s)
		for _, id := range ids {
			on = append(on, id.String())
			p.link(s, id, end)
		}
	}
	told := Struck{AtMs: time.Since(p.from).Milliseconds(), Do: s.Do, On: on, End: end, Hits: p.r.Hits()}
	if err != nil {
		told.Err = err.Error()
	}
	if err := p.trace.Encode(told); err != nil {
		p.traceErr = cmp.Or(p.traceErr, err)
	}
	if s.Do == "stop" {
		return // it has told the history itself
	}
	state := s.Do
	if end {
		state += " ends"
	}
	p.r.History.Add(checker.Entry{Kind: checker.Strike, Sidecar: strings.Join(on, " "), State: state, Err: told.Err})
}

func (p *player) process(s Step, c *Sidecar, end bool) error {
	there, _ := c.Running()
	switch {
	case s.Do == "stop" && end:
		if there {
			return c.Continue()
		}
	case s.Do == "stop":
		if there {
			return c.Stop()
		}
	case end:
		if there {
			return nil
		}
		if s.Lose {
			if err := c.loseState(); err != nil {
				return err
			}
		}
		return c.Start()
	case s.Do == "kill":
		return c.Kill()
	default: // it drains while the plan goes on
		p.again.Go(func() { _ = c.Terminate() }) // one that does not end in time is told by the judge
	}
	return nil
}

// links are those that a step is about.
func (p *player) links(s Step) (ids []linkID) {
	add := func(from, to string) {
		if id := (linkID{from, to}); p.r.links[id] != nil && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	expand := func(names []string) (all []string) {
		for _, n := range names {
			switch n {
			case "*":
				for _, c := range p.r.Sidecars {
					all = append(all, c.Name)
				}
			case "nodes":
				for i := range p.r.nodes {
					all = append(all, fmt.Sprintf("n%d", i+1))
				}
			default:
				all = append(all, n)
			}
		}
		return all
	}
	for _, from := range expand(s.From) {
		for _, to := range expand(s.To) {
			add(from, to)
			if s.Both {
				add(to, from)
			}
		}
	}
	return ids
}

// link begins or ends a step on one link. Of several that hold there the last one counts.
func (p *player) link(s Step, id linkID, end bool) {
	l := p.r.links[id]
	switch {
	case s.Do != "link":
		l.Disconnect(s.Do == "half")
		return
	case end:
		for i, w := range p.ways[id] {
			if w.At == s.At && w.Link == s.Link {
				p.ways[id] = slices.Delete(p.ways[id], i, i+1)
				break
			}
		}
	default:
		p.ways[id] = append(p.ways[id], s)
	}
	var there, back faultline.Fault
	if n := len(p.ways[id]); n > 0 {
		w := p.ways[id][n-1].Link
		there = w.fault()
		if w.Back {
			back = there
		}
	}
	l.Set(there, back)
	if there.Hang || there.Refuse { // for new connections: the ones that are there go
		l.Disconnect(false)
	}
}

// heal undoes all and starts who is down.
func (p *player) heal() (err error) {
	for _, l := range p.r.links {
		l.Set(faultline.Fault{}, faultline.Fault{})
	}
	p.again.Wait()
	for _, c := range p.r.Sidecars {
		there, runs := c.Running()
		switch {
		case !there:
			err = errors.Join(err, c.Start())
		case !runs:
			err = errors.Join(err, c.Continue())
		}
	}
	for _, c := range p.r.Sidecars {
		err = errors.Join(err, c.ready(startBound))
	}
	return err
}
