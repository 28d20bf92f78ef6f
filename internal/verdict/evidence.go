package verdict

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the evidence that one member keeps.
const (
	MaxNodes       = 4096             // execute nodes counted
	maxSamples     = 8                // outcomes of a node that count,
	sampleLifetime = 10 * time.Second // none older than this
	mostZone       = 64               // bytes of a zone's name
)

// sample is one outcome.
type sample struct {
	at      time.Duration
	latency time.Duration // of an answer
	failed  bool
	present bool
}

// recent are the last outcomes of one node.
type samples struct {
	ring [maxSamples]sample
	next int
}

// Tally counts outcomes by execute node, by what came last: it is as quick as the traffic. It is not safe for use by
// several goroutines. The zero Tally has counted nothing.
type Tally struct {
	nodes map[string]*samples
}

// Version takes in the outcome of one attempt: failed, or answered after a time.
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

// Forget drops what is counted of a node.
func (t *Tally) Forget(node string) { delete(t.nodes, node) }

// Evidence is what one member has seen of a node lately.
type Evidence struct {
	Node                string
	Succeeded           int
	Failed              int
	ConsecutiveFailures int           // failures since the last answer
	Recent              []Outcome     // the last first
	Latency             time.Duration // of an answer, the mean
	LatencySamples      int           // that it is the mean of
}

// Outcome is when an attempt ended and how.
type Outcome struct {
	At     time.Duration
	Failed bool
}

// Evidence is what counts at a time, by node. Nodes of which nothing does are forgotten.
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
