package daemon

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/config"
	"fieldrelay/internal/fleet/settings"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/reconfig"
	"fieldrelay/internal/relay"
	rules "fieldrelay/internal/skew/settings"
	"fieldrelay/internal/verdict"
	"fieldrelay/logic"
)

// How long a process that replaces another tries to get the fleet's address, which the other one still has.
const (
	joinTimeout       = 5 * time.Second
	joinRetryInterval = 50 * time.Millisecond
)

// peers is this process's part in the fleet of sidecars, if the operator's file names one. Without one it is empty.
type fleetClient struct {
	name        string
	log         zerolog.Logger
	zone        string
	relay       *relay.Relay
	suspensions *fleetSuspensions // what the fleet says of execute nodes
	join        StartFleet        // nil: this program has no fleet in it

	mu       sync.Mutex
	settings settings.Settings // in force
	quotas   quota.All         // likewise
	rules    rules.Settings    // likewise
	fleet    Fleet             // nil: off
	// listed are the execute nodes that take claims.
	listed  []verdict.Node
	tenants []logic.Tenant
}

// start joins. A process that replaces another waits until that one has left the address, and serves alone if it does
// not.
func (p *fleetClient) start(s settings.Settings, q quota.All, r rules.Settings, replaces bool) error {
	p.mu.Lock()
	p.settings, p.quotas, p.rules = s, q, r
	p.mu.Unlock()
	if !s.Enabled() {
		return nil
	}
	if p.join == nil {
		return errors.New("fleet: this program has none in it")
	}
	for end := time.Now().Add(joinTimeout); ; <-time.After(joinRetryInterval) {
		f, err := p.join(FleetOptions{Settings: s, Quotas: q, Rules: r, Name: p.name, Words: p.suspensions.restore(), Changed: p.suspensions.onChanged,
			Zone: p.zone, Avoid: p.relay.SetEjected, Drains: p.suspensions.reportDrains, Tenants: p.tenants, Allot: p.relay.SetTenantAllowance}, p.log)
		if err == nil {
			p.mu.Lock()
			p.fleet = f
			f.Listed(p.listed)
			p.mu.Unlock()
			return nil
		}
		if !replaces {
			return err
		}
		if time.Now().After(end) {
			p.log.Error().Err(err).Msg("fleet not joined, serving alone")
			return nil
		}
	}
}

func (p *fleetClient) running() Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet
}

// stop leaves the fleet; handedOver: without a word, since the new process goes on under the name.
func (p *fleetClient) stop(handedOver bool) {
	f := p.running()
	switch {
	case f == nil:
	case handedOver:
		f.Abandon()
	default:
		f.Close()
		p.relay.SetEjected(nil)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, t := range p.tenants { // equal parts again, as without a fleet
			p.relay.SetTenantAllowance(t.Name, -1)
		}
	}
}

// setTenants takes over the tenants of new settings.
func (p *fleetClient) setTenants(all []logic.Tenant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tenants = all
	if p.fleet != nil {
		p.fleet.SetTenants(all)
	}
}

// AttemptEnded passes on what came of a claim; how busy a node is, or that a claim was given up, tells nothing of its health.
func (p *fleetClient) AttemptEnded(node string, o logic.Outcome, took time.Duration) {
	f := p.running()
	if f == nil {
		return
	}
	switch o {
	case logic.Done:
		f.Outcome(node, false, took)
	case logic.Errored, logic.TimedOut, logic.Refused, logic.Reset:
		f.Outcome(node, true, took)
	}
}

// BeforeAttempt asks the limits of the fleet for an attempt.
func (p *fleetClient) BeforeAttempt(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool) {
	if f := p.running(); f != nil {
		return f.Claim(node, class, tenant, again, warm, ends)
	}
	return nil, true
}

// DrainChanged passes on what the list says.
func (p *fleetClient) DrainChanged(node string, since time.Duration, drains bool) {
	if f := p.running(); f != nil {
		f.Drains(node, since, drains)
	}
}

// ServersListed keeps what is listed for a fleet that is joined later, and passes it on.
func (p *fleetClient) ServersListed(nodes []relay.ListedServer) {
	all := make([]verdict.Node, len(nodes))
	for i, n := range nodes {
		all[i] = verdict.Node{Name: n.Name, Zone: n.Zone, Since: n.Since}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = all
	if p.fleet != nil {
		p.fleet.Listed(all)
	}
}

// fleetLines asks the fleet for lines, if there is one.
func (o *operations) fleetLines(ask func(Fleet) ([]string, error)) ([]string, error) {
	f := o.fleet.running()
	if f == nil {
		return nil, errors.New("fleet off")
	}
	return ask(f)
}

// prepare is the section's part of a reload. What can fail, a new address, is tried before anything changes.
func (p *fleetClient) prepare(next *config.Config) (reconfig.Change, error) {
	s, q, r := next.Operator.Fleet, next.Operator.Quota, next.Operator.Rules
	p.mu.Lock()
	defer p.mu.Unlock()
	switch was := p.settings; {
	case was.Equal(s) && slices.Equal(p.quotas, q) && p.rules.Equal(r) && r.File == "":
		return nil, nil
	case p.fleet != nil && was.Live(s) && p.rules.Live(r):
		if err := p.fleet.CheckRules(r); err != nil {
			return nil, err
		}
		return reconfig.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.settings, p.quotas, p.rules = s, q, r
			p.fleet.Set(s)
			p.fleet.SetQuotas(q)
			p.fleet.SetRules(r)
		}), nil
	case s.Enabled() && p.join == nil:
		return reconfig.Do(func() {
			p.log.Warn().Str("fleet", s.Fleet).Msg("a fleet is named: it is joined at the next start or replacement")
		}), nil
	case s.Enabled() && (p.fleet == nil || was.Listen != s.Listen):
		probe, err := net.Listen("tcp", s.Listen)
		if err != nil {
			return nil, err
		}
		probe.Close()
	}
	return reconfig.Do(func() {
		p.stop(false)
		p.mu.Lock()
		p.fleet = nil
		p.mu.Unlock()
		if err := p.start(s, q, r, false); err != nil {
			p.log.Error().Err(err).Msg("fleet not joined, serving alone")
		}
	}), nil
}

func (o *operations) Recover() error {
	f := o.fleet.running()
	if f == nil {
		return errors.New("fleet off")
	}
	err := f.Recover()
	o.log.Warn().AnErr("refused", err).Msg("recover")
	return err
}

// admit is asked by fronts, for each request.
func (p *fleetClient) admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool) {
	if f := p.running(); f != nil {
		return f.Admit(class, tenant, again, ends)
	}
	return func() {}, 0, true
}

func (o *operations) Quotas() ([]string, error) {
	return o.fleetLines(func(f Fleet) ([]string, error) { return f.Quotas(), nil })
}

func (o *operations) Rules() ([]string, error) { return o.fleetLines(Fleet.Rules) }

func (o *operations) Verdicts() ([]string, error) { return o.fleetLines(Fleet.Verdicts) }

func (o *operations) Peers() ([]string, error) {
	return o.fleetLines(Fleet.Peers)
}

func (o *operations) Figures() []string {
	lines := o.metrics.Lines()
	if f := o.fleet.running(); f != nil {
		lines = append(lines, f.Figures(metricsPrefix)...)
	}
	return lines
}
