package verdict

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the evidence that one member keeps.
const (
	MostNodes    = 4096             // execute nodes counted
	lastly       = 8                // outcomes of a node that count,
	lastlyWithin = 10 * time.Second // none older than this
	mostZone     = 64               // bytes of a zone's name
)

// sample is one outcome.
type sample struct {
	at      time.Duration
	took    time.Duration // of an answer
	failed  bool
	present bool
}

// recent are the last outcomes of one node.
type recent struct {
	ring [lastly]sample
	next int
}

// Tally counts outcomes by execute node, by what came last: it is as quick as the traffic. It is not safe for use by
// several goroutines. The zero Tally has counted nothing.
type Tally struct {
	nodes map[string]*recent
}

// Count takes in the outcome of one attempt: failed, or answered after a time.
func (t *Tally) Count(now time.Duration, node string, failed bool, took time.Duration) {
	r := t.nodes[node]
	if r == nil {
		if len(t.nodes) >= MostNodes || node == "" || len(node) > MostNode {
			return
		}
		if t.nodes == nil {
			t.nodes = map[string]*recent{}
		}
		r = &recent{}
		t.nodes[node] = r
	}
	r.ring[r.next] = sample{now, took, failed, true}
	r.next = (r.next + 1) % lastly
}

// Forget drops what is counted of a node.
func (t *Tally) Forget(node string) { delete(t.nodes, node) }

// Evidence is what one member has seen of a node lately.
type Evidence struct {
	Node     string
	Done     int
	Failed   int
	Row      int           // failures since the last answer
	Recent   []Ending      // the last first
	Took     time.Duration // of an answer, the mean
	Answered int           // that it is the mean of
}

// Ending is when an attempt ended and how.
type Ending struct {
	At     time.Duration
	Failed bool
}

// Evidence is what counts at a time, by node. Nodes of which nothing does are forgotten.
func (t *Tally) Evidence(now time.Duration) (all []Evidence) {
	for node, r := range t.nodes {
		e := Evidence{Node: node}
		for back := 1; back <= lastly; back++ {
			s := r.ring[(r.next+lastly-back)%lastly]
			if !s.present || now-s.at > lastlyWithin {
				break
			}
			e.Recent = append(e.Recent, Ending{s.at, s.failed})
			if !s.failed {
				e.Done++
				e.Took += s.took
				continue
			}
			e.Failed++
			if e.Row == back-1 {
				e.Row++
			}
		}
		if e.Done+e.Failed == 0 {
			delete(t.nodes, node)
			continue
		}
		if e.Answered = e.Done; e.Done > 0 {
			e.Took /= time.Duration(e.Done)
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Evidence) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// What makes a node bad in the eyes of one member.
const (
	leastSamples   = 3    // of a node, to say anything of it
	leastCompared  = 3    // nodes with as many samples
	leastMeanwhile = 8    // outcomes of others since a node began to fail
	badShare       = 0.75 // of failures, on top of the median node's, and
	goodShare      = 0.25 // what the median node, or one that was bad, must not pass
	inARow         = 4    // failures, however many answers came before: the module soon stops to send there
	slowTimes      = 4    // the median node's time, and
	quickTimes     = 2    // what one that was slow must not pass
)

// opinion judges each node that there is evidence enough of, by the others. was tells which were bad before.
func opinion(all []Evidence, was map[string]bool, mutate Mutation) (bad, good []string) {
	all = slices.DeleteFunc(slices.Clone(all), func(e Evidence) bool { return e.Done+e.Failed < leastSamples })
	if len(all) < leastCompared && mutate != OwnFaults {
		return nil, nil
	}
	var shares, times []float64
	for _, e := range all {
		shares = append(shares, share(e))
		if e.Answered >= leastSamples {
			times = append(times, e.Took.Seconds())
		}
	}
	everywhere := median(shares)
	usual := median(times)
	for i, e := range all {
		own := max(everywhere, meanwhile(all, i)) // what fails everywhere is not the node's
		if mutate == OwnFaults {
			own = 0
		}
		failing, slow := badShare+own, usual*slowTimes
		if was[e.Node] {
			failing, slow = goodShare, usual*quickTimes
		}
		worse := share(e) >= failing || e.Row >= inARow || len(times) >= leastCompared && e.Answered >= leastSamples && e.Took.Seconds() >= slow && usual > 0
		if worse && own <= goodShare {
			bad = append(bad, e.Node)
		} else {
			good = append(good, e.Node)
		}
	}
	return bad, good
}

// meanwhile is the share of failures at the better two thirds of the other nodes since the first failure at one that
// counts against it: what begins to go wrong everywhere has not yet come to show in all that is kept of the others.
func meanwhile(all []Evidence, at int) float64 {
	e := all[at]
	if e.Failed == 0 {
		return 0
	}
	var since time.Duration
	for i, r := range e.Recent {
		if r.Failed && (i < e.Row || e.Row < inARow) {
			since = r.At
		}
	}
	type count struct{ failed, of float64 }
	var counts []count
	seen := 0.0
	for i, other := range all {
		failed, of := 0.0, 0.0
		for _, r := range other.Recent {
			if i != at && r.At >= since {
				of++
				if r.Failed {
					failed++
				}
			}
		}
		if of > 0 {
			counts = append(counts, count{failed, of})
			seen += of
		}
	}
	if len(counts) < leastCompared-1 || seen < leastMeanwhile {
		return 1 // it cannot be told yet
	}
	slices.SortFunc(counts, func(a, b count) int { return cmp.Compare(a.failed/a.of, b.failed/b.of) })
	var better count
	for _, c := range counts[:len(counts)-len(counts)/3] {
		better.failed, better.of = better.failed+c.failed, better.of+c.of
	}
	return better.failed / better.of
}

func share(e Evidence) float64 { return float64(e.Failed) / float64(e.Done+e.Failed) }

// median is the lower one of an even number.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[(len(all)-1)/2]
}
