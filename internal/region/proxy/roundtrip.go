package proxy

import (
	"sync"
	"time"
)

// Parameters of the estimate of round trips. The weights are those of RFC 6298, which TCP itself follows.
const (
	roundTripWeight = 1.0 / 8 // weight of a sample in the mean
	deviationWeight = 1.0 / 4 // weight of a sample's difference in the mean deviation
	deviationFactor = 4       // a round trip seldom takes longer than the mean and this many mean deviations
	// minRetransmitTimeout is the shortest time after which Linux sends an unacknowledged packet again.
	minRetransmitTimeout = 200 * time.Millisecond
	// initialRetransmitTimeout is the time-out before the first sample, and the longest one.
	initialRetransmitTimeout = time.Second
	// lossTimeouts is the number of time-outs, of which the second is twice as long as the first, after which the
	// retransmission of a single lost packet is overdue too.
	lossTimeouts = 1 + 2
	// maxRoundTripRegions bounds the regions whose round trips are estimated.
	maxRoundTripRegions = 256
)

// roundTrips estimates how long connections to servers take to be established, by the servers' region. It is safe for
// concurrent use.
type roundTrips struct {
	mu       sync.Mutex
	byRegion map[string]roundTrip
}

// roundTrip is the mean of the round trips to a region, and their mean deviation.
type roundTrip struct{ mean, deviation time.Duration }

func newRoundTrips() *roundTrips { return &roundTrips{byRegion: make(map[string]roundTrip)} }

// observe records how long a connection to a server of a region took to be established.
func (r *roundTrips) observe(region string, sample time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, seen := r.byRegion[region]
	if !seen {
		if len(r.byRegion) < maxRoundTripRegions {
			r.byRegion[region] = roundTrip{mean: sample, deviation: sample / 2}
		}
		return
	}
	difference := (known.mean - sample).Abs()
	known.deviation += time.Duration(deviationWeight * float64(difference-known.deviation))
	known.mean += time.Duration(roundTripWeight * float64(sample-known.mean))
	r.byRegion[region] = known
}

// retransmitTimeout returns the time after which a packet to a server of a region that is unanswered counts as lost.
func (r *roundTrips) retransmitTimeout(region string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, seen := r.byRegion[region]
	if !seen {
		return initialRetransmitTimeout
	}
	timeout := known.mean + deviationFactor*known.deviation
	return min(max(timeout, minRetransmitTimeout), initialRetransmitTimeout)
}
