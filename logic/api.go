// Package logic decides, for one sidecar, where each request goes, when it is
// tried again, and when it is refused. It is a deterministic state machine:
// it takes the time and an event and appends actions. It does no I/O, reads no
// clock, starts no goroutine and keeps no global state.
//
// This file is the interface: settings, events, actions and the entries. The
// decisions are in the other files; what picks a server, in logic/selection.
package logic

import (
	"time"

	"fieldrelay/internal/door"
)

// Effect says what a repeated attempt of a request may do.
type Effect uint8

// The three effects of a class.
const (
	Safe   Effect = iota // repeats do no harm
	Keyed                // a group of servers drops repeats for a while
	Unsafe               // must never run twice
)

// Group names the servers that drop repeats of a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is one class of requests. Zero LateValue means an answer after Aim is
// worth nothing.
type Class struct {
	Name          string
	Effect        Effect
	Group         Group
	Window        time.Duration // how long repeats are dropped, from the first attempt that may have run
	LatencyTarget time.Duration // an answer within this has its full worth; 0: none stated
	TargetPerWork float64       // the aim grows by this multiple of the request's own work
	Deadline      time.Duration
	LateValue     float64
	Value         float64 // of a request or of a unit of its work, as Config.ValuePerWork says; 0: not told
	Stream        bool
}

// Prices are costs as a part of a request's worth.
type Prices struct {
	CrossZone  float64
	Connection float64 // for a mean of 100 open connections a server
	Handshake  float64 // for one new connection a request
}

// Contract states the figures of the rules.
type Contract struct {
	AnswerGrace          time.Duration
	ListInterval         time.Duration
	SlowStartMinCapacity float64 // a server starts at this fraction of its capacity or above
	SlowStartWindow      time.Duration
	// BusyMayHaveRun: a busy answer does not prove that the attempt never ran.
	BusyMayHaveRun bool
	// GoneIsAdvisory: a server that the list calls gone, or leaves out, may still be sent to, unless it was listed as draining.
	GoneIsAdvisory bool
}

// Limits says what the site permits.
type Limits struct {
	MaxAttempts      int // attempts for a request
	Cancel           bool
	ParallelAttempts bool // two attempts of a request may be out at once
	RetryAfter       bool
	MaxRetryAfter    time.Duration
}

// Config is what a balancer is told once, at its start.
type Config struct {
	Zone      string
	Balancers int
	Subscribe bool // the server list must be asked for
	Classes   []Class
	// ValuePerWork: a class's worth is that of a unit of work, so that heavy requests are worth more.
	ValuePerWork bool
	KeyAffinity  bool // a server that met a key lately serves it with less work
	Tick         time.Duration
	Prices       Prices
	Contract     Contract
	Limits       Limits
	// Tenants are the callers that the settings name; none: the site has no tenants.
	Tenants []Tenant
	// OverShareValue is what a request beyond its tenant's share is worth, as a part of its class's worth (0 to 1).
	OverShareValue float64
}

// Tenant is a caller with a share of what the fleet can do; what it sends beyond that is worth little.
type Tenant = door.Tenant

// State is what the list says of a server.
type State uint8

// The states of a listed server.
const (
	Ready State = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID    uint64
	Zone  string
	Cell  int
	State State
	Since time.Duration // its most recent start; 0: long ago
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes. Refused and Skipped prove that the attempt never ran; Busy does too, unless Contract.BusyMayHaveRun.
const (
	Done Outcome = iota
	Errored
	Busy
	TimedOut
	Refused
	Reset
	Canceled
	Skipped
)

// EventKind tells what happened.
type EventKind uint8

// The events.
const (
	EvMembers    EventKind = iota // Servers, Complete: the list or a change to it
	EvListLost                    // an ask for the list failed, or the subscription broke
	EvRequest                     // a request came in
	EvStarted                     // the streamed answer of an attempt began
	EvOutcome                     // an attempt ended
	EvClientGone                  // the client has gone
	EvWake                        // a wake-up is due
)

// Event is one event; Kind says which fields have meaning.
type Event struct {
	Kind         EventKind
	Servers      []Server
	Complete     bool   // Servers is the whole list
	Stored       bool   // it is the list kept from before this start
	Request      uint64 // request id
	Class        string
	Tenant       string // "": none
	Retry        bool   // the client asks again for what was not served
	Key          uint64
	HasKey       bool
	ExpectedWork time.Duration // expected work; 0: not told
	Expires      time.Duration // when the client stops waiting; EvListLost: when what was missed counts as told, 0: as ListInterval says
	Attempt      int
	Latency      time.Duration
	Outcome      Outcome
	Final        bool  // the request is concluded
	Timer        Timer // of the wake-up, as it was asked for
}

// TimerKind tells what a wake-up is for.
type TimerKind uint8

// The kinds of wake-up.
const (
	TimerTarget TimerKind = iota // the request's aim is about to pass
	TimerQueued                  // a held request is about to be hopeless
	TimerExpire                  // the client is about to stop waiting
	TimerList                    // ask for the server list
	TimerIdle                    // the connections to a server have been idle for long
)

// Timer comes back in EvWake as it was given in ActWake.
type Timer struct {
	Kind TimerKind
	ID   uint64 // of the request or the server that it is about
}

// ActionKind tells what to do.
type ActionKind uint8

// The actions.
const (
	ActSend      ActionKind = iota // start an attempt of Request at Server with time-out After, and not from At on (0: at any time)
	ActCancel                      // stop waiting for Attempt of Request
	ActReject                      // final answer: a retry does no harm; retry no sooner than After
	ActFail                        // final answer: failed, effect unknown
	ActWake                        // ask for EvWake at At
	ActWatch                       // subscribe to the server list
	ActCloseIdle                   // close the idle connections to Server
	ActLog                         // a line for the operators
)

// Action is one action; Kind says which fields have meaning.
type Action struct {
	Kind    ActionKind
	Request uint64
	Server  uint64
	Attempt int
	After   time.Duration
	At      time.Duration
	Timer   Timer
	Text    string
}
