// Package member is the failure detector of a fleet: what one sidecar believes of the others, which of them are present
// and which have failed. It is a state machine, Step(now, event) -> actions, without I/O, clock or goroutine, and the same
// seed and events give the same actions.
//
// The protocol is SWIM (Das, Gupta, Motivala, 2002: probe, indirect probe, suspicion, incarnations) with the health score
// of Lifeguard (Dadgar, Phillips, Currey, 2017). It gives each member an opinion, not an agreement: what the members agree
// on is decided in package view. docs/design/fleet.md says what was changed of the protocol, and why.
package member

import "time"

// Event is an input of the machine.
type Event interface{ event() }

// The events. A machine without events still has to be stepped with Tick when Next says so.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Received is a message, with the record that its sender gave of itself.
	Received struct {
		From    Record
		Message Message
	}
	// Leave reports that this process is about to shut down.
	Leave struct{}
	// Seeds replaces the addresses to join by.
	Seeds struct{ Join []string }
)

func (Tick) event()     {}
func (Received) event() {}
func (Leave) event()    {}
func (Seeds) event()    {}

// Action is an output of the machine, for its caller to carry out in order.
type Action interface{ action() }

// The actions.
type (
	// Send sends a message to a process. To.Name is empty for an address to join by. Stream is set if the message may be
	// too long for a datagram.
	Send struct {
		To      Record
		Message Message
		Stream  bool
	}
	// Changed reports a new belief about a process. Was is the state reported last; New is set for a process that was not
	// known before, or was started anew.
	Changed struct {
		Record Record
		Was    State
		New    bool
	}
	// Yield reports that another living process holds this one's name and takes precedence: this machine has ended.
	Yield struct{ To Record }
)

func (Send) action()    {}
func (Changed) action() {}
func (Yield) action()   {}

// Config is what a machine is made with.
type Config struct {
	Name        string
	Addr        string        // host:port at which the others reach this process
	Boot        uint64        // of this start, see NewBoot
	Incarnation uint64        // the first incarnation; 0 is 1
	Zone        string        // failure domain of this process; empty: not known
	Reads       string        // formats of rules that this process reads; empty: none
	Join        []string      // addresses to join by
	Pace        time.Duration // SWIM's protocol period: the interval between two probes
	Seed        uint64        // of the random draws, together with Boot
	// Mutate injects a fault, so that tests can show that they would notice it. Nothing else sets it.
	Mutate Mutation
}

// Mutation is a fault that a test injects.
type Mutation uint8

// The mutations.
const (
	NoMutation       Mutation = iota
	NoRefutation              // a suspect does not refute
	AcceptStaleAlive          // a record of an old incarnation revives a failed process
)

// The constants of the detector: times are in paces unless said otherwise.
const (
	ackTimeoutFraction   = 0.4  // of a pace: timeout of a direct probe, after which indirect ones are requested
	indirectProbers      = 3    // processes that are requested to probe; as many more accusers shorten a suspicion
	suspicionMult        = 3    // shortest suspicion: this * max(1, log10 n)
	suspicionMaxMult     = 4    // longest suspicion: this * the shortest
	suspectProbers       = 6    // expected number of members that probe a suspect themselves when they learn of it
	maxHealthScore       = 8    // at which this process trusts its own observations the least
	gossipFraction       = 0.25 // of a pace: interval between two rounds of gossip
	gossipNodes          = 3    // receivers of a round of gossip
	retransmitMult       = 3    // each update is transmitted this * ceil(log2(n+1)) times
	maxUpdates           = 6    // updates in a datagram, so that it stays within 1,400 bytes
	maxQueued            = 4 * MaxMembers
	failedPingInterval   = 8           // between two pings of a process that failed: it may be back
	seedSyncInterval     = 64          // between two exchanges with an address to join by while others are present
	joinBackoffMin       = 1           // between two such exchanges while nobody is present: at first,
	joinBackoffMax       = 16          // and doubled up to this
	convergenceThreshold = 3           // equal digests in a row after which the tables count as equal
	syncAfter            = 4           // for so long digests may differ before the tables are exchanged
	maxFullSyncs         = 4           // whole tables sent in a pace; further requesters are referred to other members
	referrals            = 6           // members that such a requester is referred to
	reapAfter            = 2400        // after which a process that failed or left is forgotten
	stallThreshold       = 0.5         // a step later than this: the process itself was stalled
	undampedReturns      = 5           // returns within returnWindow that are reported at once
	returnWindow         = time.Minute // in which the returns of a process are counted
	dampingMin           = 2           // for so long the next return is not reported,
	dampingMax           = 64          // doubled with each further one up to this
)

// NewBoot numbers a start of a process by its time, in milliseconds since 1970, and a random number. The time only decides
// which of two living processes of one name was started first; if a clock was set back the other one yields, nothing worse.
func NewBoot(unixMilli int64, random uint64) uint64 { return uint64(unixMilli)<<20 | random&(1<<20-1) }
