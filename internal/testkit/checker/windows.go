package checker

import (
	"slices"
	"time"
)

// Most returns the greatest number of entries of a kind and class in any time window of the given length, by the times at
// which the entries were recorded.
func Most(entries []Entry, kind Kind, class string, window time.Duration) int {
	var times []time.Duration
	for _, e := range entries {
		if e.Kind == kind && e.Class == class {
			times = append(times, e.At)
		}
	}
	slices.Sort(times)
	most, from := 0, 0
	for to := range times {
		for times[to]-times[from] >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
