// Package logic decides, for one sidecar, where each request is sent, when it is retried or queued, and when
// it is rejected. It is a deterministic state machine: Step takes the time and an event and appends actions.
// It does no I/O, reads no clock, starts no goroutine and has no global state, so that the sidecar, the
// simulator's host and the tests run the same decisions. It is not a proxy: its host (package relay in the
// sidecar) manages connections and time-outs and interprets answers.
//
// This file is the interface: settings, events and actions. The steps of a decision are
//
//   - admission (admission.go): load shedding by the aged fraction of requests answered well in time;
//   - candidates (candidates.go): the subset of servers in use, less those at their limit, ejected or late;
//   - the pick (pick.go): a server of the candidates, chosen by speed as package selection defines;
//   - outcomes (outcome.go): updates of estimates, limits, attribution of faults and ejections;
//   - retries (retry.go): whether another attempt is safe and can be answered in time.
//
// The design is described in docs/architecture.md.
package logic

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/allowance"
)

// Effect says whether a request may run more than once.
type Effect uint8

// The three effects of a class.
const (
	Safe   Effect = iota // idempotent
	Keyed                // a group of servers deduplicates requests by key for Class.Window
	Unsafe               // must never run twice
)

// Group is the set of servers that deduplicate a keyed request together.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // servers in the zone of the first attempt's server
	GroupCell              // servers in the cell of the first attempt's server
)

// Class is one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	Group         Group         // servers that deduplicate a Keyed class
	Window        time.Duration // how long servers deduplicate, from the first attempt that may have run
	LatencyTarget time.Duration // an answer within this time has its full value; 0: within Deadline
	TargetPerWork float64       // multiple of a request's own work that is added to its latency target
	Deadline      time.Duration
	LateValue     float64 // value of an answer after the latency target; 0: none
	Value         float64 // value of a request, or of a unit of its work if Config.ValuePerWork; 0: not set
	Stream        bool    // answers are streamed
}

// Prices are costs as fractions of a request's value.
type Prices struct {
	CrossZone  float64 // cost of a request sent to another zone
	Connection float64 // cost of a mean of 100 open connections per server
	Handshake  float64 // cost of one new connection per request
}

// Contract holds the guarantees and requirements of the servers and of the server list's service.
type Contract struct {
	AnswerGrace  time.Duration // how long after a request's expiry its final answer is still in time
	ListInterval time.Duration // how often the server list must be requested
	// SlowStartMinCapacity is the least capacity of a server at its start, as a fraction (0 to 1) of its full
	// capacity.
	SlowStartMinCapacity float64
	SlowStartWindow      time.Duration // time from a server's start until it has its full capacity
	BusyMayHaveRun       bool          // a busy answer does not prove that the attempt never ran
	// GoneIsAdvisory: requests may still be sent to a server that is listed as gone or left out of the list,
	// unless it was listed as draining.
	GoneIsAdvisory bool
}

// Limits says what a sidecar may do.
type Limits struct {
	MaxAttempts      int           // maximum number of attempts of a request
	Cancel           bool          // attempts may be canceled
	ParallelAttempts bool          // two attempts of a request may be in flight at once
	RetryAfter       bool          // a rejection may carry a retry delay
	MaxRetryAfter    time.Duration // longest retry delay of a rejection
}

// Config is the configuration of a Balancer.
type Config struct {
	Zone         string // zone of this sidecar
	Balancers    int    // number of sidecars that use the same servers
	Subscribe    bool   // the server list must be subscribed to
	Classes      []Class
	ValuePerWork bool          // Class.Value is per unit of work: heavy requests have more value
	KeyAffinity  bool          // a server that recently served a key needs less work for it
	Tick         time.Duration // resolution of the caller's timers
	Prices       Prices
	Contract     Contract
	Limits       Limits
	Tenants      []Tenant // empty: requests are not accounted by tenant
	// OverShareValue is the value of a request beyond its tenant's quota share, as a fraction (0 to 1) of its
	// class's value.
	OverShareValue float64
}

// Tenant is a caller with a quota share of the fleet's capacity. Its requests beyond the share have a reduced
// value, Config.OverShareValue.
type Tenant = allowance.Tenant

// SettingsError reports settings that a balancer cannot use.
type SettingsError struct {
	Class  string // class with the unusable settings; "": the error is not in a class
	Reason string
}

// Error names the class, if any, and the reason.
func (e *SettingsError) Error() string {
	if e.Class != "" {
		return fmt.Sprintf("logic: class %q %s", e.Class, e.Reason)
	}
	return "logic: settings " + e.Reason
}

// State is the state of a server in the server list.
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
	Since time.Duration // time of its most recent start; 0: long ago
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Refused and Skipped prove that the attempt never ran. Busy proves it unless
// Contract.BusyMayHaveRun is set.
const (
	Done     Outcome = iota // answered
	Errored                 // answered with an error
	Busy                    // rejected by a server at capacity
	TimedOut                // no answer in time
	Refused                 // no connection could be made
	Reset                   // the connection broke
	Canceled                // canceled by ActCancel
	Skipped                 // never sent to the server
)

// EventKind is the kind of an Event.
type EventKind uint8

// The events, with the fields of Event that they use beside Kind.
const (
	// EvServerList: the server list, or a change to it, was received: Servers, Complete, Stored.
	EvServerList EventKind = iota
	// EvListLost: a request for the list failed, or the subscription ended: Expires.
	EvListLost
	// EvRequest: a request arrived: Request, Class, Tenant, Retry, Key, HasKey, ExpectedWork, Expires.
	EvRequest
	// EvStarted: the streamed answer of an attempt began: Request, Attempt, Latency.
	EvStarted
	// EvOutcome: an attempt ended: Request, Attempt, Outcome, Latency, Final.
	EvOutcome
	// EvClientGone: the client of Request no longer waits for it.
	EvClientGone
	// EvWake: a wake-up is due: Timer.
	EvWake
)

// Event is one event. The caller numbers requests. The attempts of a request are numbered from 0 in the order
// of their ActSend.
type Event struct {
	Kind         EventKind
	Servers      []Server
	Complete     bool // Servers is the whole list
	Stored       bool // Servers was stored before this sidecar's start, and may be outdated
	Request      uint64
	Class        string
	Tenant       string // "": the request has no tenant
	Retry        bool   // the client retries a request that was not served
	Key          uint64
	HasKey       bool
	ExpectedWork time.Duration // work that the request is expected to cause; 0: not known
	// Expires is when the client stops waiting. With EvListLost it is when a missed change of the list counts
	// as received by this sidecar; 0: not known, so that only Contract.ListInterval applies.
	Expires time.Duration
	Attempt int
	Latency time.Duration // time since the attempt was sent
	Outcome Outcome
	Final   bool  // the request has its final answer
	Timer   Timer // timer of the wake-up, as given in ActWake
}

// TimerKind is the purpose of a wake-up.
type TimerKind uint8

// The kinds of wake-up.
const (
	TimerTarget TimerKind = iota // the request's latency target is about to pass
	TimerQueued                  // a queued request is about to be too late
	TimerExpire                  // the client is about to stop waiting
	TimerList                    // the server list is to be requested
	TimerIdle                    // the connections to a server may have been idle for too long
)

// Timer identifies a wake-up. EvWake returns it as ActWake gave it.
type Timer struct {
	Kind TimerKind
	ID   uint64 // id of the request or the server; 0 with TimerList
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions, with the fields of Action that they use beside Kind.
const (
	// ActSend starts an attempt of Request at Server with time-out After. The attempt must not be written to
	// a connection at At or later; 0: no such bound.
	ActSend ActionKind = iota
	// ActCancel stops waiting for Attempt of Request.
	ActCancel
	// ActReject gives Request its final answer, a rejection: the client may safely retry it after After.
	ActReject
	// ActFail gives Request its final answer, a failure: it is unknown whether the request has run.
	ActFail
	// ActWake requests EvWake with Timer at the time At.
	ActWake
	// ActWatch subscribes to the server list.
	ActWatch
	// ActCloseIdle closes the idle connections to Server.
	ActCloseIdle
	// ActLog writes Text to the log.
	ActLog
)

// Action is one action. ActionKind says which fields a kind uses.
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
