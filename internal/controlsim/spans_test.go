package controlsim

import (
	"fmt"
	"slices"
	"time"
)

// spans are durations that were measured.
type spans []time.Duration

// percentile is the duration that a share of all does not exceed.
func (s spans) percentile(share float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

func (s spans) worst() time.Duration { return s.percentile(1) }

func (s spans) String() string {
	return fmt.Sprintf("%d times, p50 %v, p99 %v, worst %v", len(s), s.percentile(0.5).Round(time.Millisecond),
		s.percentile(0.99).Round(time.Millisecond), s.worst().Round(time.Millisecond))
}
