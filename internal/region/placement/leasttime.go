package placement

import "time"

const (
	// leastQuantile is the fraction of samples that a leastTime lies above.
	leastQuantile = 0.05
	// leastStep scales the fraction by which one sample moves a leastTime.
	leastStep = 0.05
	// maxRouteStates bounds the routes of a service for which state is kept.
	maxRouteStates = 4096
)

// leastTime estimates the time that something takes when nothing delays it: a low quantile of the samples. The zero value
// has no sample, and its estimate is 0.
type leastTime struct{ estimate time.Duration }

// observe moves the estimate one step towards a positive sample. The first sample becomes the estimate.
func (l *leastTime) observe(sample time.Duration) {
	switch {
	case sample <= 0:
	case l.estimate == 0:
		l.estimate = sample
	case sample > l.estimate:
		l.estimate = min(time.Duration(float64(l.estimate)*(1+leastStep*leastQuantile))+1, sample)
	default:
		l.estimate = max(time.Duration(float64(l.estimate)*(1-leastStep*(1-leastQuantile))), sample)
	}
}

// answerTail returns the least time from the first event to the end of the answer of a request.
func (s *service) answerTail(request *Request) time.Duration {
	if request.Route == nil || request.MaxOutputTokens <= 0 {
		return 0
	}
	tail := s.tails[request.Route.Name]
	if tail == nil {
		return 0
	}
	return time.Duration(request.MaxOutputTokens) * tail.estimate
}

// observeTail records the time from the first event to the end of a complete answer, per token that the request may
// generate. Requests that don't tell how many tokens they generate are ignored.
func (s *service) observeTail(request *Request, tail time.Duration) {
	if request.Route == nil || request.MaxOutputTokens <= 0 {
		return
	}
	known := s.tails[request.Route.Name]
	if known == nil {
		if len(s.tails) >= maxRouteStates {
			clear(s.tails)
		}
		known = &leastTime{}
		s.tails[request.Route.Name] = known
	}
	known.observe(tail / time.Duration(request.MaxOutputTokens))
}
