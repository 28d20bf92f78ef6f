package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// clientConnectTime is the time that clients give a new connection to come up (the operators' page PROTOCOL, Answers). A
// client that is refused this long before its time is over can still be served by another proxy.
const clientConnectTime = time.Second

// waitUntilUsable delays a request that arrives before the proxy has a configuration and servers. After a power failure or
// a kill, clients connect as soon as the port is open. The body is read before the wait, so that the client sees the body
// accepted. The request first waits for the configuration and then, with what its route says, for the server list. The
// returned snapshot may still be unusable.
func (h *handler) waitUntilUsable(control *http.ResponseController, request *http.Request, target string, arrived time.Time) (*snapshot, *chargedBuffer, error) {
	current := h.snapshots.load()
	body, err := h.readBodyBeforeStart(control, request, current, current.deadlineOf(request, target, arrived))
	if err != nil {
		return current, nil, err
	}
	h.counters.startupWaits.Add(1)
	for _, condition := range []func(*snapshot) bool{(*snapshot).configured, (*snapshot).usable} {
		end := startupWaitEnd(arrived, current.giveUpTime(request, target, arrived))
		current = h.snapshots.waitFor(request.Context(), end, condition)
	}
	return current, body, nil
}

// startupWaitEnd returns the time until which a request waits for the proxy to become usable, given when it arrived and
// when its client gives up. Whether the proxy becomes usable in time is not known, so the client gets the answer while it
// can still go to another proxy. A client that has no time for that gains nothing by an earlier answer.
func startupWaitEnd(arrived, giveUp time.Time) time.Time {
	if refusal := giveUp.Add(-clientConnectTime); refusal.After(arrived) {
		return refusal
	}
	return giveUp
}

// readBodyBeforeStart reads a body within the limits in force. Before the first configuration, a body that exceeds the
// default limit is rejected with 503 rather than 413, because the configuration may have a higher limit.
func (h *handler) readBodyBeforeStart(control *http.ResponseController, request *http.Request, current *snapshot, deadline time.Time) (*chargedBuffer, error) {
	body, err := h.readBody(control, request, current.table.RequestLimits().MaxBodyBytes, deadline)
	if errors.Is(err, errBodyTooLarge) && !current.configured() {
		err = errLimitsUnknown
	}
	return body, err
}
