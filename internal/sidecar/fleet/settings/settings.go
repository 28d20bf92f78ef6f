// Package settings defines the section fleet of the operator's file. It is separate from package fleet so that a sidecar without
// a fleet does not link the dependencies of the fleet.
package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/verdict"
)

// Settings are the section fleet of the operator's file. The sidecar joins no fleet unless the section names one.
type Settings struct {
	Fleet          string            `toml:"fleet"`       // name of the fleet: members of another fleet are refused
	Name           string            `toml:"name"`        // name of this member; empty: the sidecar's name
	Listen         string            `toml:"listen"`      // host:port that receives datagrams and streams
	Advertise      string            `toml:"advertise"`   // address at which other members reach this one; empty: the listen address
	Join           []string          `toml:"join"`        // addresses of members through which this one joins; not all of them need be up
	Dial           map[string]string `toml:"dial"`        // by member's name, the address to dial it at, if not the advertised one
	Voters         []string          `toml:"voters"`      // names of the members that agree on views: 1, 3 or 5
	Pace           int               `toml:"pace_ms"`     // interval between two probes
	Lease          int               `toml:"lease_ms"`    // duration of the lease on a view, from the last time at which the view was surely the newest
	Drift          int               `toml:"drift_ppm"`   // bound on the rate difference between two clocks, in parts per million
	Verdicts       bool              `toml:"verdicts"`    // whether members avoid execute nodes that fail for most members
	VerdictPercent int               `toml:"verdict_pct"` // percent of the execute nodes, and of each zone's, that may be avoided by verdict
	State          string            `toml:"state"`       // folder in which a voter stores its state; empty: the voter stores none
	Recover        string            `toml:"recover"`     // who replaces a majority of voters that lost its state: hand (the operator, by RECOVER) or safe (the voters, where provably safe)
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Pace: 250, Lease: 5000, Drift: 1000, VerdictPercent: 25, Recover: byHand}
}

const (
	minPace, maxPace  = 20, 10_000
	maxJoin           = 64
	maxFleetBytes     = 64 // maximum length of a fleet's name
	minLease          = 12 // in paces: the age of a view passes from member to member, and each hop takes a pace or two
	maxLease          = 600_000
	maxDrift          = 100_000
	maxVerdictPercent = 50

	byHand = "hand"
	safe   = "safe"
)

// Enabled reports whether the settings name a fleet.
func (s *Settings) Enabled() bool { return s.Fleet != "" || s.Listen != "" }

// Check calls fault for each key whose value is invalid, with the value read and the allowed ones.
func (s *Settings) Check(fault func(key string, read any, allowed string)) {
	if s.Pace < minPace || s.Pace > maxPace {
		fault("pace_ms", s.Pace, fmt.Sprintf("%d to %d", minPace, maxPace))
	}
	if len(s.Name) > member.MaxNameBytes {
		fault("name", s.Name, fmt.Sprintf("up to %d bytes", member.MaxNameBytes))
	}
	if len(s.Join) > maxJoin {
		fault("join", len(s.Join), fmt.Sprintf("%d addresses at most", maxJoin))
	}
	for i, a := range s.Join {
		checkAddress(fmt.Sprintf("join[%d]", i), a, fault)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Dial)) {
		checkAddress("dial."+name, s.Dial[name], fault)
	}
	if s.Advertise != "" {
		checkAddress("advertise", s.Advertise, fault)
	}
	if s.Lease <= 0 || s.Lease < minLease*s.Pace || s.Lease > maxLease {
		fault("lease_ms", s.Lease, fmt.Sprintf("%d paces (%d) to %d", minLease, minLease*s.Pace, maxLease))
	}
	if s.Drift < 0 || s.Drift > maxDrift {
		fault("drift_ppm", s.Drift, fmt.Sprintf("0 to %d", maxDrift))
	}
	if s.VerdictPercent < 1 || s.VerdictPercent > maxVerdictPercent {
		fault("verdict_pct", s.VerdictPercent, fmt.Sprintf("1 to %d", maxVerdictPercent))
	}
	if s.Recover != byHand && s.Recover != safe {
		fault("recover", s.Recover, "hand or safe")
	}
	if !s.Enabled() {
		return
	}
	voters := slices.Compact(slices.Sorted(slices.Values(s.Voters)))
	if n := len(s.Voters); n != 1 && n != 3 && n != 5 || len(voters) != n {
		fault("voters", strings.Join(s.Voters, " "), "1, 3 or 5 different names of members, the same for all")
	}
	if s.Fleet == "" || len(s.Fleet) > maxFleetBytes {
		fault("fleet", s.Fleet, fmt.Sprintf("a name of 1 to %d bytes", maxFleetBytes))
	}
	checkAddress("listen", s.Listen, fault)
}

// checkAddress checks an address of a member.
func checkAddress(key, address string, fault func(key string, read any, allowed string)) {
	// Host names are not allowed: resolving them could block the actor.
	if _, err := netip.ParseAddrPort(address); err != nil || len(address) > member.MaxAddrBytes {
		fault(key, address, fmt.Sprintf("an IP address and port, up to %d bytes", member.MaxAddrBytes))
	}
}

// LeaseTime returns the duration of the lease on a view.
func (s *Settings) LeaseTime() time.Duration { return time.Duration(s.Lease) * time.Millisecond }

// DriftFraction returns the allowed rate difference between two clocks as a fraction.
func (s *Settings) DriftFraction() float64 { return float64(s.Drift) / 1e6 }

// Refounds reports whether the voters form a new group without the operator where that is provably safe.
func (s *Settings) Refounds() bool { return s.Recover == safe }

// PaceTime returns the interval between two probes.
func (s *Settings) PaceTime() time.Duration { return time.Duration(s.Pace) * time.Millisecond }

// Live reports whether the settings differ only in keys that can change while the fleet runs: join and dial.
func (s *Settings) Live(next Settings) bool {
	next.Join, next.Dial = s.Join, s.Dial
	return s.Equal(next)
}

// Equal reports whether all settings are the same.
func (s *Settings) Equal(next Settings) bool {
	return s.Fleet == next.Fleet && s.Name == next.Name && s.Listen == next.Listen && s.Advertise == next.Advertise &&
		s.Pace == next.Pace && s.Lease == next.Lease && s.Drift == next.Drift &&
		s.Verdicts == next.Verdicts && s.VerdictPercent == next.VerdictPercent && s.State == next.State && s.Recover == next.Recover && slices.Equal(s.Voters, next.Voters) && slices.Equal(s.Join, next.Join) && maps.Equal(s.Dial, next.Dial)
}

// Bounds returns the guarantees with the values that follow from the settings, as lines for the operator.
func (s *Settings) Bounds() []string {
	held := time.Duration(float64(s.LeaseTime()) * (1 + s.DriftFraction())).Round(time.Microsecond)
	lines := []string{fmt.Sprintf("fleet: no member holds the lease on a view for longer than lease_ms * (1 + drift) = %v after the next view was decided", held)}
	for _, n := range []int{5, 50, 500} {
		lines = append(lines, fmt.Sprintf("fleet: among %d members all detect a crash within n * pace + pace + 12 * max(1, log10 n) * pace = %v, usually within a fraction of that",
			n, member.DetectionTime(n, s.PaceTime()).Round(time.Millisecond)))
	}
	if s.Refounds() {
		pace := s.PaceTime()
		for _, n := range []int{5, 50, 500} {
			back := max(held, 20*pace) + 8*pace + 2*pace + time.Duration(n)*pace/32 + held + 4*pace
			lines = append(lines, fmt.Sprintf("fleet: once all %d members of the last view are back, voters whose majority lost its state hold a view again within max(lease, 20 * pace) + lease + 14 * pace + n / 32 * pace = %v, lease being lease_ms * (1 + drift)", n, back.Round(time.Millisecond)))
		}
	}
	if s.Verdicts {
		lines = append(lines, verdict.Bounds(s.PaceTime(), s.VerdictPercent)...)
	}
	return lines
}
