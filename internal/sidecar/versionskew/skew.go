// Package versionskew guards a fleet against version skew: before an edition of rules comes into force, every sidecar reads it and
// decides cases drawn from it, and the leader of the voters compares the decisions. It is a state machine, Step(now, event) ->
// actions, without I/O, clock or goroutine, and the same seed and events give the same actions.
//
// It shows that the members decide the drawn cases alike, not that they would decide all alike. Rules themselves are in package
// rules; docs/design/rules.md describes the design, docs/sidecar/rules.md is the page for operators.
package versionskew

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
)

// Event is an input of the machine.
type Event interface{ event() }

// The events.
type (
	// Tick reports that time has passed, or that the view may have changed.
	Tick struct{}
	// Received is a message of another member.
	Received struct {
		From    member.Record
		Message Message
	}
	// Push is the edition of this member's file, to be put in force. Its number does not count.
	Push struct{ Edition rules.Edition }
)

func (Tick) event()     {}
func (Received) event() {}
func (Push) event()     {}

// Action is an output of the machine, for its caller to carry out in order.
type Action interface{ action() }

// The actions.
type (
	// Send sends a message to a member, by name.
	Send struct {
		To      string
		Message Message
	}
	// Gossip sends a message to a few other members, drawn anew each time.
	Gossip struct{ Message Message }
	// Propose has the leader propose an edition with the next view.
	Propose struct{ Rules view.Rules }
	// Enforce puts an edition in force at this member, all of it at once.
	Enforce struct{ Compiled *rules.Compiled }
	// LogEntry is a line for the operator. Alert is set if something has to be done about it.
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
	Bound         time.Duration // longest time that a view's lease lasts after the next view was decided: view.StalenessBound
	Seed          uint64
	Reads         rules.FormatSet
	Lower         bool          // rewrite an edition in formats that all read, if that loses nothing
	MaxBehind     int           // how many incompatible members may be left behind
	ReturnTimeout time.Duration // for so long an absent member may return and has to be waited for
	ReplyTimeout  time.Duration // after which a member without a reply counts as incompatible
	Stored        rules.Edition // that was in force at this member before it was started; number 0: none

	View       func() (view.View, bool) // the view in force at this member
	HoldsLease func() bool              // this member holds the lease on it
	Decided    func() (view.View, bool) // the last view that the voters decided; false if this member does not vote
	Leader     func() string            // name of the voters' leader; empty: none is known
	Members    func() []Member          // all known members, this one included, by name, but for those that left
	// Decide replaces how this program decides a case, in tests; nil: it does not.
	Decide func(c *rules.Compiled, q rules.Case) string
	Mutate Mutation
}

// Member is another sidecar, by this one's opinion.
type Member struct {
	Name      string
	Boot      uint64
	Reads     string
	AbsentFor time.Duration // -1: it is present
}

// Mutation is a fault that a test injects.
type Mutation uint8

// The mutations.
const (
	NoMutation    Mutation = iota
	TrustsClaims           // a member that says that it reads the format counts as compatible
	SkipsSilent            // a member without a reply counts as compatible
	NoWait                 // the next edition is agreed at once
	HalfInForce            // an edition comes into force before its content was read
	AnyBoot                // a reply of an earlier process of a name counts
	OverwritesNew          // an edition of a lower number comes back into force
)

// The constants of the check: times are in paces.
const (
	draftInterval       = 4  // after which a draft is sent to the leader again
	directOfferInterval = 2  // after which an offer is sent directly to a member without a reply, and again
	maxDirectOffers     = 8  // sent at a time
	contentInterval     = 2  // between two requests for the content of an edition
	proposalInterval    = 4  // after which an edition is proposed again
	maxForwards         = 4  // offers forwarded in a pace
	maxRememberedTrials = 32 // trials remembered as forwarded
	maxEditions         = 6  // editions cached, and rejections remembered
	maxDrafts           = 4  // drafts queued
	maxReasons          = 16 // reasons in a status
)

// Bounds returns the guarantees with figures, as lines for the operator.
func Bounds(lease time.Duration, drift float64) []string {
	b := view.StalenessBound(lease, drift).Round(time.Millisecond)
	return []string{
		fmt.Sprintf("rules: no member that holds a view goes by the edition before for longer than lease_ms * (1 + drift) = %v after the next was agreed", b),
		fmt.Sprintf("rules: two editions are agreed at least %v apart, so at most two are in force at once among those that hold a view", b),
		fmt.Sprintf("rules: one that is cut off goes by its last edition, and says so once its lease is over, %v at the most", b),
	}
}
