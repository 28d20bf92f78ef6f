// Package member holds what one sidecar believes of the others: who is there
// and who has failed. It is a state machine: Step(now, event) -> actions,
// without I/O, clock or goroutine, and the same seed and events give the same
// actions. The method is SWIM (probe, indirect probe, suspicion, incarnations)
// with the doubt of oneself of Lifeguard; docs/design-fleet.md says what was
// changed and why.
package member

import (
	"errors"
	"fmt"
	"time"
)

// State is what is believed of a process. At one incarnation the higher state counts.
type State uint8

// The states, in their order.
const (
	Alive   State = iota
	Suspect       // did not answer somebody; it can refute that
	Failed        // did not refute in time
	Left          // said that it goes
)

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// Bounds of what is taken from others.
const (
	MaxMembers    = 2048 // processes known at once, with those that failed or left
	MaxNameBytes  = 40   // bytes of a name
	MaxAddrBytes  = 64   // bytes of an address
	MaxZoneBytes  = 40   // bytes of a zone's name
	MaxReadsBytes = 128  // bytes of what it reads
	maxUpdates    = 6    // records in a datagram, so that it stays within 1,400 bytes
	maxQueued     = 4 * MaxMembers
)

// Record is what is known of a process.
type Record struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint,omitempty"` // host:port, of datagrams and of streams
	Boot        uint64 `cbor:"3,keyasint,omitempty"` // of this start: the later of two starts has the higher one
	Incarnation uint64 `cbor:"4,keyasint,omitempty"` // only the process itself raises it
	// State is what is believed of it at that incarnation.
	State State `cbor:"5,keyasint,omitempty"`
	// SuspectedBy is who suspects it.
	SuspectedBy string `cbor:"6,keyasint,omitempty"`
	// Supersedes is the boot of another process of this name above which this one went: only who has heard of that
	// process can say so.
	Supersedes uint64 `cbor:"7,keyasint,omitempty"`
	Zone       string `cbor:"8,keyasint,omitempty"` // where it stands, by its own word
	// Reads is which formats of rules it reads, by its own word; empty: none.
	Reads string `cbor:"9,keyasint,omitempty"`
}

// Present tells whether the process belongs to those that are there.
func (r Record) Present() bool { return r.State <= Suspect }

// newer tells whether r overrules q, which is of the same name.
func (r Record) supersedes(q Record) bool {
	switch {
	case r.Incarnation != q.Incarnation:
		return r.Incarnation > q.Incarnation
	case r.Boot != q.Boot:
		return r.Boot > q.Boot
	}
	return r.State > q.State
}

// Valid tells what keeps a record from being taken.
func (r Record) Valid() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes || len(r.SuspectedBy) > MaxNameBytes:
		return fmt.Errorf("member: a name of %d bytes, 1 to %d are taken", len(r.Name), MaxNameBytes)
	case len(r.Addr) > MaxAddrBytes || len(r.Zone) > MaxZoneBytes || len(r.Reads) > MaxReadsBytes:
		return errors.New("member: address, zone or formats too long")
	case r.State > Left:
		return errors.New("member: unknown state")
	}
	return nil
}

// Kind is what a message asks or tells.
type Kind uint8

// The kinds.
const (
	Ping      Kind = iota + 1 // answer me
	Ack                       // an answer to Ping, or passed on for a PingReq
	PingReq                   // ask Target for me
	Nack                      // I asked, it has not answered
	Gossip                    // nothing but records
	Sync                      // all that I know; tell me all that you know
	SyncReply                 // all that I know, as an answer
)

// Message passes between members. All kinds but Table and SyncReply fit a datagram.
type Message struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint,omitempty"` // of the asker
	To      string   `cbor:"3,keyasint,omitempty"` // Ping: who is meant; another process does not answer
	Target  Record   `cbor:"4,keyasint,omitzero"`  // PingReq: whom to ask
	Digest  uint64   `cbor:"5,keyasint,omitempty"` // of the records of those present
	Updates []Record `cbor:"6,keyasint,omitempty"`
	Partial bool     `cbor:"7,keyasint,omitempty"` // SyncReply: not all that I know, ask one of those named
}

// Event is what happens to the machine.
type Event interface{ event() }

// The events. A machine that is told nothing still has to be called at Next.
type (
	// Tick is that time has passed.
	Tick struct{}
	// Received is a message, with the record that its sender gave of itself.
	Received struct {
		From    Record
		Message Message
	}
	// Leave is that this process is about to end.
	Leave struct{}
	// Seeds replaces the addresses to join by.
	Seeds struct{ Join []string }
)

func (Tick) event()     {}
func (Received) event() {}
func (Leave) event()    {}
func (Seeds) event()    {}

// Action is what the machine wants done.
type Action interface{ action() }

// The actions.
type (
	// Send is a message for a process. To.Name is empty for an address to join by. Stream says that it is too long
	// for a datagram.
	Send struct {
		To      Record
		Message Message
		Stream  bool
	}
	// Changed is a new belief. Was is the last one; New is a process not known before, or started anew.
	Changed struct {
		Record Record
		Was    State
		New    bool
	}
	// Yield is that another living process holds this one's name: this machine has ended.
	Yield struct{ To Record }
)

func (Send) action()    {}
func (Changed) action() {}
func (Yield) action()   {}

// Config is what a machine is made with.
type Config struct {
	Name        string
	Addr        string // where the others reach it
	Boot        uint64 // of this start, see NewBoot
	Incarnation uint64 // the first incarnation; 0 is 1
	Zone        string // where it stands; empty: not told
	Reads       string // which formats of rules it reads; empty: none
	Join        []string
	Pace        time.Duration // between two probes
	Seed        uint64
	// Mutate makes the machine wrong on purpose, so that tests can show that they would notice. Nothing else sets it.
	Mutate Mutation
}

// Mutation is a fault put in on purpose.
type Mutation uint8

// The mutations.
const (
	NoMutation   Mutation = iota
	NoRefutation          // a suspect keeps silent
	Resurrection          // an old incarnation brings back who failed
)

// The constants of the detector, in paces unless said otherwise.
const (
	ackTimeoutFraction   = 0.4 // of a pace, for the answer to a probe
	indirectProbers      = 3   // who are asked to ask
	suspicionMult        = 3   // least suspicion: this * max(1, log10 n)
	suspicionMaxMult     = 4   // most suspicion: this * least
	suspectProbers       = 6   // who look for themselves when they hear of a suspicion
	maxHealthScore       = 8   // of the doubt of oneself
	gossipFraction       = 0.25
	gossipNodes          = 3  // whom news is sent to each quarter of a pace
	retransmitMult       = 3  // each news is sent spread * ceil(log2(n+1)) times
	failedPingInterval   = 8  // between two calls to one of those that failed
	seedSyncInterval     = 64 // between two calls to an address of the file, while others are there
	joinBackoffMin       = 1  // between two calls while nobody is there: first,
	joinBackoffMax       = 16 // and doubled up to this
	equalDigestsToSettle = 3  // digests in a row that are the same: the table is known
	syncAfter            = 4  // for so long tables may differ before they are exchanged
	maxFullSyncs         = 4  // whole tables told in a pace; who asks beyond is named some others
	referrals            = 6  // of those
	reapAfter            = 2400
	stallThreshold       = 0.5 // a call later than this: the process was held up
	undampedReturns      = 5   // returns in returnWindow that count at once
	returnWindow         = time.Minute
	dampingMin           = 2
	dampingMax           = 64
)

// NewBoot numbers a start: its time, then chance. The time only tells which of two living processes of one name was
// there first; a clock that is set back makes the other one give way, nothing worse.
func NewBoot(unixMilli int64, random uint64) uint64 { return uint64(unixMilli)<<20 | random&(1<<20-1) }

// DetectionTime is the longest time from a crash to the word "failed" at a member that gets no confirmation of its
// suspicion, among n members and with a score of doubt of 0: a round of probes, a pace, the longest suspicion.
func DetectionTime(n int, pace time.Duration) time.Duration {
	_, most := suspicionBounds(n, pace)
	return time.Duration(n)*pace + pace + most
}
