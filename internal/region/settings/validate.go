package settings

import (
	"math"
	"net/netip"

	"github.com/cockroachdb/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/region/policy"
)

// check is one value of a settings file with the rules that it must satisfy.
type check struct {
	key   string
	value any
	rules []validation.Rule
}

const maxPort = 65535

var (
	requiredText     = []validation.Rule{validation.Required}
	ipAddress        = []validation.Rule{validation.Required, validation.By(isIPAddress)}
	hostPort         = []validation.Rule{validation.By(isHostPort)}
	hostPorts        = []validation.Rule{validation.Each(validation.Required, validation.By(isHostPort))}
	ports            = []validation.Rule{validation.Required, validation.By(isPortRange)}
	nonNegative      = []validation.Rule{validation.By(isFiniteNumber), validation.Min(0.0)}
	positive         = []validation.Rule{validation.By(isFiniteNumber), validation.By(isPositive)}
	nonNegativeCount = []validation.Rule{validation.Min(0)}
	mechanismNames   = []validation.Rule{validation.By(areMechanisms)}
	regionsByZone    = []validation.Rule{validation.Each(validation.Required)}
)

// validate returns every fault, without line numbers: package tomlfile adds them.
func (s *Settings) validate() []*FaultError {
	var faults []*FaultError
	for _, group := range [][]check{s.identityChecks(), s.limitChecks(), s.Bounds.checks()} {
		for _, check := range group {
			if err := validation.Validate(check.value, check.rules...); err != nil {
				faults = append(faults, &FaultError{Key: check.key, Reason: err.Error()})
			}
		}
	}
	return faults
}

// identityChecks returns the checks of names and addresses.
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

// limitChecks returns the checks of all numbers other than the bounds.
func (s *Settings) limitChecks() []check {
	return []check{
		{"heartbeat-ms", s.HeartbeatMS, positive},
		{"req-limits.cpu-frac", s.Limits.CPUFraction, positive},
		{"req-limits.ncpu", s.Limits.Cores, positive},
		{"req-limits.ram-mb", s.Limits.MemoryMB, positive},
		{"req-limits.max-fds", s.Limits.Descriptors, nonNegativeCount},
		{"req-limits.nic-mbps", s.Limits.LinkMbps, positive},
		{"req-limits.disk-mb", s.Limits.DiskMB, nonNegative},
		{"fault-budget.hosts-lost", s.FaultBudget.Hosts, nonNegativeCount},
		{"fault-budget.zones", s.FaultBudget.Zones, nonNegativeCount},
		{"fault-budget.regions-lost", s.FaultBudget.Regions, nonNegativeCount},
		{"cloud-api.rate-s", s.CloudAPI.Rate, nonNegative},
		{"cloud-api.max-lag-ms", s.CloudAPI.MaxLagMS, nonNegative},
	}
}

func (b Bounds) checks() []check {
	return []check{
		{"bounds.seed-stale-s", b.SeedStaleS, nonNegative},
		{"bounds.addr-reuse-s", b.AddressReuseS, nonNegative},
		{"bounds.contact-ms", b.ContactMS, nonNegative},
		{"bounds.ack-by-ms", b.AckByMS, nonNegative},
		{"bounds.sync-s", b.SyncS, nonNegative},
		{"bounds.drain-ms", b.DrainMS, nonNegative},
		{"bounds.grace-s", b.GraceS, nonNegative},
		{"bounds.loss-slack-ms", b.LossSlackMS, nonNegative},
		{"bounds.apply-ms", b.ApplyMS, nonNegative},
		{"bounds.revert-slack-ms", b.RevertSlackMS, nonNegative},
		{"bounds.stretch-ms", b.StretchMS, nonNegative},
		{"bounds.retry-ratio", b.RetryRatio, nonNegative},
		{"bounds.retry-win-s", b.RetryWindowS, nonNegative},
		{"bounds.retry-extra", b.RetryExtra, nonNegative},
		{"bounds.warm-excess", b.WarmExcess, nonNegative},
		{"bounds.warm-extra", b.WarmExtra, nonNegative},
		{"bounds.evacuate-ms", b.EvacuateMS, nonNegative},
		{"bounds.heal-s", b.HealS, nonNegative},
		{"bounds.pass_ms", b.PassMS, nonNegative},
		{"bounds.again_s", b.AgainS, nonNegative},
		{"bounds.ttl_max_s", b.TTLMaxS, nonNegative},
		{"bounds.retain-s", b.RetainS, nonNegative},
	}
}

func isIPAddress(value any) error {
	if _, err := netip.ParseAddr(value.(string)); err != nil {
		return errors.New("must be an IP address")
	}
	return nil
}

// areMechanisms accepts the names of mechanisms that can be switched off.
func areMechanisms(value any) error {
	_, err := policy.Parse(value.([]string))
	return err
}

// isHostPort accepts an ip:port and the empty string: that an address is required is a separate rule.
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

// isPortRange accepts the first and the last port of a range of at least MinimumPorts ports.
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

// isFiniteNumber accepts every finite number.
func isFiniteNumber(value any) error {
	number := value.(float64)
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return errors.New("must be a finite number")
	}
	return nil
}

func isPositive(value any) error {
	if value.(float64) <= 0 {
		return errors.New("must be above 0")
	}
	return nil
}
