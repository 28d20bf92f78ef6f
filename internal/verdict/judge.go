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

// Judgement is what one observer says of one node.
type Judgement struct {
	Node string `cbor:"1,keyasint"`
	Bad  bool   `cbor:"2,keyasint,omitempty"`
}

// Opinion is what one observer says. A later one of it replaces it whole.
type Opinion struct {
	By     string        `cbor:"1,keyasint"`
	Boot   uint64        `cbor:"2,keyasint"`
	Seq    uint64        `cbor:"3,keyasint"`
	Age    time.Duration `cbor:"4,keyasint,omitempty"` // since it was made, without the time on links
	Judged []Judgement   `cbor:"5,keyasint,omitempty"`
}

// Bounds of opinions.
const (
	MostJudged   = 16  // nodes in an opinion
	MostPanel    = 16  // observers of a zone whose opinions count
	MostZones    = 16  // of observers; those of further ones have no voice
	MostTold     = 32  // opinions in a frame
	mostStanding = 256 // nodes under verdict, or of which one is remembered
)

// What a judge goes by, in paces.
const (
	lookPaces  = 0.25 // between two looks at the evidence
	tellPaces  = 0.25 // what others think waits so long to be passed on
	tellTimes  = 3    // each time to others, so that hardly anybody misses it
	againPaces = 12   // an opinion is said again
	freshPaces = 48   // and forgotten
	termFirst  = 16   // of a verdict
	termMost   = 240
	stagePaces = 8 // of a trial
	gracePaces = 4 // what was said of a node so shortly after a trial began tells of before
	forgetting = 8 // terms after which a verdict that is made again is a first one
)

// Mutation is a fault put in on purpose.
type Mutation uint8

// The mutations.
const (
	NoMutation Mutation = iota
	OneVoice            // one observer condemns
	OwnFaults           // what fails everywhere is held against the nodes
	NoCap               // any part of the nodes may be under verdict
	NoExpiry            // a verdict stays
	OneZone             // what one zone condemns holds everywhere
	AllAtOnce           // all try a node that is let back
	OldNews             // an older opinion replaces a newer one
)

// Bounds are what is promised, a line each.
func Bounds(pace time.Duration, pct int) []string {
	paces := func(n float64) time.Duration { return time.Duration(n * float64(pace)) }
	return []string{
		fmt.Sprintf("verdicts: at most %d%% of the listed execute nodes, and of each zone's, are avoided at once (one where that is less than one)", pct),
		fmt.Sprintf("verdicts: what was seen counts for %v after it was said last, a verdict lasts %v to %v, a trial %v more, whatever fails",
			paces(freshPaces), paces(termFirst), paces(termMost), paces(2*stagePaces)),
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
	// Look is that it looks at what this member knows. It is due at Next.
	Look struct {
		Evidence []Evidence
		Peers    []Peer // this member and those that are there, or belong to the view
		Nodes    []Node
	}
	// Heard is opinions from another member.
	Heard struct{ Opinions []Opinion }
)

func (Look) event()  {}
func (Heard) event() {}

// Action is what a Judge wants done.
type Action interface{ action() }

// The actions.
type (
	// Tell is opinions for some others.
	Tell struct{ Opinions []Opinion }
	// Avoid is the nodes that this member sends nothing new to from now on; all others it may.
	Avoid struct{ Nodes []string }
	// Forget is that what was counted of a node is to be forgotten.
	Forget struct{ Node string }
	// Line is for the log.
	Line struct {
		Node, What string
		Observers  []string
		For        time.Duration
	}
)

func (Tell) action()   {}
func (Avoid) action()  {}
func (Forget) action() {}
func (Line) action()   {}

// stage is how far a verdict has come.
type stage uint8

const (
	avoided stage = iota
	few           // tried by few members,
	half          // by half of them
	past          // all may send to it; remembered for what comes next
)

func (s stage) String() string { return [...]string{"avoid", "few", "half", "past"}[s] }

// standing is a verdict on a node.
type standing struct {
	node      Node
	stage     stage
	since     time.Duration // of the verdict
	until     time.Duration // of the stage
	tried     time.Duration // when the trial began
	term      time.Duration
	round     uint64
	observers []string
}

// heard is an opinion with when it was made, on this member's clock.
type heard struct {
	Opinion
	made time.Duration
}

// Judge is one member's part in the verdicts of the fleet. It is a state machine without I/O, clock or goroutine.
type Judge struct {
	cfg      Config
	opinions map[string]*heard
	news     map[string]int // observers whose opinion is to be told, and how often
	panels   map[string][]string
	zoneOf   map[string]string // of the observers of all panels
	peers    []Peer
	nodes    map[string]Node
	zones    map[string]int // nodes by zone
	standing map[string]*standing
	was      map[string]bool // bad in this member's eyes
	avoid    []string
	look     time.Duration
	tell     time.Duration
	said     time.Duration
	seq      uint64
	out      []Action
}

// NewJudge makes a judge that knows of nothing.
func NewJudge(cfg Config, now time.Duration) *Judge {
	return &Judge{cfg: cfg, news: map[string]int{}, opinions: map[string]*heard{}, panels: map[string][]string{}, zoneOf: map[string]string{}, nodes: map[string]Node{},
		zones: map[string]int{}, standing: map[string]*standing{}, was: map[string]bool{}, look: now, tell: math.MaxInt64}
}

func (j *Judge) paces(n float64) time.Duration { return time.Duration(n * float64(j.cfg.Pace)) }

// Next is when Look is due.
func (j *Judge) Next() time.Duration { return min(j.look, j.tell) }

// Step takes an event in.
func (j *Judge) Step(now time.Duration, e Event) []Action {
	j.out = nil
	switch e := e.(type) {
	case Heard:
		for _, o := range e.Opinions {
			j.hear(now, o)
		}
	case Look:
		if now >= j.look {
			j.look = now + j.paces(lookPaces)
			j.gather(e)
			j.speak(now, e.Evidence)
			j.decide(now)
		}
		if now >= j.tell {
			j.pass(now)
		}
	}
	return j.out
}

// gather takes in who is there, and draws the panels.
func (j *Judge) gather(e Look) {
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
		if i >= MostZones {
			delete(j.panels, zone)
			continue
		}
		if names := j.panels[zone]; len(names) > MostPanel {
			draw(names, "panel")
			j.panels[zone] = names[:MostPanel]
		}
		for _, name := range j.panels[zone] {
			j.zoneOf[name] = zone
		}
	}
}

// draw orders names by a hash with a word: the same everywhere, and evenly spread over words.
func draw(names []string, word string) {
	rank := func(name string) uint64 { return xxhash.Sum64String(word + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
}

// hear takes an opinion in, if it is new and its speaker has a voice.
func (j *Judge) hear(now time.Duration, o Opinion) {
	_, voice := j.zoneOf[o.By]
	was := j.opinions[o.By]
	if !voice || o.By == j.cfg.Name || len(o.Judged) > MostJudged || o.Age < 0 || o.Age > j.paces(freshPaces) {
		return
	}
	if was != nil && (o.Boot < was.Boot || o.Boot == was.Boot && o.Seq <= was.Seq) && j.cfg.Mutate != OldNews {
		return
	}
	for _, g := range o.Judged {
		if g.Node == "" || len(g.Node) > MostNode {
			return
		}
	}
	j.opinions[o.By] = &heard{o, now - o.Age}
	j.queue(o.By, now+j.paces(tellPaces))
}

// queue has an opinion told at a time.
func (j *Judge) queue(by string, at time.Duration) {
	j.news[by] = tellTimes
	j.tell = min(j.tell, at)
}

// pass tells what is new, at the most MostTold opinions at a time.
func (j *Judge) pass(now time.Duration) {
	var told []Opinion
	for _, by := range slices.SortedFunc(maps.Keys(j.news), func(a, b string) int { return cmp.Or(j.news[b]-j.news[a], cmp.Compare(a, b)) }) {
		o := j.opinions[by]
		if j.news[by]--; j.news[by] == 0 || o == nil {
			delete(j.news, by)
		}
		if o != nil {
			one := o.Opinion
			one.Age = now - o.made
			told = append(told, one)
		}
		if len(told) == MostTold {
			break
		}
	}
	j.tell = math.MaxInt64
	if len(j.news) > 0 {
		j.tell = now + j.paces(tellPaces)
	}
	if len(told) > 0 {
		j.out = append(j.out, Tell{told})
	}
}

// speak forms this member's own opinion and says it if it is new, or if it was long ago.
func (j *Judge) speak(now time.Duration, evidence []Evidence) {
	for by, o := range j.opinions {
		if _, voice := j.zoneOf[by]; by != j.cfg.Name && (!voice || now-o.made > j.paces(freshPaces)) {
			delete(j.opinions, by)
		}
	}
	if _, voice := j.zoneOf[j.cfg.Name]; !voice {
		delete(j.opinions, j.cfg.Name)
		return
	}
	bad, good := opinion(evidence, j.was, j.cfg.Mutate)
	clear(j.was)
	for _, n := range bad {
		j.was[n] = true
	}
	spoken := j.spoken()
	var judged []Judgement
	for _, n := range bad {
		if _, listed := j.nodes[n]; listed && len(judged) < MostJudged {
			judged = append(judged, Judgement{n, true})
		}
	}
	for _, n := range good {
		if spoken[n] && len(judged) < MostJudged {
			judged = append(judged, Judgement{n, false})
		}
	}
	mine := j.opinions[j.cfg.Name]
	if mine == nil && len(judged) == 0 {
		return
	}
	if mine != nil && slices.Equal(mine.Judged, judged) {
		mine.made = now // it is what this member thinks at present
		if len(judged) == 0 || now-j.said < j.paces(againPaces) {
			return
		}
	}
	j.seq++
	j.said = now
	j.opinions[j.cfg.Name] = &heard{Opinion{By: j.cfg.Name, Boot: j.cfg.Boot, Seq: j.seq, Judged: judged}, now}
	j.queue(j.cfg.Name, now)
}

// spoken are the listed nodes that somebody calls bad.
func (j *Judge) spoken() map[string]bool {
	all := map[string]bool{}
	for _, o := range j.opinions {
		for _, g := range o.Judged {
			if _, listed := j.nodes[g.Node]; g.Bad && listed {
				all[g.Node] = true
			}
		}
	}
	return all
}

// voices are who say bad and good of a node, of what was said after a time.
func (j *Judge) voices(node string, after time.Duration) (bad, good []string) {
	for by, o := range j.opinions {
		for _, g := range o.Judged {
			switch {
			case g.Node != node || o.made < after:
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
func (j *Judge) guilty(bad, good []string) bool {
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
		if most := len(j.panels[zone]); n >= leastVoices && 2*n > most || j.cfg.Mutate == OneVoice {
			zones++
			here = here || zone == j.cfg.Zone
		}
	}
	if here || j.cfg.Mutate == OneZone && zones > 0 {
		return true
	}
	return zones >= 2 && 2*inFavour[j.cfg.Zone] <= len(j.panels[j.cfg.Zone])
}

// leastVoices is how many must say bad, however few there are.
const leastVoices = 2

// decide moves the verdicts on.
func (j *Judge) decide(now time.Duration) {
	names := j.spoken()
	for n := range j.standing {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		j.one(now, n)
	}
	if j.cfg.Mutate != NoCap {
		j.shrink()
	}
	var avoid []string
	for n, s := range j.standing {
		if s.stage == avoided || s.stage < past && !slices.Contains(j.triers(n, s), j.cfg.Name) {
			avoid = append(avoid, n)
		}
	}
	slices.Sort(avoid)
	if !slices.Equal(avoid, j.avoid) {
		j.avoid = avoid
		j.out = append(j.out, Avoid{slices.Clone(avoid)})
	}
}

func (j *Judge) one(now time.Duration, name string) {
	s := j.standing[name]
	node, listed := j.nodes[name]
	if !listed || s != nil && s.node.Since != node.Since {
		delete(j.standing, name)
		return
	}
	after := time.Duration(math.MinInt64)
	if s != nil && s.stage > avoided {
		after = s.tried + j.paces(gracePaces)
	}
	bad, good := j.voices(name, after)
	switch {
	case s == nil:
		if j.guilty(bad, good) && j.room(node) && len(j.standing) < mostStanding {
			s = &standing{node: node, term: j.paces(termFirst)}
			j.standing[name] = s
			j.condemn(now, name, s, bad)
		}
	case s.stage == avoided:
		if now >= s.until && j.cfg.Mutate != NoExpiry {
			s.stage, s.tried, s.until = few, now, now+j.paces(stagePaces)
			if j.cfg.Mutate == AllAtOnce {
				s.stage, s.until = past, now+forgetting*s.term
			}
			j.out = append(j.out, Forget{name}, Line{Node: name, What: "tried again"})
			delete(j.was, name)
		}
	case s.stage == past:
		if now >= s.until {
			delete(j.standing, name)
		} else if j.guilty(bad, good) && j.room(node) {
			s.term = min(2*s.term, j.paces(termMost))
			j.condemn(now, name, s, bad)
		}
	default:
		triers := j.triers(name, s)
		against := 0
		for _, by := range bad {
			if slices.Contains(triers, by) {
				against++
			}
		}
		if against >= leastVoices && 2*against > len(triers) || j.guilty(bad, good) {
			s.term = min(2*s.term, j.paces(termMost))
			j.condemn(now, name, s, bad)
		} else if now >= s.until {
			s.stage++
			s.until = now + j.paces(stagePaces)
			if s.stage == past {
				s.until = now + forgetting*s.term
				j.out = append(j.out, Line{Node: name, What: "back"})
			}
		}
	}
}

func (j *Judge) condemn(now time.Duration, name string, s *standing, bad []string) {
	s.stage, s.since, s.until, s.round, s.observers = avoided, now, now+s.term, s.round+1, bad
	j.out = append(j.out, Line{Node: name, What: "avoided", Observers: bad, For: s.term})
}

// triers are who send to a node at its stage of a trial: drawn anew with each verdict on it.
func (j *Judge) triers(node string, s *standing) []string {
	names := make([]string, 0, len(j.peers))
	for _, p := range j.peers {
		names = append(names, p.Name)
	}
	draw(names, fmt.Sprint(node, s.round))
	n := max(3, (len(names)+7)/8)
	if s.stage == half {
		n = max(n, (len(names)+1)/2)
	}
	return names[:min(n, len(names))]
}

// room tells whether one more node may be under verdict.
func (j *Judge) room(node Node) bool {
	if j.cfg.Mutate == NoCap {
		return true
	}
	all, zone := 0, 0
	for _, s := range j.standing {
		if s.stage < past {
			all++
			if s.node.Zone == node.Zone {
				zone++
			}
		}
	}
	return all < j.most(len(j.nodes), leastNodes) && zone < j.most(j.zones[node.Zone], leastInZone)
}

// Where fewer are listed none is condemned.
const leastNodes, leastInZone = 3, 2

// most is how many of some nodes may be under verdict.
func (j *Judge) most(nodes, least int) int {
	if nodes < least {
		return 0
	}
	return max(1, nodes*j.cfg.MostPct/100)
}

// shrink lets the latest go where the list has become too short for so many.
func (j *Judge) shrink() {
	for {
		var latest *standing
		name, all := "", 0
		for n, s := range j.standing {
			if s.stage >= past {
				continue
			}
			all++
			if latest == nil || s.since > latest.since || s.since == latest.since && n > name {
				latest, name = s, n
			}
		}
		if all <= j.most(len(j.nodes), leastNodes) {
			return
		}
		delete(j.standing, name)
		j.out = append(j.out, Line{Node: name, What: "back: few are listed"})
	}
}

// Lines has a line for each node that is spoken of or under verdict.
func (j *Judge) Lines(now time.Duration) (lines []string) {
	names := j.spoken()
	for n := range j.standing {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		bad, good := j.voices(n, math.MinInt64)
		here := "used"
		if slices.Contains(j.avoid, n) {
			here = "avoided"
		}
		said := fmt.Sprintf("here=%s said_bad=%d said_good=%d", here, len(bad), len(good))
		if s := j.standing[n]; s != nil {
			lines = append(lines, fmt.Sprintf("%s %s age=%dms left=%dms round=%d %s observers=%s", n, s.stage, (now-s.since).Milliseconds(),
				max(0, s.until-now).Milliseconds(), s.round, said, strings.Join(s.observers, ",")))
		} else {
			lines = append(lines, n+" none "+said)
		}
	}
	return lines
}
