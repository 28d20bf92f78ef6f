package placement

import (
	"cmp"
	"slices"
	"time"

	"fieldrelay/internal/common/selection"
	"fieldrelay/internal/region/route"
)

// Constants of the predictions for a service.
const (
	// initialMedian is the assumed median latency of a service that does not serve a model, before any measurement.
	initialMedian = 20 * time.Millisecond
	// minMedian and maxMedian bound the measured median.
	minMedian = time.Millisecond
	maxMedian = 2 * time.Second
	// medianStep is the fraction by which each sample moves the median.
	medianStep = 0.05
	// defaultTargetFactor is the latency target of a route without one, as a multiple of the median.
	defaultTargetFactor = 4
	// minTypicalSpeed is the lower bound of the typical speed. It keeps servers distinguishable during an outage.
	minTypicalSpeed = 0.1
	// defaultCapacity is the assumed number of concurrent requests of a server of unknown capacity.
	defaultCapacity = 8
)

// bands are the bands of the slack. They have the thresholds of selection.DefaultBands and lower temperatures, so that
// requests stay at servers with a cached prefix.
var bands = selection.Bands{
	Low:       selection.DefaultBands.Low,
	High:      selection.DefaultBands.High,
	TauTarget: 0.08,
	TauFull:   0.1,
}

// service is the state that this proxy holds about one service.
type service struct {
	name         string
	config       *route.Service // settings of the service; nil: not in the configuration
	servers      []*server      // servers by descending affinity
	slack        selection.Slack
	walk         selection.Walk[*server]
	localSpeed   selection.Estimate // typical speed of the servers in this proxy's region
	remoteSpeed  selection.Estimate // typical speed of the servers in other regions
	prefill      prefillEstimator
	median       time.Duration         // running median of the time to the first event or byte
	spillingOver bool                  // requests are also sent to other regions
	leastLatency leastTime             // of the first event or byte
	tails        map[string]*leastTime // by route: time from the first event to the end of an answer, per token
	seedSentAt   time.Duration         // when the last attempt that seeds a speed estimate was sent
	seedAttempt  *attempt              // last attempt that seeds a speed estimate, while it is unanswered; otherwise nil
}

func newService(name string) *service {
	return &service{
		name:    name,
		slack:   selection.NewSlack(bands),
		median:  initialMedian,
		prefill: newPrefillEstimator(),
		tails:   map[string]*leastTime{},
	}
}

// sort sorts the servers in this proxy's own order after a change of the list, and restarts the sorted walk.
func (s *service) sort() {
	slices.SortFunc(s.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.affinity, x.affinity), cmp.Compare(x.id, y.id))
	})
	s.walk.Reset()
}

// servesModel reports whether the service's servers run a model, and thus prefill prompts.
func (s *service) servesModel() bool { return s.config != nil && s.config.Runtime != nil }

// typicalOf returns the estimate of the typical speed of the servers in this proxy's region or in other regions.
func (s *service) typicalOf(local bool) *selection.Estimate {
	if local {
		return &s.localSpeed
	}
	return &s.remoteSpeed
}

// typicalSpeed returns the assumed speed of a server without an estimate. It is 1 until the first answer.
func (s *service) typicalSpeed(local bool) float64 {
	typical := s.typicalOf(local)
	if !typical.Seeded() {
		return 1
	}
	return min(max(typical.Speed(), minTypicalSpeed), maxSpeed)
}

// inTime reports whether a latency is within the target of a route, or within the default target if it has none.
func (s *service) inTime(r *route.Route, latency time.Duration) bool {
	if r != nil && r.Target > 0 {
		return latency <= r.Target
	}
	return latency <= defaultTargetFactor*s.median
}

// observeLatency moves the running median one step towards a sample.
func (s *service) observeLatency(latency time.Duration) {
	step := 1 + medianStep
	if latency < s.median {
		step = 1 / step
	}
	s.median = min(max(time.Duration(float64(s.median)*step), minMedian), maxMedian)
}
