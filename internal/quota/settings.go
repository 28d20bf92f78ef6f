package quota

import (
	"fmt"
	"time"
)

// Settings are one table of the section quota of the operator's file: a limit for the whole fleet.
type Settings struct {
	Name      string  `toml:"name"`       // told apart by it; the same for all members
	Class     string  `toml:"class"`      // which requests: of a class,
	Tenant    string  `toml:"tenant"`     // of a tenant, or of both; neither: all
	PerSecond float64 `toml:"per_second"` // a rate, or
	InFlight  int     `toml:"in_flight"`  // requests at a time
	Again     float64 `toml:"again_pct"`  // repeats by submitters, as a percentage of the other requests
	Floor     int     `toml:"floor_pct"`  // percent that are reserved in equal parts for members names
	Members   int     `toml:"members"`    // sidecars that there can be at the most
	Policy    string  `toml:"policy"`     // strict or available
	Burst     int     `toml:"burst_ms"`   // of a rate: how much of the past may be made up for
}

const (
	strict    = "strict"
	available = "available"

	mostName    = 64
	mostRate    = 1e6
	mostSlots   = 1 << 20
	mostMembers = 2048
	mostAgain   = 1000
	mostBurst   = 10_000
	usualBurst  = 100
)

// All are the tables of the section.
type All []Settings

// Check calls fault for each key whose value cannot be used. fleet tells whether the file names a fleet.
func (all All) Check(fleet bool, fault func(key string, read any, allowed string)) {
	if len(all) > MostLimits {
		fault("", len(all), fmt.Sprintf("%d tables at most", MostLimits))
	}
	seen := map[string]bool{}
	for i, s := range all {
		key := func(name string) string { return fmt.Sprintf("[%d].%s", i, name) }
		if s.Name == "" || len(s.Name) > mostName || seen[s.Name] {
			fault(key("name"), s.Name, fmt.Sprintf("a name of 1 to %d bytes, once", mostName))
		}
		seen[s.Name] = true
		named := 0
		for _, is := range []bool{s.PerSecond != 0, s.InFlight != 0, s.Again != 0} {
			if is {
				named++
			}
		}
		if named != 1 || s.PerSecond < 0 || s.PerSecond > mostRate || s.InFlight < 0 || s.InFlight > mostSlots || s.Again < 0 || s.Again > mostAgain {
			fault(key("per_second"), s.PerSecond, fmt.Sprintf("one of per_second (over 0, up to %g), in_flight (1 to %d) and again_pct (over 0, up to %d)",
				mostRate, mostSlots, mostAgain))
		}
		if s.Floor < 0 || s.Floor > 100 {
			fault(key("floor_pct"), s.Floor, "0 to 100")
		}
		if s.Again == 0 && s.Members < 1 || s.Members < 0 || s.Members > mostMembers {
			fault(key("members"), s.Members, fmt.Sprintf("1 to %d", mostMembers))
		}
		if s.Policy != "" && s.Policy != strict && s.Policy != available {
			fault(key("policy"), s.Policy, "strict or available")
		}
		if s.Burst < 0 || s.Burst > mostBurst {
			fault(key("burst_ms"), s.Burst, fmt.Sprintf("0 (%d) to %d", usualBurst, mostBurst))
		}
		if !fleet {
			fault(key("name"), s.Name, "only where the section fleet names a fleet")
		}
	}
}

// Limit is the limit of the settings.
func (s Settings) Limit() Limit {
	l := Limit{Name: s.Name, Kind: Rate, Most: Unit(s.PerSecond * float64(PerSecond)), Floor: Unit(s.Floor), Members: Unit(s.Members), Available: s.Policy == available}
	switch {
	case s.InFlight > 0:
		l.Kind, l.Most = InFlight, Unit(s.InFlight)
	case s.Again > 0:
		l.Kind, l.Most = Again, Unit(s.Again*float64(PerSecond)/100)
	}
	return l
}

// BurstTime is how much of the past may be made up for.
func (s Settings) BurstTime() time.Duration {
	if s.Burst == 0 {
		return usualBurst * time.Millisecond
	}
	return time.Duration(s.Burst) * time.Millisecond
}

// Leased tells whether the limit is one of parts that are leased.
func (s Settings) Leased() bool { return s.Again == 0 }

// Applies tells whether a request counts under the limit.
func (s Settings) Applies(class, tenant string) bool {
	return (s.Class == "" || s.Class == class) && (s.Tenant == "" || s.Tenant == tenant)
}

// Bound is a line on what is promised, with the figures of the settings.
func (s Settings) Bound() string {
	l := s.Limit()
	if l.Kind == Again {
		return fmt.Sprintf("quota %s: repeats are let through as %g%% of the other requests, and %d for each member, whatever fails", s.Name, s.Again, againSaved)
	}
	show := func(u Unit) string {
		if l.Kind == Rate {
			return fmt.Sprintf("%g a second", float64(u)/float64(PerSecond))
		}
		return fmt.Sprintf("%d in flight", u)
	}
	line := fmt.Sprintf("quota %s: %s for the fleet, %s of it for each of %d members whatever fails; ", s.Name, show(l.Most), show(l.floor()), l.Members)
	if l.Available {
		line += fmt.Sprintf("over by cut * pool / members at the most, with cut members without a lease: by %s each", show(l.pool()/max(1, l.Members)))
	} else {
		line += "never over"
	}
	if l.Kind == Rate {
		line += fmt.Sprintf("; in any time w at most per_second * (w + %v) and one request a member", s.BurstTime())
	}
	return line
}
