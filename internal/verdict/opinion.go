package verdict

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
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

// heard is an opinion with when it was made, on this member's clock.
type receivedOpinion struct {
	Opinion
	madeAt time.Duration
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
