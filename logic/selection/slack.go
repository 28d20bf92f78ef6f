package selection

import "time"

const slackStart = 0.8 // the design's start

// MaxSlackAlpha bounds the weight of one request in the slack: a quiet caller's must not jump, but follow.
const MaxSlackAlpha = 0.5

// Bands are the edges of the slack's bands and the temperatures of the softmax in them.
type Bands struct {
	Low       float64 // below: the walk (the paper's B_crit)
	High      float64 // above: the wide temperature (B_high)
	TauTarget float64 // temperature from Low to High (τ_target)
	TauFull   float64 // temperature above High (τ_full)
}

// PaperBands are the paper's bands and temperatures.
var PaperBands = Bands{Low: 0.3, High: 0.8, TauTarget: 0.2, TauFull: 0.333}

// Slack is the aged share of requests answered in time.
type Slack struct {
	Bands
	Share     float64 // from 0 to 1
	sampledAt time.Duration
}

// NewSlack gives a slack at its start, 0.8.
func NewSlack(bands Bands) Slack { return Slack{Bands: bands, Share: slackStart} }

// Begin lets the ageing run from now if nothing has come yet, as at a first request; it tells whether it did.
func (s *Slack) Begin(now time.Duration) bool {
	first := s.sampledAt == 0
	if first {
		s.sampledAt = now
	}
	return first
}

// Observe takes in whether a request that ended at now was answered in time.
func (s *Slack) Observe(now time.Duration, inTime bool) {
	alpha := min(Alpha(now-s.sampledAt), MaxSlackAlpha)
	if s.Share, s.sampledAt = (1-alpha)*s.Share, now; inTime {
		s.Share += alpha
	}
}

// Temperature is that of the softmax; with walk true the walk is to be used instead.
func (s *Slack) Temperature() (tau float64, walk bool) {
	if s.Share > s.High {
		return s.TauFull, false
	}
	return s.TauTarget, s.Share < s.Low
}
