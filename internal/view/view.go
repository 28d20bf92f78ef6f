// Package view holds what the sidecars of a fleet agree on: numbered views of
// who belongs, decided by a majority of a few voters (go.etcd.io/raft), and how
// fresh the view is that a member holds. It is a state machine: Step(now,
// event) -> actions, without I/O, clock or goroutine, and the same seed and
// events give the same actions. docs/design-fleet.md says why it is so.
package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"fieldrelay/internal/member"
)

// ID numbers a view. Era is drawn when a group of voters is founded, as a rule higher than those before; Number counts
// from there. Under one ID there is one view.
type ID struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare orders views of one history.
func (i ID) Compare(j ID) int {
	return cmp.Or(cmp.Compare(i.Era, j.Era), cmp.Compare(i.Number, j.Number))
}

func (i ID) String() string { return fmt.Sprintf("%x.%d", i.Era, i.Number) }

// Member is one who belongs.
type Member struct {
	Name  string `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"`
	Boot  uint64 `cbor:"3,keyasint"`
	Inc   uint64 `cbor:"4,keyasint"` // as it was when the view was decided
	Share uint32 `cbor:"5,keyasint"` // of what is divided, in millionths; the shares of all sum to no more than a million
}

// View is what was agreed. Members come by name.
type View struct {
	ID      ID       `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
	Rules   Rules    `cbor:"3,keyasint,omitzero"` // that hold with it
}

// Rules names the edition of rules that holds with a view: who goes by the view goes by that edition.
type Rules struct {
	Number uint64 `cbor:"1,keyasint,omitempty"` // 0: none
	Digest string `cbor:"2,keyasint,omitempty"` // of the content, in hexadecimal digits
}

// maxDigestBytes bounds a digest, in bytes.
const maxDigestBytes = 64

// whole is what the shares of a view sum to at the most.
const wholeShare = 1_000_000

// Find gives the member of a name.
func (v *View) Find(name string) (Member, bool) {
	at, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return v.Members[at], true
}

// Sum is a number that differs where the contents do.
func (v *View) Sum() uint64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // it holds numbers and text
	}
	return xxhash.Sum64(b)
}

// Event is what happens to the machine.
type Event interface{ event() }

// The events.
type (
	// Tick is that time has passed.
	Tick struct{}
	// Received is a message of another member.
	Received struct {
		From    member.Record
		Message Message
	}
	// Stamped is a stamp that came with the answer to a question that was asked at Asked.
	Stamped struct {
		From        member.Record
		Stamp       Stamp
		RequestedAt time.Duration
	}
	// Recover is the operator's word that the majority of the voters is lost for good: this process founds a group of its
	// own with what it knows.
	Recover struct{}
	// ProposeRules is that this process, where it leads, is to propose an edition of rules with the next view. It says so again
	// until the view has them.
	ProposeRules struct{ Rules Rules }
)

func (ProposeRules) event() {}
func (Tick) event()         {}
func (Received) event()     {}
func (Stamped) event()      {}
func (Recover) event()      {}

// Action is what the machine wants done.
type Action interface{ action() }

// The actions.
type (
	// Send is a message for a member, by name.
	Send struct {
		To      string
		Message Message
	}
	// Save is state that has to be kept, and synced, before any action after it is done.
	Save struct{ Change Change }
	// Decided is that this voter learns of a new view from the engine.
	Decided struct{ View View }
	// Adopted is that this member now goes by a view.
	Adopted struct{ View View }
	// Notice is a line for the operator. Loud: something has to be done about it.
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
	Voters []string // the names of those who found the group, 1, 3 or 5
	Pace   time.Duration
	Lease  time.Duration
	Drift  float64 // by how much clocks may run faster or slower than one another
	Seed   uint64
	Stored *StoredState // what was kept of an earlier process of this voter; nil: nothing
	// Members are those present by this process's opinion, itself among them, by name.
	Members func() []member.Record
	// Member is the opinion on one other.
	Member func(name string) (member.Record, bool)
	// Refound has the named voters found a new group by themselves where a survey proves that no old one can decide again.
	Refound bool
	Mutate  Mutation // of tests alone
}

// Mutation is a fault put in on purpose.
type Mutation uint8

// The mutations.
const (
	NoMutation      Mutation = iota
	WithoutMajority          // a voter that hears no leader decides alone
	PushedAge                // an age counts from when it was heard, not from when it was asked for
	RefoundBlind             // a new group is founded whoever may be left of the old one
)

// Times in paces, unless said otherwise.
const (
	tickInterval     = 1  // of the engine
	readInterval     = 2  // the leader asks the majority whether it still leads
	heartbeatTicks   = 4  // ticks
	electionTicks    = 8  // ticks without the leader until the first may stand; up to twice as many
	queryInterval    = 2  // of a voter without a group, and of a member whose view is old
	proposalDelay    = 1  // an opinion has to differ for so long before a view is proposed
	proposalTimeout  = 8  // until a proposal that came to nothing is made again
	absenceTimeout   = 60 // until a voter that stays away is replaced
	leaderlessAlert  = 40 // until the lack of a leader is told loudly
	foundingInterval = 8  // between two tries to found
	maxLogEntries    = 64 // entries kept behind the last snapshot
	maxRaftMessage   = 128 << 10
	maxInflight      = 64
	maxUncommitted   = 1 << 20 // bytes
)
