package verdict

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Rating is an observer's rating of a node.
type Rating struct {
	Node string `cbor:"1,keyasint"`
	Bad  bool   `cbor:"2,keyasint,omitempty"`
}

// Opinion holds all ratings of one observer. A later opinion of the same author replaces it entirely.
type Opinion struct {
	Author  string        `cbor:"1,keyasint"`
	Boot    uint64        `cbor:"2,keyasint"`
	Seq     uint64        `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // time since the opinion was formed, excluding time in transit
	Ratings []Rating      `cbor:"5,keyasint,omitempty"`
}

// Bounds of opinions.
const (
	MaxRatings   = 16  // maximum number of ratings in an opinion
	MaxPanel     = 16  // maximum number of observers of a zone whose opinions count
	MaxZones     = 16  // maximum number of zones of observers; the observers of further zones have no vote
	MaxForwarded = 32  // maximum number of opinions in one Send action, and so in one frame
	maxVerdicts  = 256 // maximum number of nodes with a current or remembered verdict
)

// receivedOpinion is an opinion and the time on this member's clock at which it was formed.
type receivedOpinion struct {
	Opinion
	madeAt time.Duration
}

// receive stores an opinion and queues it for forwarding, if the opinion is new and well-formed and its author has a vote.
func (e *Evaluator) receive(now time.Duration, o Opinion) {
	_, hasVote := e.zoneOf[o.Author]
	was := e.opinions[o.Author]
	if !hasVote || o.Author == e.cfg.Name || len(o.Ratings) > MaxRatings || o.Age < 0 || o.Age > e.paces(opinionLifetime) {
		return
	}
	if was != nil && (o.Boot < was.Boot || o.Boot == was.Boot && o.Seq <= was.Seq) && e.cfg.Mutate != StaleOpinions {
		return
	}
	for _, rating := range o.Ratings {
		if rating.Node == "" || len(rating.Node) > MaxNodeBytes {
			return
		}
	}
	e.opinions[o.Author] = &receivedOpinion{o, now - o.Age}
	e.enqueue(o.Author, now+e.paces(forwardInterval))
}

// enqueue schedules the opinion of an author to be sent from a time on.
func (e *Evaluator) enqueue(author string, at time.Duration) {
	e.toForward[author] = forwardTimes
	e.forwardDue = min(e.forwardDue, at)
}

// forward sends queued opinions, at most MaxForwarded at a time, starting with those that were sent the fewest times.
func (e *Evaluator) forward(now time.Duration) {
	var opinions []Opinion
	fewestSent := func(a, b string) int { return cmp.Or(e.toForward[b]-e.toForward[a], cmp.Compare(a, b)) }
	for _, author := range slices.SortedFunc(maps.Keys(e.toForward), fewestSent) {
		o := e.opinions[author]
		if e.toForward[author]--; e.toForward[author] == 0 || o == nil {
			delete(e.toForward, author)
		}
		if o != nil {
			sent := o.Opinion
			sent.Age = now - o.madeAt
			opinions = append(opinions, sent)
		}
		if len(opinions) == MaxForwarded {
			break
		}
	}
	e.forwardDue = math.MaxInt64
	if len(e.toForward) > 0 {
		e.forwardDue = now + e.paces(forwardInterval)
	}
	if len(opinions) > 0 {
		e.out = append(e.out, Send{opinions})
	}
}

// publish forms this member's own opinion and queues it if it has changed or if resendInterval has passed. It also discards
// opinions that have expired or whose author no longer has a vote.
func (e *Evaluator) publish(now time.Duration, evidence []Evidence) {
	for author, o := range e.opinions {
		if _, hasVote := e.zoneOf[author]; author != e.cfg.Name && (!hasVote || now-o.madeAt > e.paces(opinionLifetime)) {
			delete(e.opinions, author)
		}
	}
	if _, hasVote := e.zoneOf[e.cfg.Name]; !hasVote {
		delete(e.opinions, e.cfg.Name)
		return
	}
	ratings := e.rateNodes(evidence)
	own := e.opinions[e.cfg.Name]
	if own == nil && len(ratings) == 0 {
		return
	}
	if own != nil && slices.Equal(own.Ratings, ratings) {
		own.madeAt = now // the unchanged opinion is still current
		if len(ratings) == 0 || now-e.publishedAt < e.paces(resendInterval) {
			return
		}
	}
	e.seq++
	e.publishedAt = now
	e.opinions[e.cfg.Name] = &receivedOpinion{Opinion{Author: e.cfg.Name, Boot: e.cfg.Boot, Seq: e.seq, Ratings: ratings}, now}
	e.enqueue(e.cfg.Name, now)
}

// rateNodes rates the listed nodes by the evidence. It returns the bad nodes, and the good ones that an observer rates bad.
func (e *Evaluator) rateNodes(evidence []Evidence) (ratings []Rating) {
	bad, good := rate(evidence, e.ratedBad, e.cfg.Mutate)
	clear(e.ratedBad)
	for _, node := range bad {
		e.ratedBad[node] = true
	}
	for _, node := range bad {
		if _, listed := e.nodes[node]; listed && len(ratings) < MaxRatings {
			ratings = append(ratings, Rating{node, true})
		}
	}
	badByAny := e.nodesRatedBad()
	for _, node := range good {
		if badByAny[node] && len(ratings) < MaxRatings {
			ratings = append(ratings, Rating{node, false})
		}
	}
	return ratings
}

// nodesRatedBad returns the listed nodes that at least one observer rates bad.
func (e *Evaluator) nodesRatedBad() map[string]bool {
	nodes := make(map[string]bool)
	for _, o := range e.opinions {
		for _, rating := range o.Ratings {
			if _, listed := e.nodes[rating.Node]; rating.Bad && listed {
				nodes[rating.Node] = true
			}
		}
	}
	return nodes
}
