package verdict

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds by which a member rates a node. A node that was rated bad before has lower thresholds (hysteresis), so that its
// rating does not flap.
const (
	minSamples             = 3    // number of outcomes that a node needs to be rated
	minCompared            = 3    // number of nodes with minSamples outcomes that are needed to rate any node
	minConcurrent          = 8    // number of outcomes at other nodes since a node began to fail that are needed to rate that node bad
	badFailureRate         = 0.75 // a node is bad if its failure rate exceeds that of the other nodes by this much
	goodFailureRate        = 0.25 // a node that was bad stays bad at this failure rate; if the other nodes exceed it, no node is rated bad
	badConsecutiveFailures = 4    // failures in a row that make a node bad, whatever came before, since the module soon stops sending to it
	slowFactor             = 4    // a node is bad at this multiple of the median latency
	recoveredFactor        = 2    // a node that was bad stays bad at this multiple of the median latency
)

// rate compares each node that has enough evidence with the other nodes. wasBad holds the nodes that were rated bad before.
func rate(all []Evidence, wasBad map[string]bool, mutate Mutation) (bad, good []string) {
	all = slices.DeleteFunc(slices.Clone(all), func(e Evidence) bool { return e.Succeeded+e.Failed < minSamples })
	if len(all) < minCompared && mutate != OwnFaults {
		return nil, nil
	}
	var rates, times []float64
	for _, e := range all {
		rates = append(rates, failureRate(e))
		if e.LatencySamples >= minSamples {
			times = append(times, e.Latency.Seconds())
		}
	}
	everywhere := median(rates)
	usual := median(times)
	for i, e := range all {
		own := max(everywhere, concurrentFailureRate(all, i)) // failures that occur at all nodes are not the node's own
		if mutate == OwnFaults {
			own = 0
		}
		failing, slow := badFailureRate+own, usual*slowFactor
		if wasBad[e.Node] {
			failing, slow = goodFailureRate, usual*recoveredFactor
		}
		worse := failureRate(e) >= failing || e.ConsecutiveFailures >= badConsecutiveFailures || len(times) >= minCompared && e.LatencySamples >= minSamples && e.Latency.Seconds() >= slow && usual > 0
		if worse && own <= goodFailureRate {
			bad = append(bad, e.Node)
		} else {
			good = append(good, e.Node)
		}
	}
	return bad, good
}

// concurrentFailureRate returns the failure rate of the better two thirds of the other nodes since the first failure that
// counts against a node. Older outcomes are excluded because they would hide a fault that has just begun at all nodes.
func concurrentFailureRate(all []Evidence, at int) float64 {
	e := all[at]
	if e.Failed == 0 {
		return 0
	}
	var since time.Duration
	for i, r := range e.Recent {
		if r.Failed && (i < e.ConsecutiveFailures || e.ConsecutiveFailures < badConsecutiveFailures) {
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
	if len(counts) < minCompared-1 || seen < minConcurrent {
		return 1 // too little evidence: the node is not rated bad
	}
	slices.SortFunc(counts, func(a, b count) int { return cmp.Compare(a.failed/a.of, b.failed/b.of) })
	var better count
	for _, c := range counts[:len(counts)-len(counts)/3] {
		better.failed, better.of = better.failed+c.failed, better.of+c.of
	}
	return better.failed / better.of
}

// failureRate returns the fraction of attempts that failed.
func failureRate(e Evidence) float64 { return float64(e.Failed) / float64(e.Succeeded+e.Failed) }

// median returns the median; of an even number of values, the lower of the middle two.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[(len(all)-1)/2]
}
