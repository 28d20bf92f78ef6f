// Package view implements the agreement of a fleet's sidecars on the membership: numbered views, decided by a majority of a few
// voters (Raft, go.etcd.io/raft), and each member's lease on its view. No member holds the lease on a view for longer than
// StalenessBound after the next view was decided. The package is a deterministic state machine, Step(now, event) -> actions,
// without I/O, clock or goroutines: the same seed and events give the same actions.
//
// Package member detects which processes are present. This package turns the leader's opinion into an agreement.
// docs/design/fleet.md describes the design, docs/design/comeback.md when a lost group of voters may be replaced.
package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"fieldrelay/internal/sidecar/member"
)

// ID identifies a view. Era is chosen when a group of voters is founded, normally higher than all earlier eras. Number counts
// the views of the era. No two views have the same ID.
type ID struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare orders IDs by era, then by number: within one history of views, the order in which the views were decided.
func (i ID) Compare(j ID) int {
	return cmp.Or(cmp.Compare(i.Era, j.Era), cmp.Compare(i.Number, j.Number))
}

// String formats the ID for logs and operators: the era in hexadecimal, a dot, and the number in decimal.
func (i ID) String() string { return fmt.Sprintf("%x.%d", i.Era, i.Number) }

// Member is a member of a view.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"`
	Boot        uint64 `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // incarnation of the member when the view was proposed
	FractionPPM uint32 `cbor:"5,keyasint"` // the member's equal fraction of any divided quantity, in parts per million
}

// View is an agreed version of the membership.
type View struct {
	ID      ID       `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`          // sorted by name
	Rules   Rules    `cbor:"3,keyasint,omitzero"` // rules in force with the view
}

// Rules names the edition of rules that is in force with a view.
type Rules struct {
	Number uint64 `cbor:"1,keyasint,omitempty"` // number of the edition; 0: none
	Digest string `cbor:"2,keyasint,omitempty"` // digest of the edition's content, hexadecimal
}

// maxDigestBytes is the maximum length of Rules.Digest.
const maxDigestBytes = 64

// totalPPM is the upper limit of the sum of FractionPPM over the members of a view.
const totalPPM = 1_000_000

// Find returns the member with the given name, and whether the view has one.
func (v *View) Find(name string) (Member, bool) {
	at, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return v.Members[at], true
}

// Sum returns a hash of the view's content.
func (v *View) Sum() uint64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // unreachable: a view consists of numbers and strings
	}
	return xxhash.Sum64(b)
}

// Event is an input of the machine.
type Event interface{ event() }

// The events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Received is a message from another member.
	Received struct {
		From    member.Record
		Message Message
	}
	// Stamped is a stamp that was received with the answer to a request sent at RequestedAt.
	Stamped struct {
		From        member.Record
		Stamp       Stamp
		RequestedAt time.Duration
	}
	// Recover reports the operator's decision that the majority of the voters is permanently lost: this process founds a
	// new group alone, from the state that it has.
	Recover struct{}
	// ProposeRules makes this process, if it is the leader, propose an edition of rules with the next view. The caller
	// repeats the event until a view has that edition.
	ProposeRules struct{ Rules Rules }
)

func (ProposeRules) event() {}
func (Tick) event()         {}
func (Received) event()     {}
func (Stamped) event()      {}
func (Recover) event()      {}

// Action is an output of the machine. The caller executes the actions of a step in order.
type Action interface{ action() }

// The actions.
type (
	// Send sends a message to the member named To.
	Send struct {
		To      string
		Message Message
	}
	// Save stores a change of the voter's state. The change must be synced to disk before any later action is executed.
	Save struct{ Change Change }
	// Decided reports, on a voter, a new view that the voters have decided.
	Decided struct{ View View }
	// Adopted reports the view that is in force on this member from now on.
	Adopted struct{ View View }
	// Notice is a log line for the operator. Alert is set if the operator has to act on it.
	Notice struct {
		Text  string
		Alert bool
	}
)

func (Send) action()    {}
func (Save) action()    {}
func (Decided) action() {}
func (Adopted) action() {}
func (Notice) action()  {}

// Config configures a machine.
type Config struct {
	Name   string
	Boot   uint64
	Voters []string      // names of the configured voters, which found the group: 1, 3 or 5
	Pace   time.Duration // unit of the protocol's timeouts and intervals, see member.Config.Pace
	Lease  time.Duration // duration of a lease
	Drift  float64       // largest relative difference between the rates of two members' clocks
	Seed   uint64
	Stored *StoredState // state that an earlier process of this voter stored; nil: none
	// Members returns the members that this process believes to be present, including itself, sorted by name.
	Members func() []member.Record
	// Member returns this process's record of another process, and whether that process is known.
	Member func(name string) (member.Record, bool)
	// Refound lets the configured voters found a new group without the operator, once a survey has proved that no earlier group
	// can decide again.
	Refound bool
	Mutate  Mutation // injected fault; set by tests only
}

// Mutation is a fault that a test injects.
type Mutation uint8

// The mutations.
const (
	NoMutation       Mutation = iota
	WithoutMajority           // a voter without a leader decides alone
	AgeFromReceipt            // the age in a stamp counts from when the stamp was received, not from when it was requested
	RefoundUnchecked          // a new group is founded even if a majority of the old one may still exist
)

// Constants of the agreement. Durations are in units of Config.Pace unless stated otherwise.
const (
	tickInterval     = 1         // interval of the Raft engine's ticks
	heartbeatTicks   = 4         // ticks between two heartbeats from the leader
	electionTicks    = 8         // ticks without a leader until a voter campaigns; up to twice as many with jitter
	readInterval     = 2         // interval at which the leader confirms its leadership with a majority
	queryInterval    = 2         // interval of the queries of a voter without a group, and of a member whose lease is about to expire
	proposalDelay    = 1         // how long the leader's opinion has to differ from the view before the leader proposes a new view
	proposalTimeout  = 8         // time after which a proposal that was not decided is repeated
	absenceTimeout   = 60        // time after which an absent voter is replaced
	leaderlessAlert  = 40        // time without a leader after which the operator is alerted
	foundingInterval = 8         // interval between two attempts to found a group
	maxLogEntries    = 64        // number of log entries applied since the last snapshot after which a new one is taken
	maxRaftMessage   = 128 << 10 // maximum size of an append message, in bytes
	maxInflight      = 64        // maximum number of unanswered appends to a voter
	maxUncommitted   = 1 << 20   // maximum size of pending proposals, in bytes
)
