package relay

import (
	"maps"
	"time"

	"fieldrelay/logic"
)

// Observer is told what comes of claims and what is listed, on the relay's goroutine. Its methods must not block.
type Observer interface {
	// Attempt is asked before each claim: one that is not let through ends as skipped, which tells the module nothing of the
	// node. warm is the part of its full capacity that the node has now at the least, by the contract. done, if there is one, is called once the claim is reported.
	BeforeAttempt(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool)
	// AttemptEnded is how a claim at the execute node of a name ended, and how long after it was issued.
	AttemptEnded(node string, o logic.Outcome, took time.Duration)
	// ServersListed are the execute nodes that the list has as ready, but for those suspended by hand or by word of the fleet.
	ServersListed(nodes []ListedServer)
	// DrainChanged is that the list now has a node, by its start, as draining or gone, or again as ready.
	DrainChanged(node string, since time.Duration, drains bool)
}

// ServersListed is an execute node that takes claims.
type ListedServer struct {
	Name, Zone string
	Since      time.Duration // its start, by the list
}

// SetObserver has an observer told. It is called before Start; without one nothing is kept for it.
func (r *Relay) SetObserver(o Observer) { r.observer = o }

// SetEjected makes the module see the execute nodes of these names as draining until the next call, whatever the list says
// meanwhile; those of the last call that are not among them come back as they were. It takes effect only as long as
// another node is ready.
func (r *Relay) SetEjected(names []string) {
	r.mailbox.Put(func() {
		next := make(map[string]bool, len(names))
		for _, name := range names {
			next[name] = true
		}
		was := r.ejected
		r.ejected = next
		for name := range next {
			if !was[name] {
				r.refreshNamed(name)
			}
		}
		for name := range was {
			if !next[name] {
				r.refreshNamed(name)
			}
		}
		r.restoreIfNoneReady()
	})
}

// warm is the part of its full capacity that a node has at the least since its start, by the contract.
func (r *Relay) capacity(n *server) float64 {
	c, age := &r.cfg.Contract, r.now()-n.startedAt
	if n.startedAt <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// SetTenantAllowance tells the module what of a tenant's allowance is this sidecar's, in requests a second; below 0: an equal part.
func (r *Relay) SetTenantAllowance(tenant string, rate float64) {
	r.mailbox.Put(func() { r.balancer.SetTenantAllowance(tenant, rate) })
}

// drainReportTTL is for how long a node is seen as draining on the word of others that the list does not bear out.
const drainReportTTL = time.Minute

// maxDrainReports bounds the nodes that are seen so at once.
const maxDrainReports = 1024

// drain is that others have heard of a node, by its start, that it drains.
type drainReport struct {
	startedAt time.Duration
	expires   time.Duration
}

// DrainChanged takes in that another sidecar's list has a node that started at a time as draining, or no longer so. It holds for
// that start, and for drainReportTTL: what drains is not sent to by whoever hears of it late.
func (r *Relay) ReportDrain(name string, since time.Duration, drains bool) {
	r.mailbox.Put(func() {
		d, was := r.reportedDrains[name]
		switch {
		case drains && was && d.startedAt == since, !drains && !(was && d.startedAt == since):
			return
		case !drains:
			delete(r.reportedDrains, name)
		case len(r.reportedDrains) >= maxDrainReports:
			return
		default:
			if r.reportedDrains == nil {
				r.reportedDrains = map[string]drainReport{}
			}
			r.reportedDrains[name] = drainReport{since, r.now() + drainReportTTL}
			time.AfterFunc(drainReportTTL, func() {
				r.mailbox.Put(func() {
					if r.reportedDrains[name].startedAt == since {
						delete(r.reportedDrains, name)
						r.refreshNamed(name)
					}
				})
			})
		}
		r.refreshNamed(name)
	})
}

// drained tells whether others say that a node drains.
func (r *Relay) drainReported(m Member) bool {
	d, ok := r.reportedDrains[m.Name]
	n := r.servers[m.ID]
	return ok && n != nil && d.startedAt == n.startedAt
}

// notifyDrain tells the observer of a node that begins to drain by the list, or no longer does. That one is missing from
// the list tells nothing: lists have gaps.
func (r *Relay) notifyDrain(m Member) {
	n := r.servers[m.ID]
	if r.observer == nil || n == nil || n.startedAt != m.Since || m.State == logic.Gone && r.cfg.Contract.GoneIsAdvisory {
		return
	}
	if is := m.State != logic.Ready; is != (n.member.State != logic.Ready) {
		r.observer.DrainChanged(m.Name, m.Since, is)
	}
}

func (r *Relay) refreshNamed(name string) {
	if n := r.listedServer(name); n != nil {
		r.refresh(n.member)
	}
}

// restoreIfNoneReady gives up all avoiding, also of what drains by the word of others alone, where nothing else is ready.
func (r *Relay) restoreIfNoneReady() {
	if len(r.ejected)+len(r.reportedDrains) == 0 || r.ready.Load() {
		return
	}
	was := maps.Clone(r.ejected)
	if was == nil {
		was = map[string]bool{}
	}
	for name := range r.reportedDrains {
		was[name] = true
	}
	r.ejected, r.reportedDrains = nil, nil
	for name := range was {
		r.refreshNamed(name)
	}
	r.log.Warn().Int("nodes", len(was)).Msg("nothing else is ready: the fleet's verdicts are not followed")
}

// notifyListed tells the observer.
func (r *Relay) notifyListed() {
	if r.observer == nil {
		return
	}
	all := make([]ListedServer, 0, len(r.servers))
	for _, n := range r.servers {
		if n.member.State == logic.Ready && !r.suspended[n.member.Name] {
			all = append(all, ListedServer{n.member.Name, n.member.Zone, n.startedAt})
		}
	}
	r.observer.ServersListed(all)
}
