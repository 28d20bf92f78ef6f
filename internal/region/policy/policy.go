// Package policy names the mechanisms that determine a proxy's decisions, so that each can be switched off: by an
// operator who suspects that it is faulty, or to measure its contribution (ablation). No rule of docs/region/rules.md
// depends on any of them; code that enforces a rule has no switch. The mechanisms are implemented in the packages that
// use them, mostly placement and proxy. The package is stateless.
package policy

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism is a mechanism that can be switched off. Its name is stable between versions, its number is not.
type Mechanism uint8

// The mechanisms.
const (
	PromptAffinity    Mechanism = iota // requests with shared chunks prefer one server of a region, chosen by rendezvous hashing
	PrefixCache                        // an index of the prefixes that were sent to each server predicts what is cached there
	PrefillPrice                       // prefilling shared chunks again has a cost in addition to its time
	Softmax                            // servers are drawn by a softmax over their predictions; off: the best server is always chosen
	SortedWalk                         // servers are taken from a sorted list while many answers are late
	Subset                             // a proxy distributes its requests over a subset of a region's servers
	Spill                              // requests are sent to other regions while the servers there are expected to answer sooner
	ZonePreference                     // the way to servers of other zones counts
	PrefillRate                        // the prefill time of a token is estimated from answers
	Announcements                      // prompts with a long prefill are announced to the other proxies of the region
	FailureReports                     // servers whose new connections fail are reported to the other proxies of the region
	Admission                          // requests that can't be answered in their client's time are rejected at once
	Ejection                           // servers are ejected after consecutive failures
	RejectionCooldown                  // a server that rejected a request as full is avoided for a short time
	DrainCooldown                      // a server that seems to be draining is avoided for a few seconds
	Seeding                            // a request is sent to each server without a speed estimate
	SpeedAging                         // aging speed estimates approach the typical speed of the service
	OverdueBound                       // an overdue attempt lowers the estimate of its server's speed before it ends
	Priorities                         // requests to servers include their priority
	CapacityWait                       // a request waits for capacity before it is rejected
	ConnectionReuse                    // connections to servers are reused for further requests
	ReachabilityWatch                  // attempts at unreachable machines are ended before their deadline
	mechanisms                         // number of mechanisms
)

// names are the names of the mechanisms in settings and on the command line.
var names = [mechanisms]string{
	PromptAffinity:    "prompt-homes",
	PrefixCache:       "kept-parts",
	PrefillPrice:      "reread-price",
	Softmax:           "softmax",
	SortedWalk:        "walk",
	Subset:            "subset",
	Spill:             "spill",
	ZonePreference:    "zone-preference",
	PrefillRate:       "reading-speed",
	Announcements:     "announcements",
	FailureReports:    "failure-reports",
	Admission:         "admission",
	Ejection:          "ejection",
	RejectionCooldown: "refusal-rest",
	DrainCooldown:     "leaving-rest",
	Seeding:           "seeding",
	SpeedAging:        "speed-aging",
	OverdueBound:      "overdue-bound",
	Priorities:        "priorities",
	CapacityWait:      "place-wait",
	ConnectionReuse:   "kept-connections",
	ReachabilityWatch: "contact-watch",
}

// retired are names of mechanisms that earlier versions had. Settings that switch them off stay valid.
var retired = []string{"trickle"}

// String returns the mechanism's name in settings and on the command line.
func (m Mechanism) String() string { return names[m] }

// Names returns the names of all mechanisms, in the order of their numbers.
func Names() []string { return slices.Clone(names[:]) }

// Switches is the set of mechanisms that are switched off. The zero value is empty: all mechanisms are on.
type Switches struct {
	off uint64 // bit set, indexed by mechanism
}

// Off reports whether a mechanism is switched off.
func (s Switches) Off(m Mechanism) bool { return s.off&(1<<m) != 0 }

// Union returns the switches in which a mechanism is off if it is off in s or in other.
func (s Switches) Union(other Switches) Switches { return Switches{off: s.off | other.off} }

// String returns the names of the mechanisms that are off, separated by commas.
func (s Switches) String() string {
	var off []string
	for m := range mechanisms {
		if s.Off(m) {
			off = append(off, m.String())
		}
	}
	return strings.Join(off, ",")
}

// UnknownError reports a name that is not the name of a mechanism.
type UnknownError struct {
	Name string // name as given
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "policy: unknown mechanism " + e.Name + "; known mechanisms: " + strings.Join(names[:], ", ")
}

// Parse returns the switches with the named mechanisms off. It ignores the names of mechanisms that no longer exist. Its error is an *UnknownError for the first unknown name.
func Parse(off []string) (Switches, error) {
	var switches Switches
	for _, name := range off {
		if slices.Contains(retired, name) {
			continue
		}
		index := slices.Index(names[:], name)
		if index < 0 {
			return Switches{}, errors.WithStack(&UnknownError{Name: name})
		}
		switches.off |= 1 << index
	}
	return switches, nil
}
