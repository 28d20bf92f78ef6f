package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/placement"
)

var errClientCanceled = errors.New("request canceled while waiting for a server")

// pickServer has the dispatcher pick a server for an attempt. While no server can take the request, it waits until the
// last moment at which a start is still in time for the client; placement.Placer.Place says in which order.
func (x *exchange) pickServer() (placement.Decision, error) {
	x.placement.Deadline = x.handler.dispatcher.at(x.deadline)
	x.placement.FirstEventDeadline = 0
	if silenceEnd, limited := x.silenceEnd(); limited {
		x.placement.FirstEventDeadline = x.handler.dispatcher.at(silenceEnd)
	}
	return x.handler.dispatcher.pick(x.request.Context(), &x.placement)
}

// silenceEnd returns when the client of a stream gives up if it receives no event until then. limited is false if the
// client does not give up before the deadline.
func (x *exchange) silenceEnd() (end time.Time, limited bool) {
	limit, limited := x.route.SilenceLimit()
	if !limited {
		return time.Time{}, false
	}
	if x.stream != nil && !x.stream.lastEventAt.IsZero() {
		return x.stream.lastEventAt.Add(limit), true
	}
	return x.arrivedAt.Add(limit), true
}

// noServer ends an attempt for which no server could be picked.
func (x *exchange) noServer(err error) attemptOutcome {
	if x.isCanceled() {
		return outcomeCanceled
	}
	var noServer *placement.NoServerError
	var tooLate *placement.TooLateError
	switch {
	case errors.As(err, &noServer):
		x.retryAfter = noServer.RetryAfter
		x.cannotReturn = noServer.RetryAfter == 0
	case errors.As(err, &tooLate):
		x.tooLate, x.cannotReturn = true, true
		x.handler.counters.notAdmitted.Add(1)
	}
	return outcomeNoServer
}
