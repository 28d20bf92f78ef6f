// Package settings is the section fleet of the operator's file. It stands by
// itself so that a sidecar without a fleet links none of what a fleet needs.
package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/verdict"
)

// Settings are the section fleet of the operator's file. Off unless it names a fleet.
type Settings struct {
	Fleet     string            `toml:"fleet"`       // its name: members of another one are refused
	Name      string            `toml:"name"`        // of this member; empty: the sidecar's
	Listen    string            `toml:"listen"`      // host:port, of datagrams and of streams
	Advertise string            `toml:"advertise"`   // where the others reach it; empty: listen
	Join      []string          `toml:"join"`        // addresses of any that may be there
	Dial      map[string]string `toml:"dial"`        // a member's name to where it is reached from here, if not where it says
	Voters    []string          `toml:"voters"`      // the names of those who agree on views: 1, 3 or 5
	Pace      int               `toml:"pace_ms"`     // between two probes
	Lease     int               `toml:"lease_ms"`    // for how long a view is held after it was surely the newest
	Drift     int               `toml:"drift_ppm"`   // millionths by which clocks may run faster or slower than one another
	Verdicts  bool              `toml:"verdicts"`    // whether execute nodes are avoided that most members see failing
	VerdictPc int               `toml:"verdict_pct"` // percent of them, and of each zone's, that may be avoided so
	State     string            `toml:"state"`       // folder where a voter keeps its state; empty: it keeps none
	Recover   string            `toml:"recover"`     // of a majority of voters that lost its state: by hand, or safe: by themselves where it is sure
}

// Defaults are the settings where the operator says nothing.
func Defaults() Settings {
	return Settings{Pace: 250, Lease: 5000, Drift: 1000, VerdictPc: 25, Recover: byHand}
}

const (
	leastPace, mostPace = 20, 10_000
	mostJoin            = 64
	mostFleet           = 64 // bytes of a fleet's name
	leastLease          = 12 // paces: a view's age goes from member to member, a pace or two each time
	mostLease           = 600_000
	mostDrift           = 100_000
	mostVerdictPc       = 50

	byHand = "hand"
	safe   = "safe"
)

// Enabled tells whether the operator wants a fleet.
func (s *Settings) Enabled() bool { return s.Fleet != "" || s.Listen != "" }

// Check calls fault for each key whose value cannot be used.
func (s *Settings) Check(fault func(key string, read any, allowed string)) {
	if s.Pace < leastPace || s.Pace > mostPace {
		fault("pace_ms", s.Pace, fmt.Sprintf("%d to %d", leastPace, mostPace))
	}
	if len(s.Name) > member.MaxNameBytes {
		fault("name", s.Name, fmt.Sprintf("up to %d bytes", member.MaxNameBytes))
	}
	if len(s.Join) > mostJoin {
		fault("join", len(s.Join), fmt.Sprintf("%d addresses at most", mostJoin))
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
	if s.Lease <= 0 || s.Lease < leastLease*s.Pace || s.Lease > mostLease {
		fault("lease_ms", s.Lease, fmt.Sprintf("%d paces (%d) to %d", leastLease, leastLease*s.Pace, mostLease))
	}
	if s.Drift < 0 || s.Drift > mostDrift {
		fault("drift_ppm", s.Drift, fmt.Sprintf("0 to %d", mostDrift))
	}
	if s.VerdictPc < 1 || s.VerdictPc > mostVerdictPc {
		fault("verdict_pct", s.VerdictPc, fmt.Sprintf("1 to %d", mostVerdictPc))
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
	if s.Fleet == "" || len(s.Fleet) > mostFleet {
		fault("fleet", s.Fleet, fmt.Sprintf("a name of 1 to %d bytes", mostFleet))
	}
	checkAddress("listen", s.Listen, fault)
}

func checkAddress(key, address string, fault func(key string, read any, allowed string)) {
	// No names: a look-up could keep the actor waiting.
	if _, err := netip.ParseAddrPort(address); err != nil || len(address) > member.MaxAddrBytes {
		fault(key, address, fmt.Sprintf("an IP address and port, up to %d bytes", member.MaxAddrBytes))
	}
}

// LeaseTime is how long a view is held.
func (s *Settings) LeaseTime() time.Duration { return time.Duration(s.Lease) * time.Millisecond }

// DriftPart is the allowed drift as a part of one.
func (s *Settings) DriftPart() float64 { return float64(s.Drift) / 1e6 }

// Refounds tells whether the voters found anew by themselves where that is sure to be safe.
func (s *Settings) Refounds() bool { return s.Recover == safe }

// PaceTime is the time between two probes.
func (s *Settings) PaceTime() time.Duration { return time.Duration(s.Pace) * time.Millisecond }

// Live tells whether only what can change while the fleet runs differs.
func (s *Settings) Live(next Settings) bool {
	next.Join, next.Dial = s.Join, s.Dial
	return s.Equal(next)
}

// Equal tells whether nothing differs.
func (s *Settings) Equal(next Settings) bool {
	return s.Fleet == next.Fleet && s.Name == next.Name && s.Listen == next.Listen && s.Advertise == next.Advertise &&
		s.Pace == next.Pace && s.Lease == next.Lease && s.Drift == next.Drift &&
		s.Verdicts == next.Verdicts && s.VerdictPc == next.VerdictPc && s.State == next.State && s.Recover == next.Recover && slices.Equal(s.Voters, next.Voters) && slices.Equal(s.Join, next.Join) && maps.Equal(s.Dial, next.Dial)
}

// Bounds are what the section promises, a line each, with the figures of this file.
func (s *Settings) Bounds() []string {
	held := time.Duration(float64(s.LeaseTime()) * (1 + s.DriftPart())).Round(time.Microsecond)
	lines := []string{fmt.Sprintf("fleet: nobody holds a view for longer than lease_ms * (1 + drift) = %v after the next one was decided", held)}
	for _, n := range []int{5, 50, 500} {
		lines = append(lines, fmt.Sprintf("fleet: among %d members a crash is known to all within n * pace + pace + 12 * max(1, log10 n) * pace = %v, as a rule in a fraction of that",
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
		lines = append(lines, verdict.Bounds(s.PaceTime(), s.VerdictPc)...)
	}
	return lines
}
