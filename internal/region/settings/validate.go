package settings

import (
	"math"
	"net/netip"

	"github.com/cockroachdb/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/region/policy"
)

// check is one value of the file with the rules that it must satisfy.
type check struct {
	key   string
	value any
	rules []validation.Rule
}

const maxPort = 65535

var (
	requiredText   = []validation.Rule{validation.Required}
	ipAddress      = []validation.Rule{validation.Required, validation.By(isIPAddress)}
	hostPort       = []validation.Rule{validation.By(isHostPort)}
	hostPorts      = []validation.Rule{validation.Each(validation.Required, validation.By(isHostPort))}
	ports          = []validation.Rule{validation.Required, validation.By(isPortRange)}
	figure         = []validation.Rule{validation.By(isFigure), validation.Min(0.0)}
	positive       = []validation.Rule{validation.By(isFigure), validation.By(isAboveZero)}
	count          = []validation.Rule{validation.Min(0)}
	mechanismNames = []validation.Rule{validation.By(areMechanisms)}
	regionsByZone  = []validation.Rule{validation.Each(validation.Required)}
)

// validate returns every fault, without line numbers: package tomlfile adds them.
func (s *Settings) validate() []*FaultError {
	var faults []*FaultError
	for _, group := range [][]check{s.identityChecks(), s.limitChecks(), s.Bounds.checks()} {
		for _, one := range group {
			if err := validation.Validate(one.value, one.rules...); err != nil {
				faults = append(faults, &FaultError{Key: one.key, Reason: err.Error()})
			}
		}
	}
	return faults
}

// identityChecks are those of names and addresses.
func (s *Settings) identityChecks() []check {
	return []check{
		{"hostname", s.Hostname, requiredText},
		{"machine-class", s.MachineClass, requiredText},
		{"ip-addr", s.Address, ipAddress},
		{"az", s.Zone, requiredText},
		{"port-range", s.PortRange, ports},
		{"seed-nodes", s.Seeds, hostPorts},
		{"zones", s.Zones, regionsByZone},
		{"binds.edge", s.Binds.Edge, hostPort},
		{"binds.readyz", s.Binds.Ready, hostPort},
		{"binds.ctl", s.Binds.Control, hostPort},
		{"binds.dir", s.Binds.Directory, hostPort},
		{"cloud-api.address", s.CloudAPI.Address, hostPort},
		{"policy.off", s.Policy.Off, mechanismNames},
	}
}

// limitChecks are those of figures but the bounds.
func (s *Settings) limitChecks() []check {
	return []check{
		{"heartbeat-ms", s.HeartbeatMS, positive},
		{"req-limits.cpu-frac", s.Limits.CPUFraction, positive},
		{"req-limits.ncpu", s.Limits.Cores, positive},
		{"req-limits.ram-mb", s.Limits.MemoryMB, positive},
		{"req-limits.max-fds", s.Limits.Descriptors, count},
		{"req-limits.nic-mbps", s.Limits.LinkMbps, positive},
		{"req-limits.disk-mb", s.Limits.DiskMB, figure},
		{"fault-budget.hosts-lost", s.FaultBudget.Hosts, count},
		{"fault-budget.zones", s.FaultBudget.Zones, count},
		{"fault-budget.regions-lost", s.FaultBudget.Regions, count},
		{"cloud-api.rate-s", s.CloudAPI.Rate, figure},
		{"cloud-api.max-lag-ms", s.CloudAPI.MaxLagMS, figure},
	}
}

func (b Bounds) checks() []check {
	return []check{
		{"bounds.seed-stale-s", b.SeedStaleS, figure},
		{"bounds.addr-reuse-s", b.AddressReuseS, figure},
		{"bounds.contact-ms", b.ContactMS, figure},
		{"bounds.ack-by-ms", b.AckByMS, figure},
		{"bounds.sync-s", b.SyncS, figure},
		{"bounds.drain-ms", b.DrainMS, figure},
		{"bounds.grace-s", b.GraceS, figure},
		{"bounds.loss-slack-ms", b.LossSlackMS, figure},
		{"bounds.apply-ms", b.ApplyMS, figure},
		{"bounds.revert-slack-ms", b.RevertSlackMS, figure},
		{"bounds.stretch-ms", b.StretchMS, figure},
		{"bounds.retry-ratio", b.RetryRatio, figure},
		{"bounds.retry-win-s", b.RetryWindowS, figure},
		{"bounds.retry-extra", b.RetryExtra, figure},
		{"bounds.warm-excess", b.WarmExcess, figure},
		{"bounds.warm-extra", b.WarmExtra, figure},
		{"bounds.evacuate-ms", b.EvacuateMS, figure},
		{"bounds.heal-s", b.HealS, figure},
		{"bounds.pass_ms", b.PassMS, figure},
		{"bounds.again_s", b.AgainS, figure},
		{"bounds.ttl_max_s", b.TTLMaxS, figure},
		{"bounds.retain-s", b.RetainS, figure},
	}
}

func isIPAddress(value any) error {
	if _, err := netip.ParseAddr(value.(string)); err != nil {
		return errors.New("must be an IP address")
	}
	return nil
}

// areMechanisms accepts names of mechanisms that have a switch.
func areMechanisms(value any) error {
	_, err := policy.Parse(value.([]string))
	return err
}

// isHostPort accepts an ip:port and the empty text: whether an address is required is another rule.
func isHostPort(value any) error {
	address := value.(string)
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.New("must be an address of the form ip:port")
	}
	return nil
}

// isPortRange accepts the first and the last of at least MinimumPorts ports.
func isPortRange(value any) error {
	bounds := value.([]int)
	if len(bounds) != 2 {
		return errors.New("must be the first and the last port")
	}
	first, last := bounds[0], bounds[1]
	if first < 1 || last > maxPort || first > last {
		return errors.Newf("must be two rising ports from 1 to %d", maxPort)
	}
	if last-first+1 < MinimumPorts {
		return errors.Newf("must hold at least %d ports", MinimumPorts)
	}
	return nil
}

// isFigure accepts every finite number.
func isFigure(value any) error {
	number := value.(float64)
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return errors.New("must be a finite number")
	}
	return nil
}

func isAboveZero(value any) error {
	if value.(float64) <= 0 {
		return errors.New("must be above 0")
	}
	return nil
}
