package placement

import (
	"cmp"
	"slices"
	"time"

	"fieldrelay/internal/route"
	"fieldrelay/logic/selection"
)

// Tuning of what is expected of a service.
const (
	// initialMedian is the first guess of an answer time of a service that is no model's.
	initialMedian = 20 * time.Millisecond
	// minMedian and maxMedian bound what is learnt of such a service.
	minMedian = time.Millisecond
	maxMedian = 2 * time.Second
	// medianStep is the part by which a sample moves the recent median.
	medianStep = 0.05
	// defaultTargetFactor is the multiple of the median that is in time where no aim is told.
	defaultTargetFactor = 4
	// minTypicalSpeed bounds the typical speed from below: servers are not all to look alike in an outage.
	minTypicalSpeed = 0.1
	// defaultCapacity of a server that does not tell.
	defaultCapacity = 8
)

// Bands of the slack: the paper's edges; cooler temperatures, because a kept prompt is worth keeping to.
var bands = selection.Bands{
	Low:       selection.PaperBands.Low,
	High:      selection.PaperBands.High,
	TauTarget: 0.08,
	TauFull:   0.1,
}

// service is what this proxy knows of one service.
type service struct {
	name         string
	config       *route.Service // nil: the configuration does not name it
	servers      []*server      // by falling affinity
	slack        selection.Slack
	walk         selection.Walk[*server]
	localSpeed   selection.Estimate // typical speed of its servers in the own region
	remoteSpeed  selection.Estimate // and of those in other regions
	prefill      prefillEstimator
	median       time.Duration            // recent median of the time to the first event or byte
	spillingOver bool                     // requests go to other regions too
	seedSentAt   time.Duration            // when the last attempt that seeds an estimate was sent
	seedAttempt  *attempt                 // that attempt, while it is unanswered
	rejectedAt   time.Duration            // when a server last refused for being full
	trickledAt   map[string]time.Duration // by route: when one was last let in although it looked bad
}

func newService(name string) *service {
	return &service{
		name:       name,
		slack:      selection.NewSlack(bands),
		median:     initialMedian,
		prefill:    newPrefillEstimator(),
		trickledAt: map[string]time.Duration{},
	}
}

// sort puts servers into this proxy's own order after a change, in which the walk starts anew.
func (s *service) sort() {
	slices.SortFunc(s.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.affinity, x.affinity), cmp.Compare(x.id, y.id))
	})
	s.walk.Reset()
}

// model tells whether the service reads prompts.
func (s *service) servesModel() bool { return s.config != nil && s.config.Runtime != nil }

// typicalOf is the estimate of the typical speed in the own region or in others.
func (s *service) typicalOf(near bool) *selection.Estimate {
	if near {
		return &s.localSpeed
	}
	return &s.remoteSpeed
}

// typicalSpeed is the speed of a server of which nothing is known; 1 until answers have come.
func (s *service) typicalSpeed(near bool) float64 {
	typical := s.typicalOf(near)
	if !typical.Seeded() {
		return 1
	}
	return min(max(typical.Speed(), minTypicalSpeed), maxSpeed)
}

// inTime tells whether an answer that took so long is in time for a route.
func (s *service) inTime(r *route.Route, latency time.Duration) bool {
	if r != nil && r.Target > 0 {
		return latency <= r.Target
	}
	return latency <= defaultTargetFactor*s.median
}

// observeLatency moves the recent median.
func (s *service) observeLatency(latency time.Duration) {
	step := 1 + medianStep
	if latency < s.median {
		step = 1 / step
	}
	s.median = min(max(time.Duration(float64(s.median)*step), minMedian), maxMedian)
}
