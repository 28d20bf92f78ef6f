package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Just after the start of the proxy, a request waits for 1/startupWaitFraction of its time-out. The rest of the time
	// is enough for a retry at another proxy.
	startupWaitFraction = 2
	// maxStartupWait is the maximum startup wait.
	maxStartupWait = 4 * time.Second
)

// waitUntilUsable delays a request that arrives before the proxy has a configuration and servers. After a power failure or
// a kill, clients connect as soon as the port is open, and most of them have no further attempt left. The body is read
// before the wait, so that the client sees the body accepted. The request first waits for the configuration and then, with
// the route's deadline, for the server list. The returned snapshot may still be unusable.
func (h *handler) waitUntilUsable(control *http.ResponseController, request *http.Request, target string, arrived time.Time) (*snapshot, *chargedBuffer, error) {
	current := h.snapshots.load()
	body, err := h.readBodyBeforeStart(control, request, current, current.deadlineOf(request, target, arrived))
	if err != nil {
		return current, nil, err
	}
	h.counters.startupWaits.Add(1)
	for _, condition := range []func(*snapshot) bool{(*snapshot).configured, (*snapshot).usable} {
		timeout := current.deadlineOf(request, target, arrived).Sub(arrived)
		end := arrived.Add(min(timeout/startupWaitFraction, maxStartupWait))
		current = h.snapshots.waitFor(request.Context(), end, condition)
	}
	return current, body, nil
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
