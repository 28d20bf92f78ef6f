// Package policy names the mechanisms by which a proxy decides, so that each can be switched off: by an operator
// who suspects one, and by measurements that tell what one is worth. None of them is needed to keep a rule; what
// keeps a rule has no switch.
package policy

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism is one part of the policy that can be switched off.
type Mechanism uint8

// The mechanisms.
const (
	PromptAffinity    Mechanism = iota // a prompt's servers by rendezvous hashing of its shared parts
	PrefixCache                        // memory of which prompts were sent where
	PrefillPrice                       // reading shared parts anew counts more than its time
	Softmax                            // picks drawn by speed; off: always the best
	SortedWalk                         // the walk over sorted servers while answers come late
	Subset                             // a proxy spreads its requests over part of a region's servers
	Spill                              // other regions while they answer sooner
	ZonePreference                     // servers of the own zone count as nearer than they are
	PrefillRate                        // the time to read a token is learnt from answers
	Announcements                      // long reads are told to the other proxies of the region
	FailureReports                     // servers that break connections are told to the other proxies of the region
	Admission                          // refusals while answers come late and servers are full
	Trickle                            // one request of each route is let in at times, however bad it looks
	Ejection                           // rest after failures in a row
	RejectionCooldown                  // a server that was full is left alone for a moment
	DrainCooldown                      // a server whose answers close connections is left alone
	Seeding                            // a request for every server of which nothing is known
	SpeedAging                         // old estimates are drawn to the typical speed
	OverdueBound                       // an attempt that waits too long lowers its server's estimate at once
	Priorities                         // servers are told how urgent a request is
	CapacityWait                       // a request waits for a place before it is refused
	ConnectionReuse                    // connections to servers are used again
	ReachabilityWatch                  // machines out of reach are left before the deadline
	mechanisms                         // their number
)

// names are what settings and command line call the mechanisms.
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
	Trickle:           "trickle",
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

// String is the mechanism's name.
func (m Mechanism) String() string { return names[m] }

// Names are the names of all mechanisms, in a fixed order.
func Names() []string { return slices.Clone(names[:]) }

// Switches tells which mechanisms are off. The zero value has all of them on.
type Switches struct {
	off uint64 // a bit for each mechanism
}

// Without gives the switches with some mechanisms off.
func Without(off ...Mechanism) Switches {
	var switches Switches
	for _, mechanism := range off {
		switches.off |= 1 << mechanism
	}
	return switches
}

// Off tells whether a mechanism is switched off.
func (s Switches) Off(m Mechanism) bool { return s.off&(1<<m) != 0 }

// And gives the switches with what is off in either.
func (s Switches) And(other Switches) Switches { return Switches{off: s.off | other.off} }

// String lists the names of what is off.
func (s Switches) String() string {
	var off []string
	for m := range mechanisms {
		if s.Off(m) {
			off = append(off, m.String())
		}
	}
	return strings.Join(off, ",")
}

// UnknownError tells that a name is no mechanism's.
type UnknownError struct {
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "policy: no mechanism is called " + e.Name + "; known are " + strings.Join(names[:], ", ")
}

// Parse reads the names of mechanisms that are to be off. The error is an *UnknownError for the first name that is
// not known.
func Parse(off []string) (Switches, error) {
	var switches Switches
	for _, name := range off {
		at := slices.Index(names[:], name)
		if at < 0 {
			return Switches{}, errors.WithStack(&UnknownError{Name: name})
		}
		switches.off |= 1 << at
	}
	return switches, nil
}
