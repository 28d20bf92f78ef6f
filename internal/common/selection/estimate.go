// Package selection implements the server selection of Bouten et al., "Dynamic Server Selection Strategy for
// Multi-server HTTP Adaptive Streaming Services": an aged, exponentially weighted moving average (EWMA) of
// each server's speed, a softmax over the speeds relative to the best, and a slack, the fraction of requests
// answered in time, which sets the softmax's temperature or, when low, replaces it by a walk down a sorted
// list.
//
// The package provides only these parts. Its users, the sidecar (package logic) and the regional proxy
// (package placement), define what a speed is and which servers are candidates. The package does no I/O and
// has no clock or random source of its own. Times may be of any monotonic clock. Nothing here is safe for
// concurrent use.
package selection

import (
	"math"
	"time"
)

// TimeConstant is the time constant δ of the aging: a sample this long after the last one weighs 1 - 1/e.
const TimeConstant = 3 * time.Second

// maxAlphaDown bounds the weight of a sample below the estimate: one slow answer after a gap moves the
// estimate at most half way to the sample.
const maxAlphaDown = 0.5

// Alpha is the weight, from 0 to 1, of a sample that comes gap after the last one: 1 - exp(-gap/δ).
func Alpha(gap time.Duration) float64 { return -math.Expm1(-float64(gap) / float64(TimeConstant)) }

// Estimate is the aged EWMA of one server's speed. Its zero value is not seeded. A sample is the work of a
// request (its cost hint in seconds, or 1) divided by the seconds to its answer, or 0 for a failure.
type Estimate struct {
	speed     float64
	sampledAt time.Duration
	seeded    bool
}

// Observe adds a sample at now. The first sample seeds the estimate. The weight of samples below the
// estimate is bounded, so that a single slow answer after a long gap does not ruin the estimate of a fast
// server.
func (e *Estimate) Observe(now time.Duration, sample float64) {
	alpha := Alpha(now - e.sampledAt)
	if sample < e.speed {
		alpha = min(alpha, maxAlphaDown)
	}
	if !e.seeded {
		e.seeded, alpha = true, 1
	}
	e.speed, e.sampledAt = e.speed+alpha*(sample-e.speed), now
}

// Speed is the estimated speed; 0 until seeded.
func (e *Estimate) Speed() float64 { return e.speed }

// Seeded reports whether there has been a sample.
func (e *Estimate) Seeded() bool { return e.seeded }

// SampledAt is the time of the last sample; 0 until seeded.
func (e *Estimate) SampledAt() time.Duration { return e.sampledAt }
