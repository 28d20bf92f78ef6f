package relay

import (
	"maps"
	"time"

	"fieldrelay/logic"
)

// Observer is told what comes of claims and what is listed, on the relay's goroutine. Its methods must not block.
type Observer interface {
	// Claim is asked before each claim: one that is not let through ends as skipped, which tells the module nothing of the
	// node. warm is the part of its full capacity that the node has now at the least, by the contract. done, if there is one, is called once the claim is reported.
	Claim(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool)
	// Outcome is how a claim at the execute node of a name ended, and how long after it was issued.
	Outcome(node string, o logic.Outcome, took time.Duration)
	// Listed are the execute nodes that the list has as ready, but for those suspended by hand or by word of the fleet.
	Listed(nodes []Listed)
	// Drains is that the list now has a node, by its start, as draining or gone, or again as ready.
	Drains(node string, since time.Duration, drains bool)
}

// Listed is an execute node that takes claims.
type Listed struct {
	Name, Zone string
	Since      time.Duration // its start, by the list
}

// Observe has an observer told. It is called before Start; without one nothing is kept for it.
func (r *Relay) Observe(o Observer) { r.observer = o }

// Avoid makes the module see the execute nodes of these names as draining until the next call, whatever the list says
// meanwhile; those of the last call that are not among them come back as they were. It takes effect only as long as
// another node is ready.
func (r *Relay) Avoid(names []string) {
	r.box.Put(func() {
		next := make(map[string]bool, len(names))
		for _, name := range names {
			next[name] = true
		}
		was := r.avoided
		r.avoided = next
		for name := range next {
			if !was[name] {
				r.tellNamed(name)
			}
		}
		for name := range was {
			if !next[name] {
				r.tellNamed(name)
			}
		}
		r.leaveOne()
	})
}

// warm is the part of its full capacity that a node has at the least since its start, by the contract.
func (r *Relay) warm(n *node) float64 {
	c, age := &r.cfg.Contract, r.now()-n.since
	if n.since <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// Allot tells the module what of a tenant's allowance is this sidecar's, in requests a second; below 0: an equal part.
func (r *Relay) Allot(tenant string, rate float64) {
	r.box.Put(func() { r.balancer.SetTenantAllowance(tenant, rate) })
}

// drainHeld is for how long a node is seen as draining on the word of others that the list does not bear out.
const drainHeld = time.Minute

// mostDrains bounds the nodes that are seen so at once.
const mostDrains = 1024

// drain is that others have heard of a node, by its start, that it drains.
type drain struct {
	since time.Duration
	until time.Duration
}

// Drains takes in that another sidecar's list has a node that started at a time as draining, or no longer so. It holds for
// that start, and for drainHeld: what drains is not sent to by whoever hears of it late.
func (r *Relay) Drains(name string, since time.Duration, drains bool) {
	r.box.Put(func() {
		d, was := r.draining[name]
		switch {
		case drains && was && d.since == since, !drains && !(was && d.since == since):
			return
		case !drains:
			delete(r.draining, name)
		case len(r.draining) >= mostDrains:
			return
		default:
			if r.draining == nil {
				r.draining = map[string]drain{}
			}
			r.draining[name] = drain{since, r.now() + drainHeld}
			time.AfterFunc(drainHeld, func() {
				r.box.Put(func() {
					if r.draining[name].since == since {
						delete(r.draining, name)
						r.tellNamed(name)
					}
				})
			})
		}
		r.tellNamed(name)
	})
}

// drained tells whether others say that a node drains.
func (r *Relay) drained(m Member) bool {
	d, ok := r.draining[m.Name]
	n := r.open[m.ID]
	return ok && n != nil && d.since == n.since
}

// tellDrains tells the observer of a node that begins to drain by the list, or no longer does. That one is missing from
// the list tells nothing: lists have gaps.
func (r *Relay) tellDrains(m Member) {
	n := r.open[m.ID]
	if r.observer == nil || n == nil || n.since != m.Since || m.State == logic.Gone && r.cfg.Contract.GoneIsAdvisory {
		return
	}
	if is := m.State != logic.Ready; is != (n.member.State != logic.Ready) {
		r.observer.Drains(m.Name, m.Since, is)
	}
}

func (r *Relay) tellNamed(name string) {
	if n := r.named(name); n != nil {
		r.tellOne(n.member)
	}
}

// leaveOne gives up all avoiding, also of what drains by the word of others alone, where nothing else is ready.
func (r *Relay) leaveOne() {
	if len(r.avoided)+len(r.draining) == 0 || r.ready.Load() {
		return
	}
	was := maps.Clone(r.avoided)
	if was == nil {
		was = map[string]bool{}
	}
	for name := range r.draining {
		was[name] = true
	}
	r.avoided, r.draining = nil, nil
	for name := range was {
		r.tellNamed(name)
	}
	r.log.Warn().Int("nodes", len(was)).Msg("nothing else is ready: the fleet's verdicts are not followed")
}

// tellListed tells the observer.
func (r *Relay) tellListed() {
	if r.observer == nil {
		return
	}
	all := make([]Listed, 0, len(r.open))
	for _, n := range r.open {
		if n.member.State == logic.Ready && !r.suspended[n.member.Name] {
			all = append(all, Listed{n.member.Name, n.member.Zone, n.since})
		}
	}
	r.observer.Listed(all)
}
