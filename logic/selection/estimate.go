// Package selection is the design that picks a server, after Bouten et al., "Dynamic Server Selection
// Strategy for Multi-server HTTP Adaptive Streaming Services": an aged EWMA of each server's speed, a softmax
// over the speeds by the best, and a slack that sets its temperature or, when low, has a sorted list walked.
// It is pure: no I/O, clock or draw of its own. Times are of any steady clock. Not for concurrent use.
package selection

import (
	"math"
	"time"
)

// Delta is the δ of the ageing: a sample that comes this long after the last weighs 1 - 1/e.
const Delta = 3 * time.Second

const maxAlpha = 0.5 // one slow answer after a gap moves an estimate half way at most

// Alpha is the weight of a sample that comes gap after the last: 1 - exp(-gap/δ).
func Alpha(gap time.Duration) float64 { return 1 - math.Exp(-float64(gap)/float64(Delta)) }

// Estimate is the aged EWMA of one server's speed; its zero value knows nothing. A sample is the work of a
// request (its cost hint in seconds, or 1) over the seconds to its answer, or 0 for a failure.
type Estimate struct {
	speed     float64
	sampledAt time.Duration
	seeded    bool
}

// Observe takes in a sample at now. The first one seeds the estimate. After a long gap a single slow answer
// would sink a good server, so the weight is bounded on the way down.
func (e *Estimate) Observe(now time.Duration, sample float64) {
	alpha := Alpha(now - e.sampledAt)
	if sample < e.speed {
		alpha = min(alpha, maxAlpha)
	}
	if !e.seeded {
		e.seeded, alpha = true, 1
	}
	e.speed, e.sampledAt = e.speed+alpha*(sample-e.speed), now
}

// Speed is the estimate: 0 until seeded.
func (e *Estimate) Speed() float64 { return e.speed }

// Seeded tells whether a sample has come.
func (e *Estimate) Seeded() bool { return e.seeded }

// SampledAt is when the last sample came: 0 until seeded.
func (e *Estimate) SampledAt() time.Duration { return e.sampledAt }
