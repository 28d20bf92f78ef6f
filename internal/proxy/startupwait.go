package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startupWaitFraction is the part (one in startupWaitFraction) of the time a client has left for which a proxy that has just
	// started keeps its request. The rest is enough for another try elsewhere.
	startupWaitFraction = 2
	// maxStartupWait bounds that time.
	maxStartupWait = 4 * time.Second
)

// waitUntilUsable keeps a request that came before the proxy has what it serves by: after a loss of power or a
// kill, clients come as soon as the port is open, and most have no other try left. Its body is read first, so
// that the client sees it taken. The snapshot it returns may still be unusable.
func (h *handler) waitUntilUsable(control *http.ResponseController, request *http.Request, target string, arrived time.Time) (*snapshot, *chargedBuffer, error) {
	current := h.snapshots.load()
	body, err := h.readBodyBeforeStart(control, request, current, current.deadlineOf(request, target, arrived))
	if err != nil {
		return current, nil, err
	}
	h.counters.startupWaits.Add(1)
	for _, enough := range []func(*snapshot) bool{(*snapshot).configured, (*snapshot).usable} {
		left := current.deadlineOf(request, target, arrived).Sub(arrived)
		end := arrived.Add(min(left/startupWaitFraction, maxStartupWait))
		current = h.snapshots.waitFor(request.Context(), end, enough)
	}
	return current, body, nil
}

// readBodyBeforeStart reads a body within the bounds in force. A proxy that knows no configuration refuses no body as too
// large for good: the configuration may allow it.
func (h *handler) readBodyBeforeStart(control *http.ResponseController, request *http.Request, current *snapshot, deadline time.Time) (*chargedBuffer, error) {
	body, err := h.readBody(control, request, current.table.RequestLimits().MaxBodyBytes, deadline)
	if errors.Is(err, errBodyTooLarge) && !current.configured() {
		err = errLimitsUnknown
	}
	return body, err
}
