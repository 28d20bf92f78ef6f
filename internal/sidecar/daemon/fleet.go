package daemon

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/reconfig"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/verdict"
	rules "fieldrelay/internal/sidecar/versionskew/settings"
)

// Timeout and retry interval of joining the fleet in a replacement process, while the replaced process still has the
// fleet's address bound.
const (
	joinTimeout       = 5 * time.Second
	joinRetryInterval = 50 * time.Millisecond
)

// errNoFleet reports settings that name a fleet in a program built without fleet support.
var errNoFleet = errors.New("fleet: this program is built without fleet support")

// fleetClient connects the relay and the listeners to this process's membership in a fleet, as a relay.Observer, and joins
// and leaves as the operator's file says. Without a fleet it admits every request and attempt.
type fleetClient struct {
	name        string
	log         zerolog.Logger
	zone        string
	relay       *relay.Relay
	suspensions *fleetSuspensions
	join        StartFleet // nil: the program is built without fleet support

	mu       sync.Mutex
	settings settings.Settings  // settings in force
	quotas   quota.SettingsList // quotas in force
	rules    rules.Settings     // rules in force
	fleet    Fleet              // nil: no fleet joined
	listed   []verdict.Node     // servers that take attempts
	tenants  []logic.Tenant
}

// start joins the fleet that the settings name. A replacement process retries until the replaced process has released the
// address, and serves without a fleet if that does not happen within joinTimeout.
func (c *fleetClient) start(s settings.Settings, q quota.SettingsList, r rules.Settings, replaces bool) error {
	c.mu.Lock()
	c.settings, c.quotas, c.rules = s, q, r
	c.mu.Unlock()
	if !s.Enabled() {
		return nil
	}
	if c.join == nil {
		return errNoFleet
	}
	for end := time.Now().Add(joinTimeout); ; <-time.After(joinRetryInterval) {
		f, err := c.join(c.options(s, q, r), c.log)
		if err == nil {
			c.mu.Lock()
			c.fleet = f
			f.SetNodes(c.listed)
			c.mu.Unlock()
			return nil
		}
		if !replaces {
			return err
		}
		if time.Now().After(end) {
			c.log.Error().Err(err).Msg("fleet not joined, serving alone")
			return nil
		}
	}
}

func (c *fleetClient) options(s settings.Settings, q quota.SettingsList, r rules.Settings) FleetOptions {
	return FleetOptions{Settings: s, Quotas: q, Rules: r, Name: c.name, Suspensions: c.suspensions.restore(),
		SuspensionsChanged: c.suspensions.onChanged, Zone: c.zone, Avoid: c.relay.SetEjected, DrainingChanged: c.suspensions.reportDraining,
		Tenants: c.tenants, AllotmentChanged: c.relay.SetTenantAllowance}
}

// running returns the joined fleet, or nil if there is none.
func (c *fleetClient) running() Fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet
}

// stop leaves the fleet. After a handover it does not notify the other members, since the new process continues under the
// same name.
func (c *fleetClient) stop(handedOver bool) {
	f := c.running()
	switch {
	case f == nil:
	case handedOver:
		f.Abandon()
	default:
		f.Close()
		c.relay.SetEjected(nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, t := range c.tenants { // the allowance is divided equally again, as without a fleet
			c.relay.SetTenantAllowance(t.Name, -1)
		}
	}
}

// setTenants replaces the tenants, for the present fleet and for one that is joined later.
func (c *fleetClient) setTenants(all []logic.Tenant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenants = all
	if c.fleet != nil {
		c.fleet.SetTenants(all)
	}
}

// prepare is the fleet's step of a reload. It does everything that can fail before anything changes.
func (c *fleetClient) prepare(next *config.Config) (reconfig.Change, error) {
	s, q, r := next.Operator.Fleet, next.Operator.Quota, next.Operator.Rules
	c.mu.Lock()
	defer c.mu.Unlock()
	switch previous := c.settings; {
	case previous.Equal(s) && slices.Equal(c.quotas, q) && c.rules.Equal(r) && r.File == "":
		return nil, nil
	case c.fleet != nil && previous.Live(s) && c.rules.Live(r):
		if err := c.fleet.CheckRules(r); err != nil {
			return nil, err
		}
		return reconfig.Do(func() { c.update(s, q, r) }), nil
	case s.Enabled() && c.join == nil:
		return reconfig.Do(func() {
			c.log.Warn().Str("fleet", s.Fleet).Msg("settings name a fleet, but this program has no fleet support: it is joined at the next start or replacement")
		}), nil
	case s.Enabled() && (c.fleet == nil || previous.Listen != s.Listen):
		if err := checkFree(s.Listen); err != nil {
			return nil, err
		}
	}
	return reconfig.Do(func() { c.restart(s, q, r) }), nil
}

// checkFree returns an error if an address cannot be bound.
func checkFree(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	_ = ln.Close() // binding the address was the whole check
	return nil
}

// update applies settings that may change while the fleet runs.
func (c *fleetClient) update(s settings.Settings, q quota.SettingsList, r rules.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings, c.quotas, c.rules = s, q, r
	c.fleet.Reload(s)
	c.fleet.SetQuotas(q)
	c.fleet.SetRules(r)
}

// restart leaves the fleet and joins the one that the settings name.
func (c *fleetClient) restart(s settings.Settings, q quota.SettingsList, r rules.Settings) {
	c.stop(false)
	c.mu.Lock()
	c.fleet = nil
	c.mu.Unlock()
	if err := c.start(s, q, r, false); err != nil {
		c.log.Error().Err(err).Msg("fleet not joined, serving alone")
	}
}

// admit applies the limits of the fleet to a request. It is a fronthttp.Admit.
func (c *fleetClient) admit(class, tenant string, retry bool, expires time.Time) (done func(), after time.Duration, ok bool) {
	if f := c.running(); f != nil {
		return f.Admit(class, tenant, retry, expires)
	}
	return func() {}, 0, true
}

// BeforeAttempt applies the limits of the fleet to an attempt.
func (c *fleetClient) BeforeAttempt(server, class, tenant string, retry bool, capacity float64, expires time.Time) (
	release func(), ok bool) {
	if f := c.running(); f != nil {
		return f.AdmitAttempt(server, class, tenant, retry, capacity, expires)
	}
	return nil, true
}

// AttemptEnded reports an outcome to the fleet, unless it says nothing about the server's health: that the server was busy,
// or that the attempt was canceled.
func (c *fleetClient) AttemptEnded(server string, outcome logic.Outcome, took time.Duration) {
	f := c.running()
	if f == nil {
		return
	}
	switch outcome {
	case logic.Done:
		f.RecordOutcome(server, false, took)
	case logic.Errored, logic.TimedOut, logic.Refused, logic.Reset:
		f.RecordOutcome(server, true, took)
	}
}

// DrainChanged reports to the fleet that a server is draining, or no longer is.
func (c *fleetClient) DrainChanged(server string, startedAt time.Duration, draining bool) {
	if f := c.running(); f != nil {
		f.SetDraining(server, startedAt, draining)
	}
}

// ServersListed reports the listed servers to the fleet, and records them for one that is joined later.
func (c *fleetClient) ServersListed(servers []relay.ListedServer) {
	all := make([]verdict.Node, len(servers))
	for i, s := range servers {
		all[i] = verdict.Node{Name: s.Name, Zone: s.Zone, Since: s.Since}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = all
	if c.fleet != nil {
		c.fleet.SetNodes(all)
	}
}
