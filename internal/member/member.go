// Package member holds what one sidecar believes of the others: who is there
// and who has failed. It is a state machine: Step(now, event) -> actions,
// without I/O, clock or goroutine, and the same seed and events give the same
// actions. The method is SWIM (probe, indirect probe, suspicion, incarnations)
// with the doubt of oneself of Lifeguard; docs/design-fleet.md says what was
// changed and why.
package member

import (
	"time"
)

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
