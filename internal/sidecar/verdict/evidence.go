package verdict

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the evidence that one member keeps.
const (
	MaxNodes       = 4096             // maximum number of execute nodes with evidence
	maxSamples     = 8                // number of the latest outcomes of a node that count
	sampleLifetime = 10 * time.Second // age beyond which an outcome no longer counts
)

// sample is the outcome of one attempt.
type sample struct {
	at      time.Duration
	latency time.Duration // latency of a successful attempt
	failed  bool
	present bool // false in a slot of the ring that was never written
}

// samples is a ring buffer of the latest outcomes at a node.
type samples struct {
	ring [maxSamples]sample
	next int
}

// Tally keeps the latest outcomes of attempts at each execute node. It counts outcomes rather than time, so that it reacts
// faster when there is more traffic. It is not safe for concurrent use. The zero Tally is empty.
type Tally struct {
	nodes map[string]*samples
}

// Count records the outcome of an attempt, and how long a successful one took. A further node beyond MaxNodes is ignored, as
// is a node whose name is empty or too long.
func (t *Tally) Count(now time.Duration, node string, failed bool, took time.Duration) {
	r := t.nodes[node]
	if r == nil {
		if len(t.nodes) >= MaxNodes || node == "" || len(node) > MaxNodeBytes {
			return
		}
		if t.nodes == nil {
			t.nodes = map[string]*samples{}
		}
		r = &samples{}
		t.nodes[node] = r
	}
	r.ring[r.next] = sample{now, took, failed, true}
	r.next = (r.next + 1) % maxSamples
}

// Forget discards the outcomes of a node.
func (t *Tally) Forget(node string) { delete(t.nodes, node) }

// Evidence summarizes the recent attempts of one member at a node.
type Evidence struct {
	Node                string
	Succeeded           int
	Failed              int
	ConsecutiveFailures int           // number of failures since the last success
	Recent              []Outcome     // outcomes that count, latest first
	Latency             time.Duration // mean latency of the successful attempts
	LatencySamples      int           // number of attempts that Latency is the mean of
}

// Outcome is the time at which an attempt ended and whether it failed.
type Outcome struct {
	At     time.Duration
	Failed bool
}

// Evidence returns the evidence that counts at a time, sorted by node. It deletes the nodes that have none left.
func (t *Tally) Evidence(now time.Duration) (all []Evidence) {
	for node, r := range t.nodes {
		e := Evidence{Node: node}
		for back := 1; back <= maxSamples; back++ {
			s := r.ring[(r.next+maxSamples-back)%maxSamples]
			if !s.present || now-s.at > sampleLifetime {
				break
			}
			e.Recent = append(e.Recent, Outcome{s.at, s.failed})
			if !s.failed {
				e.Succeeded++
				e.Latency += s.latency
				continue
			}
			e.Failed++
			if e.ConsecutiveFailures == back-1 {
				e.ConsecutiveFailures++
			}
		}
		if e.Succeeded+e.Failed == 0 {
			delete(t.nodes, node)
			continue
		}
		if e.LatencySamples = e.Succeeded; e.Succeeded > 0 {
			e.Latency /= time.Duration(e.Succeeded)
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Evidence) int { return cmp.Compare(a.Node, b.Node) })
	return all
}
