package verdict

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// What a judge goes by, in paces.
const (
	evaluationInterval = 0.25 // between two looks at the evidence
	forwardInterval    = 0.25 // what others think waits so long to be passed on
	forwardTimes       = 3    // each time to others, so that hardly anybody misses it
	repeatInterval     = 12   // an opinion is said again
	opinionLifetime    = 48   // and forgotten
	minTerm            = 16   // of a verdict
	maxTerm            = 240
	trialStage         = 8 // of a trial
	trialGrace         = 4 // what was said of a node so shortly after a trial began tells of before
	memoryTerms        = 8 // terms after which a verdict that is made again is a first one
)

// Mutation is a fault put in on purpose.
type Mutation uint8

// The mutations.
const (
	NoMutation    Mutation = iota
	SingleVote             // one observer condemns
	OwnFaults              // what fails everywhere is held against the nodes
	NoCap                  // any part of the nodes may be under verdict
	NoExpiry               // a verdict stays
	OneZone                // what one zone condemns holds everywhere
	AllAtOnce              // all try a node that is let back
	StaleOpinions          // an older opinion replaces a newer one
)

// Bounds are what is promised, a line each.
func Bounds(pace time.Duration, pct int) []string {
	paces := func(n float64) time.Duration { return time.Duration(n * float64(pace)) }
	return []string{
		fmt.Sprintf("verdicts: at most %d%% of the listed execute nodes, and of each zone's, are avoided at once (one where that is less than one)", pct),
		fmt.Sprintf("verdicts: what was seen counts for %v after it was said last, a verdict lasts %v to %v, a trial %v more, whatever fails",
			paces(opinionLifetime), paces(minTerm), paces(maxTerm), paces(2*trialStage)),
	}
}

// Peer is a member of the fleet.
type Peer struct{ Name, Zone string }

// Node is an execute node that takes jobs, by the list.
type Node struct {
	Name, Zone string
	Since      time.Duration // its start: what was known of the one before it is void
}

// Config is what a Judge is made with.
type Config struct {
	Name, Zone string
	Boot       uint64
	Pace       time.Duration
	MostPct    int // percent of the listed nodes, and of each zone's, that may be under verdict
	Mutate     Mutation
}

// Event is what happens to a Judge.
type Event interface{ event() }

// The events.
type (
	// Evaluate is that it looks at what this member knows. It is due at Next.
	Evaluate struct {
		Evidence []Evidence
		Peers    []Peer // this member and those that are there, or belong to the view
		Nodes    []Node
	}
	// Received is opinions from another member.
	Received struct{ Opinions []Opinion }
)

func (Evaluate) event() {}
func (Received) event() {}

// Action is what a Judge wants done.
type Action interface{ action() }

// The actions.
type (
	// Send is opinions for some others.
	Send struct{ Opinions []Opinion }
	// Avoid is the nodes that this member sends nothing new to from now on; all others it may.
	Avoid struct{ Nodes []string }
	// Forget is that what was counted of a node is to be forgotten.
	Forget struct{ Node string }
	// LogEntry is for the log.
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

// Evaluator is one member's part in the verdicts of the fleet. It is a state machine without I/O, clock or goroutine.
type Evaluator struct {
	cfg           Config
	opinions      map[string]*receivedOpinion
	toForward     map[string]int // observers whose opinion is to be told, and how often
	panels        map[string][]string
	zoneOf        map[string]string // of the observers of all panels
	peers         []Peer
	nodes         map[string]Node
	zones         map[string]int // nodes by zone
	verdicts      map[string]*verdict
	ratedBad      map[string]bool // bad in this member's eyes
	avoided       []string
	evaluationDue time.Duration
	forwardDue    time.Duration
	publishedAt   time.Duration
	seq           uint64
	out           []Action
}

// NewEvaluator makes a judge that knows of nothing.
func NewEvaluator(cfg Config, now time.Duration) *Evaluator {
	return &Evaluator{cfg: cfg, toForward: map[string]int{}, opinions: map[string]*receivedOpinion{}, panels: map[string][]string{}, zoneOf: map[string]string{}, nodes: map[string]Node{},
		zones: map[string]int{}, verdicts: map[string]*verdict{}, ratedBad: map[string]bool{}, evaluationDue: now, forwardDue: math.MaxInt64}
}

func (j *Evaluator) paces(n float64) time.Duration { return time.Duration(n * float64(j.cfg.Pace)) }

// Next is when Look is due.
func (j *Evaluator) Next() time.Duration { return min(j.evaluationDue, j.forwardDue) }

// Step takes an event in.
func (j *Evaluator) Step(now time.Duration, e Event) []Action {
	j.out = nil
	switch e := e.(type) {
	case Received:
		for _, o := range e.Opinions {
			j.receive(now, o)
		}
	case Evaluate:
		if now >= j.evaluationDue {
			j.evaluationDue = now + j.paces(evaluationInterval)
			j.updateMembership(e)
			j.publish(now, e.Evidence)
			j.decide(now)
		}
		if now >= j.forwardDue {
			j.forward(now)
		}
	}
	return j.out
}

// Lines has a line for each node that is spoken of or under verdict.
func (j *Evaluator) Lines(now time.Duration) (lines []string) {
	names := j.accused()
	for n := range j.verdicts {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		bad, good := j.votes(n, math.MinInt64)
		here := "used"
		if slices.Contains(j.avoided, n) {
			here = "avoided"
		}
		said := fmt.Sprintf("here=%s said_bad=%d said_good=%d", here, len(bad), len(good))
		if s := j.verdicts[n]; s != nil {
			lines = append(lines, fmt.Sprintf("%s %s age=%dms left=%dms round=%d %s observers=%s", n, s.stage, (now-s.condemnedAt).Milliseconds(),
				max(0, s.stageEnd-now).Milliseconds(), s.round, said, strings.Join(s.observers, ",")))
		} else {
			lines = append(lines, n+" none "+said)
		}
	}
	return lines
}
