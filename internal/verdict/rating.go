package verdict

import (
	"cmp"
	"slices"
	"time"
)

// What makes a node bad in the eyes of one member.
const (
	minSamples             = 3    // of a node, to say anything of it
	minCompared            = 3    // nodes with as many samples
	minConcurrent          = 8    // outcomes of others since a node began to fail
	badFailureRate         = 0.75 // of failures, on top of the median node's, and
	goodFailureRate        = 0.25 // what the median node, or one that was bad, must not pass
	badConsecutiveFailures = 4    // failures, however many answers came before: the module soon stops to send there
	slowFactor             = 4    // the median node's time, and
	recoveredFactor        = 2    // what one that was slow must not pass
)

// opinion judges each node that there is evidence enough of, by the others. was tells which were bad before.
func rate(all []Evidence, wasBad map[string]bool, mutate Mutation) (bad, good []string) {
	all = slices.DeleteFunc(slices.Clone(all), func(e Evidence) bool { return e.Succeeded+e.Failed < minSamples })
	if len(all) < minCompared && mutate != OwnFaults {
		return nil, nil
	}
	var shares, times []float64
	for _, e := range all {
		shares = append(shares, failureRate(e))
		if e.LatencySamples >= minSamples {
			times = append(times, e.Latency.Seconds())
		}
	}
	everywhere := median(shares)
	usual := median(times)
	for i, e := range all {
		own := max(everywhere, concurrentFailureRate(all, i)) // what fails everywhere is not the node's
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

// meanwhile is the share of failures at the better two thirds of the other nodes since the first failure at one that
// counts against it: what begins to go wrong everywhere has not yet come to show in all that is kept of the others.
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
		return 1 // it cannot be told yet
	}
	slices.SortFunc(counts, func(a, b count) int { return cmp.Compare(a.failed/a.of, b.failed/b.of) })
	var better count
	for _, c := range counts[:len(counts)-len(counts)/3] {
		better.failed, better.of = better.failed+c.failed, better.of+c.of
	}
	return better.failed / better.of
}

func failureRate(e Evidence) float64 { return float64(e.Failed) / float64(e.Succeeded+e.Failed) }

// median is the lower one of an even number.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[(len(all)-1)/2]
}
