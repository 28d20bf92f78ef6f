package quota

import (
	"fmt"
	"time"
)

// Settings is one table of the section quota of the operator's file: a limit that applies to the whole fleet.
type Settings struct {
	Name                string  `toml:"name"`           // identifies the limit and must be the same at all members
	Class               string  `toml:"class"`          // if set, only requests of this class count
	Tenant              string  `toml:"tenant"`         // if set, only requests of this tenant count
	PerSecond           float64 `toml:"per_second"`     // a rate limit
	InFlight            int     `toml:"in_flight"`      // limit on requests in flight
	ClientRetryPercent  float64 `toml:"again_pct"`      // limit on retries by clients, in percent of the other requests
	AttemptRetryPercent float64 `toml:"retry_pct"`      // limit on attempts after the first, in percent of first attempts
	NodeInFlight        int     `toml:"node_in_flight"` // limit on attempts in flight at each execute node
	DividesAllowances   bool    `toml:"allowances"`     // divides the allowance of each tenant in the settings; no request is rejected
	Floor               int     `toml:"floor_pct"`      // percent of the limit that is reserved in equal shares for the members
	Members             int     `toml:"members"`        // maximum number of sidecars
	Policy              string  `toml:"policy"`         // strict or available (see Limit.Available)
	Burst               int     `toml:"burst_ms"`       // for a rate: the time over which unused requests accumulate
}

const (
	strict    = "strict"
	available = "available"

	maxNameBytes    = 64
	maxRate         = 1e6
	maxSlots        = 1 << 20
	maxMembers      = 2048
	maxRetryPercent = 1000
	maxBurst        = 10_000
	defaultBurst    = 100
)

// SettingsList holds the tables of the section.
type SettingsList []Settings

// Check calls fault for each key with an invalid value. fleet reports whether the file names a fleet.
func (all SettingsList) Check(fleet bool, fault func(key string, read any, allowed string)) {
	if len(all) > MaxLimits {
		fault("", len(all), fmt.Sprintf("%d tables at most", MaxLimits))
	}
	seen := map[string]bool{}
	for i, s := range all {
		key := func(name string) string { return fmt.Sprintf("[%d].%s", i, name) }
		if s.Name == "" || len(s.Name) > maxNameBytes || seen[s.Name] {
			fault(key("name"), s.Name, fmt.Sprintf("a name of 1 to %d bytes, once", maxNameBytes))
		}
		seen[s.Name] = true
		named := 0
		for _, is := range []bool{s.PerSecond != 0, s.InFlight != 0, s.ClientRetryPercent != 0, s.AttemptRetryPercent != 0, s.NodeInFlight != 0, s.DividesAllowances} {
			if is {
				named++
			}
		}
		if named != 1 || s.PerSecond < 0 || s.PerSecond > maxRate || s.InFlight < 0 || s.InFlight > maxSlots || s.ClientRetryPercent < 0 || s.ClientRetryPercent > maxRetryPercent ||
			s.AttemptRetryPercent < 0 || s.AttemptRetryPercent > maxRetryPercent || s.NodeInFlight < 0 || s.NodeInFlight > maxSlots {
			fault(key("per_second"), s.PerSecond, fmt.Sprintf("one of per_second (over 0, up to %g), in_flight and node_in_flight (1 to %d), again_pct and retry_pct (over 0, up to %d), allowances = true",
				maxRate, maxSlots, maxRetryPercent))
		}
		if s.Floor < 0 || s.Floor > 100 {
			fault(key("floor_pct"), s.Floor, "0 to 100")
		}
		if s.Leased() && s.Members < 1 || s.Members < 0 || s.Members > maxMembers {
			fault(key("members"), s.Members, fmt.Sprintf("1 to %d", maxMembers))
		}
		if s.Policy != "" && s.Policy != strict && s.Policy != available {
			fault(key("policy"), s.Policy, "strict or available")
		}
		if s.Burst < 0 || s.Burst > maxBurst {
			fault(key("burst_ms"), s.Burst, fmt.Sprintf("0 (%d) to %d", defaultBurst, maxBurst))
		}
		if !fleet {
			fault(key("name"), s.Name, "only where the section fleet names a fleet")
		}
	}
}

// Limit returns the limit that the settings define.
func (s Settings) Limit() Limit {
	l := Limit{Name: s.Name, Kind: Rate, Total: Unit(s.PerSecond * float64(PerSecond)), FloorPercent: Unit(s.Floor), MaxMembers: Unit(s.Members), Available: s.Policy == available}
	switch {
	case s.InFlight > 0:
		l.Kind, l.Total = InFlight, Unit(s.InFlight)
	case s.ClientRetryPercent > 0:
		l.Kind, l.Total = Retries, Unit(s.ClientRetryPercent*float64(PerSecond)/100)
	case s.AttemptRetryPercent > 0:
		l.Kind, l.Total = Retries, Unit(s.AttemptRetryPercent*float64(PerSecond)/100)
	case s.NodeInFlight > 0:
		l.Kind, l.Total = InFlight, Unit(s.NodeInFlight)
	}
	return l
}

// BurstTime returns the time over which unused requests of a rate accumulate.
func (s Settings) BurstTime() time.Duration {
	if s.Burst == 0 {
		return defaultBurst * time.Millisecond
	}
	return time.Duration(s.Burst) * time.Millisecond
}

// Leased reports whether shares of the limit are leased.
func (s Settings) Leased() bool { return s.ClientRetryPercent == 0 && s.AttemptRetryPercent == 0 }

// CountsAttempts reports whether the limit counts attempts at execute nodes rather than requests.
func (s Settings) CountsAttempts() bool { return s.AttemptRetryPercent > 0 || s.NodeInFlight > 0 }

// Reduced returns the reduction of the limit for a node that is warming up and has a fraction of its capacity. If the reduced
// limit allows one request in flight for each member, every member may have at least one.
func (s Settings) Reduced(fraction float64) Reduction {
	r := Reduction{Fraction: fraction}
	if l := s.Limit(); fraction*float64(l.Total) >= float64(l.MaxMembers) {
		r.Min = 1
	}
	return r
}

// ForTenant returns the limit of one tenant's allowance, in requests per second. Without a lease a member has an equal share, as
// it has without a fleet.
func (s Settings) ForTenant(tenant string, allowance float64) Settings {
	s.Name, s.Tenant, s.PerSecond, s.Policy = s.Name+"/"+tenant, tenant, allowance, available
	return s
}

// ForNode returns the limit of one execute node, from settings that apply to each node.
func (s Settings) ForNode(node string) Settings {
	s.Name += "/" + node
	return s
}

// Applies reports whether a request of a class and tenant counts toward the limit.
func (s Settings) Applies(class, tenant string) bool {
	return (s.Class == "" || s.Class == class) && (s.Tenant == "" || s.Tenant == tenant)
}

// Bound describes the guarantee of the limit with its configured values, as a line for the operator.
func (s Settings) Bound() string {
	l := s.Limit()
	if s.AttemptRetryPercent > 0 {
		return fmt.Sprintf("quota %s: attempts after the first are at most %g%% of first attempts, and %d for each member, whatever fails", s.Name, s.AttemptRetryPercent, maxSavedRetries)
	}
	if s.DividesAllowances {
		return fmt.Sprintf("quota %s: the parts of each tenant's allowance sum to the allowance, and with n members cut off without a lease to at most n/%d of its pool more", s.Name, s.Members)
	}
	if l.Kind == Retries {
		return fmt.Sprintf("quota %s: retries are at most %g%% of the other requests, and %d for each member, whatever fails", s.Name, s.ClientRetryPercent, maxSavedRetries)
	}
	show := func(u Unit) string {
		if l.Kind == Rate {
			return fmt.Sprintf("%g a second", float64(u)/float64(PerSecond))
		}
		return fmt.Sprintf("%d in flight", u)
	}
	each := ""
	if s.NodeInFlight > 0 {
		each = " at each execute node"
	}
	line := fmt.Sprintf("quota %s: %s%s for the fleet, %s of it for each of %d members whatever fails; ", s.Name, show(l.Total), each, show(l.floor()), l.MaxMembers)
	if l.Available {
		line += fmt.Sprintf("exceeded by at most n * pool / members with n members cut off without a lease: by %s each", show(l.pool()/max(1, l.MaxMembers)))
	} else {
		line += "never exceeded"
	}
	if l.Kind == Rate {
		line += fmt.Sprintf("; in any time w at most per_second * (w + %v) and one request a member", s.BurstTime())
	}
	return line
}
