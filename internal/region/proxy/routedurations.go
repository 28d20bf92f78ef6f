package proxy

import (
	"sync"
	"time"
)

const (
	// maxDurationRoutes bounds the routes whose durations are known.
	maxDurationRoutes = 4096
	// durationDecay is the fraction of the difference by which a shorter request lowers a route's duration.
	durationDecay = 1.0 / 256
)

// routeDurations holds how long the longest of the recent requests of each route took. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

func newRouteDurations() *routeDurations {
	return &routeDurations{longest: make(map[string]time.Duration)}
}

// observe records how long a request of a route took.
func (r *routeDurations) observe(routeName string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest, known := r.longest[routeName]
	if !known && len(r.longest) >= maxDurationRoutes {
		clear(r.longest)
	}
	if duration < longest {
		duration = longest - time.Duration(durationDecay*float64(longest-duration))
	}
	r.longest[routeName] = duration
}

// expectedEnd returns when a request of a route that arrives now will have ended: as late as the longest of the recent ones
// would, but no later than its deadline. A request of a route that has not been measured may take until its deadline.
func (r *routeDurations) expectedEnd(routeName string, now, deadline time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest, known := r.longest[routeName]
	if !known {
		return deadline
	}
	return earlier(now.Add(longest), deadline)
}
