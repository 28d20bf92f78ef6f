// Package view is the agreement of a fleet's sidecars: numbered views of the membership, decided by a majority of a few voters
// (Raft, go.etcd.io/raft), and each member's lease on its view. No member holds the lease on a view for longer than Bound
// after the next one was decided. It is a state machine, Step(now, event) -> actions, without I/O, clock or goroutine, and
// the same seed and events give the same actions.
//
// Who is present is the opinion of package member; this package makes an agreement of the leader's. docs/design/fleet.md
// describes the design, docs/design/comeback.md when a lost group of voters may be replaced.
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

// ID numbers a view. Era is chosen when a group of voters is founded, as a rule higher than the eras before; Number counts
// the views of the era. There is one view of an ID.
type ID struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare orders the numbers of views of one history.
func (i ID) Compare(j ID) int {
	return cmp.Or(cmp.Compare(i.Era, j.Era), cmp.Compare(i.Number, j.Number))
}

// String is the number as logs and operators see it: the era in hexadecimal, a dot, the number.
func (i ID) String() string { return fmt.Sprintf("%x.%d", i.Era, i.Number) }

// Member is a member of a view.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"`
	Boot        uint64 `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // the incarnation when the view was proposed
	FractionPPM uint32 `cbor:"5,keyasint"` // of what is divided among the members, in millionths; the shares sum to at most a million
}

// View is a view of the membership that was agreed on.
type View struct {
	ID      ID       `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`          // by name
	Rules   Rules    `cbor:"3,keyasint,omitzero"` // in force with the view
}

// Rules names the edition of rules that is in force with a view.
type Rules struct {
	Number uint64 `cbor:"1,keyasint,omitempty"` // 0: none
	Digest string `cbor:"2,keyasint,omitempty"` // of the content, hexadecimal
}

// maxDigestBytes is the length limit of a digest.
const maxDigestBytes = 64

// totalPPM is what the shares of a view sum to at most.
const totalPPM = 1_000_000

// Find returns the member of a name, and whether there is one.
func (v *View) Find(name string) (Member, bool) {
	at, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return v.Members[at], true
}

// Sum is a hash of the content.
func (v *View) Sum() uint64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // never: it has numbers and text
	}
	return xxhash.Sum64(b)
}

// Event is an input of the machine.
type Event interface{ event() }

// The events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Received is a message of another member.
	Received struct {
		From    member.Record
		Message Message
	}
	// Stamped is a stamp that came with the answer to a request that was sent at RequestedAt.
	Stamped struct {
		From        member.Record
		Stamp       Stamp
		RequestedAt time.Duration
	}
	// Recover is the operator's decision that the majority of the voters is lost for good: this process founds a group of
	// its own with what it knows.
	Recover struct{}
	// ProposeRules has this process, if it leads, propose an edition of rules with the next view. The caller repeats it until
	// a view has them.
	ProposeRules struct{ Rules Rules }
)

func (ProposeRules) event() {}
func (Tick) event()         {}
func (Received) event()     {}
func (Stamped) event()      {}
func (Recover) event()      {}

// Action is an output of the machine, for its caller to carry out in order.
type Action interface{ action() }

// The actions.
type (
	// Send sends a message to a member, by name.
	Send struct {
		To      string
		Message Message
	}
	// Save stores a change of the voter's state. It must be on disk, synced, before a later action is carried out.
	Save struct{ Change Change }
	// Decided reports a new view that the voters have decided, at a voter.
	Decided struct{ View View }
	// Adopted reports the view that is in force at this member from now on.
	Adopted struct{ View View }
	// Notice is a line for the operator. Alert is set if something has to be done about it.
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

// Config is what a machine is made with.
type Config struct {
	Name   string
	Boot   uint64
	Voters []string      // names of the voters that found the group: 1, 3 or 5
	Pace   time.Duration // unit of the protocol's timeouts and intervals, see member.Config
	Lease  time.Duration
	Drift  float64 // by how much clocks may run faster or slower than one another
	Seed   uint64
	Stored *StoredState // state that an earlier process of this voter stored; nil: none
	// Members returns those present by this process's opinion, including itself, by name.
	Members func() []member.Record
	// Member returns the opinion on another process, and whether it is known.
	Member func(name string) (member.Record, bool)
	// Refound has the named voters found a new group by themselves once a survey proves that no earlier one can decide again.
	Refound bool
	Mutate  Mutation // set by tests only
}

// Mutation is a fault that a test injects.
type Mutation uint8

// The mutations.
const (
	NoMutation       Mutation = iota
	WithoutMajority           // a voter without a leader decides alone
	AgeFromReceipt            // an age counts from when it was received, not from when it was requested
	RefoundUnchecked          // a new group is founded whatever may be left of the old one
)

// The constants of the agreement: times are in paces unless said otherwise.
const (
	tickInterval     = 1         // of the engine's ticks
	heartbeatTicks   = 4         // ticks between two heartbeats of the leader
	electionTicks    = 8         // ticks without a leader until a voter campaigns; with jitter up to twice as many
	readInterval     = 2         // after which the leader confirms again with a majority that it leads
	queryInterval    = 2         // of a voter without a group, and of a member whose lease is about to end
	proposalDelay    = 1         // for so long the leader's opinion has to differ before it proposes a view
	proposalTimeout  = 8         // after which a proposal that was not decided is made again
	absenceTimeout   = 60        // after which an absent voter is replaced
	leaderlessAlert  = 40        // after which the lack of a leader is reported to the operator
	foundingInterval = 8         // between two attempts to found a group
	maxLogEntries    = 64        // entries kept after the last snapshot
	maxRaftMessage   = 128 << 10 // bytes of an append
	maxInflight      = 64        // unanswered appends to a voter
	maxUncommitted   = 1 << 20   // bytes of pending proposals
)
