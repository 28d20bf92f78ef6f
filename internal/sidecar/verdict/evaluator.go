package verdict

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Intervals and durations of the evaluation, in multiples of Config.Pace.
const (
	evaluationInterval = 0.25 // interval between two evaluations of the evidence
	forwardInterval    = 0.25 // delay before a received opinion is forwarded
	forwardTimes       = 3    // number of rounds in which an opinion is sent, each to other members, so that it reaches almost all of them
	resendInterval     = 12   // interval after which an unchanged opinion is sent again
	opinionLifetime    = 48   // age after which an opinion no longer counts
	minTerm            = 16   // duration of a first verdict
	maxTerm            = 240  // maximum duration of repeated verdicts
	trialStage         = 8    // duration of each stage of a trial
	trialGrace         = 4    // time after a trial's start; opinions formed in it do not count: they rest on attempts before the trial
	memoryTerms        = 8    // multiple of the term for which an ended verdict is remembered; a later verdict counts as a first one
)

// Mutation is a fault that a test injects to check that the invariants detect it.
type Mutation uint8

// The mutations.
const (
	NoMutation    Mutation = iota
	SingleVote             // a single vote suffices to avoid a node
	OwnFaults              // failures that occur at all nodes count against each of them
	NoCap                  // any number of nodes may be under verdict
	NoExpiry               // a verdict does not end
	OneZone                // the vote of one zone decides for all zones
	AllAtOnce              // all members send to a node as soon as its term is over
	StaleOpinions          // an older opinion replaces a newer one
)

// Bounds describes the guarantees that hold for a pace and a cap in percent, one line each, for the operator.
func Bounds(pace time.Duration, pct int) []string {
	paces := func(n float64) time.Duration { return time.Duration(n * float64(pace)) }
	return []string{
		fmt.Sprintf("verdicts: at most %d%% of the listed execute nodes, and of each zone's, are avoided at once (one where that is less than one)", pct),
		fmt.Sprintf("verdicts: an opinion counts for %v after it was last sent, a verdict lasts %v to %v, a trial %v more, whatever fails",
			paces(opinionLifetime), paces(minTerm), paces(maxTerm), paces(2*trialStage)),
	}
}

// Peer is a member of the fleet.
type Peer struct{ Name, Zone string }

// Node is an execute node on the member's list that accepts requests.
type Node struct {
	Name, Zone string
	Since      time.Duration // start time of the node's process; evidence about an earlier process of the same name does not count
}

// Config configures an Evaluator.
type Config struct {
	Name, Zone string
	Boot       uint64
	Pace       time.Duration
	MaxPercent int // percent of the listed nodes, and of each zone's, that may be under verdict
	Mutate     Mutation
}

// Event is an input of an Evaluator.
type Event interface{ event() }

// The events.
type (
	// Evaluate triggers an evaluation of this member's evidence and opinions. The event is due at the time that Next returns.
	Evaluate struct {
		Evidence []Evidence
		Peers    []Peer // this member, the members that are present, and the other members of its view
		Nodes    []Node
	}
	// Received carries opinions that another member sent.
	Received struct{ Opinions []Opinion }
)

func (Evaluate) event() {}
func (Received) event() {}

// Action is an output of an Evaluator, for its caller to carry out in order.
type Action interface{ action() }

// The actions.
type (
	// Send sends opinions to a few other members.
	Send struct{ Opinions []Opinion }
	// Avoid lists all nodes to which this member sends no new requests from now on. It replaces the previous list.
	Avoid struct{ Nodes []string }
	// Forget discards the evidence about a node.
	Forget struct{ Node string }
	// LogEntry is a log record of a change to the verdict on a node. Observers are the members that voted against the node,
	// Term is how long the node is avoided; both are set only when the node is avoided.
	LogEntry struct {
		Node, Event string
		Observers   []string
		Term        time.Duration
	}
)

func (Send) action()     {}
func (Avoid) action()    {}
func (Forget) action()   {}
func (LogEntry) action() {}

// Evaluator is one member's participant in the fleet's verdicts: it rates the nodes by the member's own evidence, exchanges
// ratings with the other members, and counts votes. It is a state machine without I/O, clock or goroutine, and not safe for
// concurrent use.
type Evaluator struct {
	cfg           Config
	out           []Action
	evaluationDue time.Duration

	// Membership as of the last evaluation.
	peers  []Peer
	panels map[string][]string // observers whose opinions count, by zone
	zoneOf map[string]string   // zone of each observer of a panel
	nodes  map[string]Node
	zones  map[string]int // number of nodes by zone

	// Opinions.
	opinions    map[string]*receivedOpinion // latest opinion of each observer, this member included, by author
	ratedBad    map[string]bool             // nodes that this member's own evidence rates bad
	seq         uint64                      // sequence number of this member's last opinion
	publishedAt time.Duration               // when this member's opinion was last published
	toForward   map[string]int              // remaining rounds by author of the opinions still to be sent
	forwardDue  time.Duration

	verdicts map[string]*verdict // current and remembered verdicts, by node
	avoided  []string            // nodes that the last Avoid listed
}

// NewEvaluator returns an evaluator without nodes. now is the current time on the clock whose times are passed to Step.
func NewEvaluator(cfg Config, now time.Duration) *Evaluator {
	return &Evaluator{cfg: cfg, evaluationDue: now, forwardDue: math.MaxInt64,
		panels: make(map[string][]string), zoneOf: make(map[string]string), nodes: make(map[string]Node), zones: make(map[string]int),
		opinions: make(map[string]*receivedOpinion), ratedBad: make(map[string]bool), toForward: make(map[string]int),
		verdicts: make(map[string]*verdict)}
}

// paces converts a number of paces to a duration.
func (e *Evaluator) paces(n float64) time.Duration { return time.Duration(n * float64(e.cfg.Pace)) }

// Next returns when the next Evaluate event is due.
func (e *Evaluator) Next() time.Duration { return min(e.evaluationDue, e.forwardDue) }

// Step processes an event and returns the resulting actions. now must not be earlier than in the previous call.
func (e *Evaluator) Step(now time.Duration, event Event) []Action {
	e.out = nil
	switch event := event.(type) {
	case Received:
		for _, o := range event.Opinions {
			e.receive(now, o)
		}
	case Evaluate:
		if now >= e.evaluationDue {
			e.evaluationDue = now + e.paces(evaluationInterval)
			e.updateMembership(event)
			e.publish(now, event.Evidence)
			e.decide(now)
		}
		if now >= e.forwardDue {
			e.forward(now)
		}
	}
	return e.out
}

// Lines returns a line for the operator about each node that an observer rates bad, or that is under a current or remembered
// verdict.
func (e *Evaluator) Lines(now time.Duration) (lines []string) {
	names := e.nodesRatedBad()
	for n := range e.verdicts {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		bad, good := e.votes(n, math.MinInt64)
		here := "used"
		if slices.Contains(e.avoided, n) {
			here = "avoided"
		}
		votes := fmt.Sprintf("here=%s said_bad=%d said_good=%d", here, len(bad), len(good))
		if s := e.verdicts[n]; s != nil {
			lines = append(lines, fmt.Sprintf("%s %s age=%dms left=%dms round=%d %s observers=%s", n, s.stage, (now-s.avoidedAt).Milliseconds(),
				max(0, s.stageEnd-now).Milliseconds(), s.count, votes, strings.Join(s.observers, ",")))
		} else {
			lines = append(lines, n+" none "+votes)
		}
	}
	return lines
}
