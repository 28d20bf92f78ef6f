// Package versionskew guards a fleet against version skew: before an edition of rules comes into force, every sidecar reads the
// edition and decides cases drawn from it, and the leader of the voters compares the decisions. The check is a deterministic state
// machine, Step(now, event) -> actions, without I/O, clock or goroutine: the same seed and events give the same actions.
//
// The check shows that the members decide the drawn cases alike, not that they would decide all cases alike. Rules themselves are
// in package rules; docs/design/rules.md describes the design, docs/sidecar/rules.md is the page for operators.
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
	// Received delivers a message of another member.
	Received struct {
		From    member.Record
		Message Message
	}
	// Push requests that the edition of this member's rules file be put in force. The edition's number is ignored.
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
	// Gossip sends a message to a few other members, drawn at random for each message.
	Gossip struct{ Message Message }
	// Propose makes the leader of the voters propose an edition with the next view.
	Propose struct{ Rules view.Rules }
	// Enforce puts an edition in force at this member, as a whole.
	Enforce struct{ Compiled *rules.Compiled }
	// LogEntry is a line for the operator. Alert is set if the operator has to act on it.
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

// Config configures a machine. Its functions are called in Step.
type Config struct {
	Name          string
	Boot          uint64
	Pace          time.Duration
	Bound         time.Duration // longest time for which a lease on a view lasts after the next view was decided: view.StalenessBound
	Seed          uint64
	Reads         rules.FormatSet
	Lower         bool          // whether to rewrite an edition in formats that all members read, if that loses nothing
	MaxBehind     int           // largest number of incompatible members with which an edition is agreed
	ReturnTimeout time.Duration // time for which an absent member is waited for, since it may return
	ReplyTimeout  time.Duration // time after which a member without a reply counts as incompatible
	Stored        rules.Edition // edition that was in force at this member before its start; number 0: none

	View       func() (view.View, bool) // the view in force at this member
	HoldsLease func() bool              // whether this member holds the lease on that view
	Decided    func() (view.View, bool) // the last view that the voters decided; false if this member does not vote
	Leader     func() string            // name of the voters' leader; empty: none is known
	Members    func() []Member          // all known members, sorted by name, including this one and excluding those that left
	// Decide replaces this program's decision of a case, in tests; nil: the decision is not replaced.
	Decide func(c *rules.Compiled, q rules.Case) string
	Mutate Mutation
}

// Member is a member of the fleet, as this member sees it.
type Member struct {
	Name      string
	Boot      uint64
	Reads     string
	AbsentFor time.Duration // time since the member's failure was detected; -1: the member is present
}

// Mutation is a fault that a test injects into the machine.
type Mutation uint8

// The mutations.
const (
	NoMutation    Mutation = iota
	TrustsClaims           // a member counts as compatible if it only claims to read the format
	SkipsSilent            // a member without a reply counts as compatible
	NoWait                 // the next edition is proposed without waiting for leases on earlier views to end
	HalfInForce            // an edition comes into force before its content is available
	AnyBoot                // a reply of an earlier process of a member's name counts
	OverwritesNew          // an outdated view puts an edition of a lower number back in force
)

// Constants of the check. Times are in paces.
const (
	draftInterval       = 4  // upper bound of the interval between two sends of a draft to the leader; half of it is the lower bound
	directOfferInterval = 2  // time after which an offer is sent directly to a member without a reply, and interval between two such sends
	maxDirectOffers     = 8  // bound on the direct offers sent in one step
	contentInterval     = 2  // mean interval between two requests for the content of an edition
	proposalInterval    = 4  // interval between two proposals of an edition
	maxForwards         = 4  // bound on the offers forwarded per pace
	maxRememberedTrials = 32 // bound on the trials that are remembered as forwarded
	maxEditions         = 6  // bound on the cached editions, and on the remembered rejections
	maxDrafts           = 4  // bound on the queued drafts
	maxReasons          = 16 // bound on the reasons in a status
)

// Bounds returns the guarantees with their values, as lines for the operator.
func Bounds(lease time.Duration, drift float64) []string {
	b := view.StalenessBound(lease, drift).Round(time.Millisecond)
	return []string{
		fmt.Sprintf("rules: no member that holds the lease on a view has the previous edition in force for longer than lease_ms * (1 + drift) = %v after the next one was agreed", b),
		fmt.Sprintf("rules: two editions are agreed at least %v apart, so at most two are in force at once among members that hold the lease on a view", b),
		fmt.Sprintf("rules: a member that is cut off keeps its last edition in force, and reports that once its lease has expired, after %v at most", b),
	}
}
