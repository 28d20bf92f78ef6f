package verdict

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rating is what one observer says of one node.
type Rating struct {
	Node string `cbor:"1,keyasint"`
	Bad  bool   `cbor:"2,keyasint,omitempty"`
}

// Opinion is what one observer says. A later one of it replaces it whole.
type Opinion struct {
	Author  string        `cbor:"1,keyasint"`
	Boot    uint64        `cbor:"2,keyasint"`
	Seq     uint64        `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since it was made, without the time on links
	Ratings []Rating      `cbor:"5,keyasint,omitempty"`
}

// Bounds of opinions.
const (
	MaxRatings   = 16  // nodes in an opinion
	MaxPanel     = 16  // observers of a zone whose opinions count
	MaxZones     = 16  // of observers; those of further ones have no voice
	MaxForwarded = 32  // opinions in a frame
	maxVerdicts  = 256 // nodes under verdict, or of which one is remembered
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

// stage is how far a verdict has come.
type stage uint8

const (
	stageAvoided stage = iota
	stageFew           // tried by few members,
	stageHalf          // by half of them
	stagePast          // all may send to it; remembered for what comes next
)

func (s stage) String() string { return [...]string{"avoid", "few", "half", "past"}[s] }

// standing is a verdict on a node.
type verdict struct {
	node        Node
	stage       stage
	condemnedAt time.Duration // of the verdict
	stageEnd    time.Duration // of the stage
	trialStart  time.Duration // when the trial began
	term        time.Duration
	round       uint64
	observers   []string
}

// heard is an opinion with when it was made, on this member's clock.
type receivedOpinion struct {
	Opinion
	madeAt time.Duration
}

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

// gather takes in who is there, and draws the panels.
func (j *Evaluator) updateMembership(e Evaluate) {
	clear(j.nodes)
	clear(j.zones)
	for _, n := range e.Nodes {
		j.nodes[n.Name] = n
		j.zones[n.Zone]++
	}
	if slices.Equal(e.Peers, j.peers) {
		return // as they were: the panels are too
	}
	j.peers = e.Peers
	clear(j.panels)
	clear(j.zoneOf)
	for _, p := range e.Peers {
		j.panels[p.Zone] = append(j.panels[p.Zone], p.Name)
	}
	for i, zone := range slices.Sorted(maps.Keys(j.panels)) {
		if i >= MaxZones {
			delete(j.panels, zone)
			continue
		}
		if names := j.panels[zone]; len(names) > MaxPanel {
			orderByHash(names, "panel")
			j.panels[zone] = names[:MaxPanel]
		}
		for _, name := range j.panels[zone] {
			j.zoneOf[name] = zone
		}
	}
}

// draw orders names by a hash with a word: the same everywhere, and evenly spread over words.
func orderByHash(names []string, word string) {
	rank := func(name string) uint64 { return xxhash.Sum64String(word + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
}

// hear takes an opinion in, if it is new and its speaker has a voice.
func (j *Evaluator) receive(now time.Duration, o Opinion) {
	_, voice := j.zoneOf[o.Author]
	was := j.opinions[o.Author]
	if !voice || o.Author == j.cfg.Name || len(o.Ratings) > MaxRatings || o.Age < 0 || o.Age > j.paces(opinionLifetime) {
		return
	}
	if was != nil && (o.Boot < was.Boot || o.Boot == was.Boot && o.Seq <= was.Seq) && j.cfg.Mutate != StaleOpinions {
		return
	}
	for _, g := range o.Ratings {
		if g.Node == "" || len(g.Node) > MaxNodeBytes {
			return
		}
	}
	j.opinions[o.Author] = &receivedOpinion{o, now - o.Age}
	j.enqueue(o.Author, now+j.paces(forwardInterval))
}

// queue has an opinion told at a time.
func (j *Evaluator) enqueue(by string, at time.Duration) {
	j.toForward[by] = forwardTimes
	j.forwardDue = min(j.forwardDue, at)
}

// pass tells what is new, at the most MaxForwarded opinions at a time.
func (j *Evaluator) forward(now time.Duration) {
	var told []Opinion
	for _, by := range slices.SortedFunc(maps.Keys(j.toForward), func(a, b string) int { return cmp.Or(j.toForward[b]-j.toForward[a], cmp.Compare(a, b)) }) {
		o := j.opinions[by]
		if j.toForward[by]--; j.toForward[by] == 0 || o == nil {
			delete(j.toForward, by)
		}
		if o != nil {
			one := o.Opinion
			one.Age = now - o.madeAt
			told = append(told, one)
		}
		if len(told) == MaxForwarded {
			break
		}
	}
	j.forwardDue = math.MaxInt64
	if len(j.toForward) > 0 {
		j.forwardDue = now + j.paces(forwardInterval)
	}
	if len(told) > 0 {
		j.out = append(j.out, Send{told})
	}
}

// speak forms this member's own opinion and says it if it is new, or if it was long ago.
func (j *Evaluator) publish(now time.Duration, evidence []Evidence) {
	for by, o := range j.opinions {
		if _, voice := j.zoneOf[by]; by != j.cfg.Name && (!voice || now-o.madeAt > j.paces(opinionLifetime)) {
			delete(j.opinions, by)
		}
	}
	if _, voice := j.zoneOf[j.cfg.Name]; !voice {
		delete(j.opinions, j.cfg.Name)
		return
	}
	bad, good := rate(evidence, j.ratedBad, j.cfg.Mutate)
	clear(j.ratedBad)
	for _, n := range bad {
		j.ratedBad[n] = true
	}
	spoken := j.accused()
	var judged []Rating
	for _, n := range bad {
		if _, listed := j.nodes[n]; listed && len(judged) < MaxRatings {
			judged = append(judged, Rating{n, true})
		}
	}
	for _, n := range good {
		if spoken[n] && len(judged) < MaxRatings {
			judged = append(judged, Rating{n, false})
		}
	}
	mine := j.opinions[j.cfg.Name]
	if mine == nil && len(judged) == 0 {
		return
	}
	if mine != nil && slices.Equal(mine.Ratings, judged) {
		mine.madeAt = now // it is what this member thinks at present
		if len(judged) == 0 || now-j.publishedAt < j.paces(repeatInterval) {
			return
		}
	}
	j.seq++
	j.publishedAt = now
	j.opinions[j.cfg.Name] = &receivedOpinion{Opinion{Author: j.cfg.Name, Boot: j.cfg.Boot, Seq: j.seq, Ratings: judged}, now}
	j.enqueue(j.cfg.Name, now)
}

// spoken are the listed nodes that somebody calls bad.
func (j *Evaluator) accused() map[string]bool {
	all := map[string]bool{}
	for _, o := range j.opinions {
		for _, g := range o.Ratings {
			if _, listed := j.nodes[g.Node]; g.Bad && listed {
				all[g.Node] = true
			}
		}
	}
	return all
}

// voices are who say bad and good of a node, of what was said after a time.
func (j *Evaluator) votes(node string, after time.Duration) (bad, good []string) {
	for by, o := range j.opinions {
		for _, g := range o.Ratings {
			switch {
			case g.Node != node || o.madeAt < after:
			case g.Bad:
				bad = append(bad, by)
			default:
				good = append(good, by)
			}
		}
	}
	slices.Sort(bad)
	return bad, good
}

// guilty tells whether a node is condemned for this member's zone.
func (j *Evaluator) condemned(bad, good []string) bool {
	zones, here := 0, false
	heads := func(names []string) map[string]int {
		by := map[string]int{}
		for _, n := range names {
			by[j.zoneOf[n]]++
		}
		return by
	}
	against, inFavour := heads(bad), heads(good)
	for zone, n := range against {
		if most := len(j.panels[zone]); n >= minVotes && 2*n > most || j.cfg.Mutate == SingleVote {
			zones++
			here = here || zone == j.cfg.Zone
		}
	}
	if here || j.cfg.Mutate == OneZone && zones > 0 {
		return true
	}
	return zones >= 2 && 2*inFavour[j.cfg.Zone] <= len(j.panels[j.cfg.Zone])
}

// minVotes is how many must say bad, however few there are.
const minVotes = 2

// decide moves the verdicts on.
func (j *Evaluator) decide(now time.Duration) {
	names := j.accused()
	for n := range j.verdicts {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		j.advance(now, n)
	}
	if j.cfg.Mutate != NoCap {
		j.enforceCap()
	}
	var avoid []string
	for n, s := range j.verdicts {
		if s.stage == stageAvoided || s.stage < stagePast && !slices.Contains(j.trialMembers(n, s), j.cfg.Name) {
			avoid = append(avoid, n)
		}
	}
	slices.Sort(avoid)
	if !slices.Equal(avoid, j.avoided) {
		j.avoided = avoid
		j.out = append(j.out, Avoid{slices.Clone(avoid)})
	}
}

func (j *Evaluator) advance(now time.Duration, name string) {
	s := j.verdicts[name]
	node, listed := j.nodes[name]
	if !listed || s != nil && s.node.Since != node.Since {
		delete(j.verdicts, name)
		return
	}
	after := time.Duration(math.MinInt64)
	if s != nil && s.stage > stageAvoided {
		after = s.trialStart + j.paces(trialGrace)
	}
	bad, good := j.votes(name, after)
	switch {
	case s == nil:
		if j.condemned(bad, good) && j.hasCapacity(node) && len(j.verdicts) < maxVerdicts {
			s = &verdict{node: node, term: j.paces(minTerm)}
			j.verdicts[name] = s
			j.condemn(now, name, s, bad)
		}
	case s.stage == stageAvoided:
		if now >= s.stageEnd && j.cfg.Mutate != NoExpiry {
			s.stage, s.trialStart, s.stageEnd = stageFew, now, now+j.paces(trialStage)
			if j.cfg.Mutate == AllAtOnce {
				s.stage, s.stageEnd = stagePast, now+memoryTerms*s.term
			}
			j.out = append(j.out, Forget{name}, LogEntry{Node: name, Event: "tried again"})
			delete(j.ratedBad, name)
		}
	case s.stage == stagePast:
		if now >= s.stageEnd {
			delete(j.verdicts, name)
		} else if j.condemned(bad, good) && j.hasCapacity(node) {
			s.term = min(2*s.term, j.paces(maxTerm))
			j.condemn(now, name, s, bad)
		}
	default:
		triers := j.trialMembers(name, s)
		against := 0
		for _, by := range bad {
			if slices.Contains(triers, by) {
				against++
			}
		}
		if against >= minVotes && 2*against > len(triers) || j.condemned(bad, good) {
			s.term = min(2*s.term, j.paces(maxTerm))
			j.condemn(now, name, s, bad)
		} else if now >= s.stageEnd {
			s.stage++
			s.stageEnd = now + j.paces(trialStage)
			if s.stage == stagePast {
				s.stageEnd = now + memoryTerms*s.term
				j.out = append(j.out, LogEntry{Node: name, Event: "back"})
			}
		}
	}
}

func (j *Evaluator) condemn(now time.Duration, name string, s *verdict, bad []string) {
	s.stage, s.condemnedAt, s.stageEnd, s.round, s.observers = stageAvoided, now, now+s.term, s.round+1, bad
	j.out = append(j.out, LogEntry{Node: name, Event: "avoided", Observers: bad, Term: s.term})
}

// triers are who send to a node at its stage of a trial: drawn anew with each verdict on it.
func (j *Evaluator) trialMembers(node string, s *verdict) []string {
	names := make([]string, 0, len(j.peers))
	for _, p := range j.peers {
		names = append(names, p.Name)
	}
	orderByHash(names, fmt.Sprint(node, s.round))
	n := max(3, (len(names)+7)/8)
	if s.stage == stageHalf {
		n = max(n, (len(names)+1)/2)
	}
	return names[:min(n, len(names))]
}

// room tells whether one more node may be under verdict.
func (j *Evaluator) hasCapacity(node Node) bool {
	if j.cfg.Mutate == NoCap {
		return true
	}
	all, zone := 0, 0
	for _, s := range j.verdicts {
		if s.stage < stagePast {
			all++
			if s.node.Zone == node.Zone {
				zone++
			}
		}
	}
	return all < j.maxAvoided(len(j.nodes), minNodes) && zone < j.maxAvoided(j.zones[node.Zone], minNodesInZone)
}

// Where fewer are listed none is condemned.
const minNodes, minNodesInZone = 3, 2

// most is how many of some nodes may be under verdict.
func (j *Evaluator) maxAvoided(nodes, least int) int {
	if nodes < least {
		return 0
	}
	return max(1, nodes*j.cfg.MostPct/100)
}

// shrink lets the latest go where the list has become too short for so many.
func (j *Evaluator) enforceCap() {
	for {
		var latest *verdict
		name, all := "", 0
		for n, s := range j.verdicts {
			if s.stage >= stagePast {
				continue
			}
			all++
			if latest == nil || s.condemnedAt > latest.condemnedAt || s.condemnedAt == latest.condemnedAt && n > name {
				latest, name = s, n
			}
		}
		if all <= j.maxAvoided(len(j.nodes), minNodes) {
			return
		}
		delete(j.verdicts, name)
		j.out = append(j.out, LogEntry{Node: name, Event: "back: few are listed"})
	}
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
