package controlsim

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// spread are durations of many runs.
type spread struct {
	mutex sync.Mutex
	times map[string][]time.Duration // by kind of run
}

func (s *spread) add(kind string, value time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.times == nil {
		s.times = make(map[string][]time.Duration)
	}
	s.times[kind] = append(s.times[kind], value)
}

// lines tells the median, the 99th percentile and the worst of each kind.
func (s *spread) lines() []string {
	var lines []string
	for kind, times := range s.times {
		slices.Sort(times)
		at := func(share float64) time.Duration {
			return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
		}
		lines = append(lines, fmt.Sprintf("%-34s %5d runs: p50 %v, p99 %v, worst %v", kind, len(times), at(0.5), at(0.99), at(1)))
	}
	slices.Sort(lines)
	return lines
}
