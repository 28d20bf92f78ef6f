package selection

import "time"

// initialSlack is the slack assumed before the first request.
const initialSlack = 0.8

// MaxSlackAlpha bounds the weight of one request in the slack, so that the slack of a caller with few
// requests does not change abruptly.
const MaxSlackAlpha = 0.5

// Bands are the edges of the slack's bands and the temperatures of the softmax in them.
type Bands struct {
	Low       float64 // below this slack the sorted walk is used (B_crit in Bouten et al.)
	High      float64 // above this slack the temperature is TauFull (B_high in Bouten et al.)
	TauTarget float64 // temperature from Low to High (τ_target in Bouten et al.)
	TauFull   float64 // temperature above High (τ_full in Bouten et al.)
}

// DefaultBands are the bands and temperatures that Bouten et al. propose.
var DefaultBands = Bands{Low: 0.3, High: 0.8, TauTarget: 0.2, TauFull: 0.333}

// Slack is the aged fraction of requests that were answered in time.
type Slack struct {
	Bands
	Fraction  float64 // fraction of requests answered in time, from 0 to 1
	sampledAt time.Duration
}

// NewSlack returns a slack with the given bands and the initial fraction, 0.8.
func NewSlack(bands Bands) Slack { return Slack{Bands: bands, Fraction: initialSlack} }

// Begin starts the aging at now unless it has started, and reports whether it did. A caller may call it
// with each request.
func (s *Slack) Begin(now time.Duration) bool {
	first := s.sampledAt == 0
	if first {
		s.sampledAt = now
	}
	return first
}

// Observe counts a request that ended at now, answered in time or not.
func (s *Slack) Observe(now time.Duration, inTime bool) {
	alpha := min(Alpha(now-s.sampledAt), MaxSlackAlpha)
	if s.Fraction, s.sampledAt = (1-alpha)*s.Fraction, now; inTime {
		s.Fraction += alpha
	}
}

// Temperature returns the temperature of the softmax. If walk is true, the sorted walk replaces the softmax.
func (s *Slack) Temperature() (tau float64, walk bool) {
	if s.Fraction > s.High {
		return s.TauFull, false
	}
	return s.TauTarget, s.Fraction < s.Low
}
