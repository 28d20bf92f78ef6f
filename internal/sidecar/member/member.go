// Package member implements the failure detector of a fleet: one sidecar's opinion on which of the other sidecars are present
// and which have failed. It is a deterministic state machine, Step(now, event) -> actions, without I/O, clock or goroutines:
// the same seed and events give the same actions.
//
// The protocol is SWIM (Das, Gupta, Motivala, 2002: probe, indirect probe, suspicion, incarnations) with the health score
// of Lifeguard (Dadgar, Phillips, Currey, 2017). It gives each member its own opinion; package view turns opinions into an
// agreement. docs/design/fleet.md describes how the protocol differs from SWIM, and why.
package member

import "time"

// Event is an input of the machine.
type Event interface{ event() }

// The events. If no other event occurs, the machine must be stepped with Tick at the time that Next returns.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Received is a message from another process, with the sender's record of itself.
	Received struct {
		From    Record
		Message Message
	}
	// Leave reports that this process is about to shut down.
	Leave struct{}
	// Seeds replaces the seed addresses, see Config.Join.
	Seeds struct{ Join []string }
)

func (Tick) event()     {}
func (Received) event() {}
func (Leave) event()    {}
func (Seeds) event()    {}

// Action is an output of the machine. The caller executes the actions of a step in order.
type Action interface{ action() }

// The actions.
type (
	// Send sends a message to a process. To.Name is empty if To.Addr is a seed address. Stream is set if the message may be
	// too long for a datagram.
	Send struct {
		To      Record
		Message Message
		Stream  bool
	}
	// Changed reports a changed record of another process. Was is the state that was reported last. New is set for a process
	// that was not known before, or that has restarted.
	Changed struct {
		Record Record
		Was    State
		New    bool
	}
	// Yield reports a name conflict: another live process has this process's name and takes precedence. The machine has ended.
	Yield struct{ To Record }
)

func (Send) action()    {}
func (Changed) action() {}
func (Yield) action()   {}

// Config configures a machine.
type Config struct {
	Name        string
	Addr        string        // host:port at which other processes reach this one
	Boot        uint64        // number of this start of the process, see NewBoot
	Incarnation uint64        // initial incarnation; 0 stands for 1
	Zone        string        // failure domain of this process; empty: not known
	Reads       string        // formats of rules that this process reads; empty: none
	Join        []string      // seed addresses, through which this process joins the fleet
	Pace        time.Duration // SWIM's protocol period: the interval between two probes
	Seed        uint64        // seed of the random numbers, together with Boot
	// Mutate injects a fault, to verify that tests detect it. It is set by tests only.
	Mutate Mutation
}

// Mutation is a fault that a test injects.
type Mutation uint8

// The mutations.
const (
	NoMutation       Mutation = iota
	NoRefutation              // this process does not refute a suspicion of itself
	AcceptStaleAlive          // a record of an old incarnation revives a failed process
)

// Constants of the failure detector. Durations are in units of Config.Pace unless stated otherwise.
const (
	ackTimeoutFraction   = 0.4            // timeout of a direct probe, after which indirect probes are requested
	indirectProbers      = 3              // number of members asked for an indirect probe, and of further suspecting members that shorten a suspicion
	suspicionMult        = 3              // duration of the shortest suspicion among n members: this * max(1, log10 n)
	suspicionMaxMult     = 4              // duration of the longest suspicion: this * the shortest duration
	suspectProbers       = 6              // expected number of members that themselves probe a suspect that they learn of
	maxHealthScore       = 8              // health score at which this process trusts its own observations the least
	gossipFraction       = 0.25           // interval between two rounds of gossip
	gossipNodes          = 3              // number of receivers of a round of gossip
	retransmitMult       = 3              // number of transmissions of an update among n members: this * ceil(log2(n+1))
	maxUpdates           = 6              // maximum number of updates per datagram, so that a datagram stays within 1,400 bytes
	maxQueued            = 4 * MaxMembers // maximum number of queued updates
	failedPingInterval   = 8              // interval of the pings of failed processes, which may have returned
	seedSyncInterval     = 64             // interval of state exchanges with a seed address while other processes are present
	joinBackoffMin       = 1              // initial interval of state exchanges with a seed address while no other process is present
	joinBackoffMax       = 16             // upper limit of the interval of state exchanges while no other process is present, which doubles each time
	convergenceThreshold = 3              // number of consecutive equal digests after which the tables count as converged
	syncAfter            = 4              // how long digests may differ before the tables are exchanged
	maxFullSyncs         = 4              // maximum number of full tables sent per pace; further requesters are referred to other members
	referrals            = 6              // number of members that a requester is referred to once maxFullSyncs is exceeded
	reapAfter            = 2400           // time after which a process that failed or left is removed from the table
	stallThreshold       = 0.5            // delay of a step beyond which this process counts as having been stalled
	undampedReturns      = 5              // number of returns within returnWindow that are reported at once
	returnWindow         = time.Minute    // window in which the returns of a process are counted; not scaled by the pace
	dampingMin           = 2              // how long the first damped return of a process is not reported
	dampingMax           = 64             // upper limit of the damping, which doubles with each further return
)

// NewBoot returns the number of a start of a process, made from the time in milliseconds since 1970 and a random number. The time
// only decides which of two live processes of the same name was started first. If a clock was set back, the other process
// yields; there is no further effect.
func NewBoot(unixMilli int64, random uint64) uint64 { return uint64(unixMilli)<<20 | random&(1<<20-1) }
