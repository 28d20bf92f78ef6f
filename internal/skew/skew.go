// Package skew checks, before an edition of rules holds, that every sidecar
// understands it: each one reads it and decides drawn cases, and the member that
// leads the voters compares. It is a state machine: Step(now, event) ->
// actions, without I/O, clock or goroutine, and the same seed and events give
// the same actions. docs/design-rules.md says why it is so.
package skew

import (
	"fmt"
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/rules"
	"fieldrelay/internal/view"
)

// Event is what happens to the machine.
type Event interface{ event() }

// The events.
type (
	// Tick is that time has passed, or that the view may have changed.
	Tick struct{}
	// Received is a message of another member.
	Received struct {
		From    member.Record
		Message Message
	}
	// Push is the edition of this member's file, which it wants to hold. Its number does not count.
	Push struct{ Edition rules.Edition }
)

func (Tick) event()     {}
func (Received) event() {}
func (Push) event()     {}

// Action is what the machine wants done.
type Action interface{ action() }

// The actions.
type (
	// Send is a message for a member, by name.
	Send struct {
		To      string
		Message Message
	}
	// Gossip is a message for some others, drawn anew each time.
	Gossip struct{ Message Message }
	// Propose is what the leader has agreed with the next view.
	Propose struct{ Rules view.Rules }
	// Enforce is that this member goes by an edition from now on, whole.
	Enforce struct{ Compiled *rules.Compiled }
	// LogEntry is a line for the operator.
	LogEntry struct {
		Text  string
		Alert bool
	}
)

func (Send) action()     {}
func (Gossip) action()   {}
func (Propose) action()  {}
func (Enforce) action()  {}
func (LogEntry) action() {}

// Config is what a machine is made with. The functions are called in Step.
type Config struct {
	Name          string
	Boot          uint64
	Pace          time.Duration
	Bound         time.Duration // for which a view is held at the most after the next was decided: view.Bound
	Seed          uint64
	Reads         rules.Reads
	Lower         bool          // write an edition in a format that all read, where that loses nothing
	MaxBehind     int           // members that may be left behind
	ReturnTimeout time.Duration // a member that is away counts for so long
	ReplyTimeout  time.Duration // a member that does not answer is not heard of after so long
	Stored        rules.Edition // that this member went by before it was started; number 0: none

	View       func() (view.View, bool)
	HoldsLease func() bool              // the view, which is the newest then
	Decided    func() (view.View, bool) // by the voters, where this member votes
	Leader     func() string
	Members    func() []Member // all that are known, this one among them, by name
	// Decide is how this program decides a case; nil: as it does.
	Decide func(c *rules.Compiled, q rules.Case) string
	Mutate Mutation
}

// Member is another sidecar, by this one's opinion.
type Member struct {
	Name      string
	Boot      uint64
	Reads     string
	AbsentFor time.Duration // for so long by now; -1: it is there; what has left for good is not among them
}

// Mutation is a fault put in on purpose.
type Mutation uint8

// The mutations.
const (
	NoMutation    Mutation = iota
	TrustsClaims           // a member that says that it reads the format is not tried
	SkipsSilent            // who has not answered counts as one that understands
	NoWait                 // the next edition is agreed at once
	HalfInForce            // an edition is gone by before its content was read
	AnyBoot                // an answer of an earlier process of a name counts
	OverwritesNew          // an edition of a lower number is gone back to
)

// Times in paces.
const (
	draftInterval       = 4 // a draft is sent to the leader again
	directOfferInterval = 2 // who has not answered is told directly, and again
	maxDirectOffers     = 8 // of those, in a pace
	contentInterval     = 2
	proposalInterval    = 4
	maxForwards         = 4  // offers passed on in a pace
	maxRememberedTrials = 32 // rounds that are remembered
	maxEditions         = 6  // editions whose content is kept
	maxDrafts           = 4  // drafts that wait
	maxReasons          = 16 // lines of why
)

// Bounds are what the section promises, with figures.
func Bounds(lease time.Duration, drift float64) []string {
	b := view.Bound(lease, drift).Round(time.Millisecond)
	return []string{
		fmt.Sprintf("rules: no member that holds a view goes by the edition before for longer than lease_ms * (1 + drift) = %v after the next was agreed", b),
		fmt.Sprintf("rules: two editions are agreed at least %v apart, so at most two are in force at once among those that hold a view", b),
		fmt.Sprintf("rules: one that is cut off goes by its last edition, and says so once its lease is over, %v at the most", b),
	}
}
