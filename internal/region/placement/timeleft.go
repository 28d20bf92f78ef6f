package placement

import (
	"fmt"
	"math"
	"time"
)

// Times of a request that its caller sets, and the work that is left until it is answered. A request is owed an answer
// while the time left is at least the work left; neither its latency target nor the number of its attempts matters.

// TooLateError reports that a request can't be answered in the time that its client has left, whichever server takes it.
type TooLateError struct {
	Service  string
	TimeLeft time.Duration // time until the client stops waiting
	WorkLeft time.Duration // least time that an answer takes
}

// Error implements error.
func (e *TooLateError) Error() string {
	return fmt.Sprintf("placement: a request for service %s needs %v, and its client waits %v", e.Service, e.WorkLeft, e.TimeLeft)
}

// neverTooLate is the latest start of a request whose client waits without a limit.
const neverTooLate = time.Duration(math.MaxInt64)

// latestStart returns the last instant at which a server may start a request so that the client receives the answer in
// the time that it waits: the first event by FirstEventDeadline, and the whole answer by Deadline. It assumes an idle
// server that has the prompt's shared chunks cached, since such a place may still come free. The buffers then hold the
// prompt of the request.
func (p *Placer) latestStart(request *Request) time.Duration {
	var firstEvent, tail time.Duration
	p.buffers.prompt.reset(request)
	if owner := p.services[request.Service]; owner != nil {
		firstEvent, tail = owner.leastFirstEvent(&p.buffers.prompt), owner.answerTail(request)
	}
	latest := neverTooLate
	if request.Deadline > 0 {
		latest = request.Deadline - firstEvent - tail
	}
	if request.FirstEventDeadline > 0 {
		latest = min(latest, request.FirstEventDeadline-firstEvent)
	}
	return latest
}

// timeLeft returns the time until the client stops waiting for the request's next event or for the end of its answer,
// whichever comes first. The request must have at least one of the two deadlines.
func (r *Request) timeLeft(now time.Duration) time.Duration {
	end := r.Deadline
	if end == 0 || (r.FirstEventDeadline > 0 && r.FirstEventDeadline < end) {
		end = r.FirstEventDeadline
	}
	return end - now
}

// leastFirstEvent returns the least time to the first event of a prompt.
func (s *service) leastFirstEvent(q *prompt) time.Duration {
	if !s.servesModel() {
		return s.leastLatency.estimate
	}
	return idleLatency(s, q)
}
