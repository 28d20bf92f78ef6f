package proxy

import (
	"net/http"
	"time"

	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
)

// writeSlack is how long after the deadline a response may still be written to a client that reads slowly. By the
// rules a request that lasts a quarter of a second past its route's deadline costs, and half a second is a violation.
const writeSlack = 200 * time.Millisecond

// handler serves the requests of clients. It is safe for concurrent use.
type handler struct {
	snapshots  *snapshotStore
	lifecycle  *lifecycle
	dispatcher *dispatcher
	announcer  *announcer // nil: announcements are off
	pool       *upstream.Pool
	memory     *memoryLimit
	counters   *counters
	random     func() float64 // uniform in [0, 1)
	disabled   policy.Switches
}

// ServeHTTP serves one request. If the response has to end early, the client's connection is aborted, so that the
// response can't look complete.
func (h *handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	h.counters.requests.Add(1)
	h.counters.active.Add(1)
	defer h.counters.active.Add(-1)
	exchange, rejected := h.prepare(writer, request, arrived)
	if rejected != nil {
		h.reject(writer, rejected)
		return
	}
	defer exchange.freeBody()
	if !exchange.run() {
		abortConnection(writer, request)
	}
}

// prepare reads a request completely and finds its route. The body is read before anything else is decided, so that
// the connection stays usable and each attempt sends a complete request. The caller frees the body of the exchange.
func (h *handler) prepare(writer http.ResponseWriter, request *http.Request, arrived time.Time) (*exchange, *rejection) {
	attemptID, hasID := attemptIDOf(request.Header)
	target, hasPath := originForm(request.RequestURI)
	if !hasID || !hasPath {
		return nil, &rejection{status: http.StatusBadRequest}
	}
	if h.lifecycle.phase() >= phaseRejecting {
		return nil, drainRejection
	}
	control := http.NewResponseController(writer)
	received, err := h.receive(control, request, target, arrived)
	if err != nil {
		return nil, rejectionOf(err)
	}
	if !h.lifecycle.accepts(time.Now(), received.deadline) {
		received.body.free()
		return nil, drainRejection
	}
	matched := received.route
	return &exchange{
		handler:   h,
		client:    writer,
		request:   request,
		target:    target,
		attemptID: attemptID,
		route:     matched,
		placement: placementRequest(request.Header, matched, h.random(), h.dispatcher.at(received.readyAt)),
		body:      received.body,
		readyAt:   received.readyAt,
		deadline:  received.deadline,
		attempts:  attemptLog{idempotent: matched.IsIdempotent(), maxAttempts: max(matched.MaxAttempts, 1)},
	}, nil
}

// receivedRequest is a request that was read completely, with its route.
type receivedRequest struct {
	route    *route.Route
	body     *chargedBuffer // nil: none
	readyAt  time.Time      // when it could be forwarded: after a startup wait
	deadline time.Time
}

// receive reads the body and finds the route. Just after the start of the proxy it first waits until it can, see
// waitUntilUsable.
func (h *handler) receive(control *http.ResponseController, request *http.Request, target string, arrived time.Time) (received receivedRequest, err error) {
	usedBefore := h.snapshots.usedSequence.floor()
	current := h.snapshots.load()
	received.readyAt = arrived
	waited := !current.usable()
	if waited {
		if current, received.body, err = h.waitUntilUsable(control, request, target, arrived); err != nil {
			return received, err
		}
		received.readyAt = time.Now()
	}
	defer func() {
		if err != nil {
			received.body.free()
		}
	}()
	h.checkSequence(current, usedBefore)
	if !current.configured() {
		return received, errNoConfiguration
	}
	matched, ok := current.table.Lookup(request.Host, pathOf(target))
	if !ok {
		return received, errNoRoute
	}
	received.route = matched
	received.deadline = arrived.Add(timeoutFor(request.Header, matched))
	_ = control.SetWriteDeadline(received.deadline.Add(writeSlack))
	if !waited {
		received.body, err = h.readBody(control, request, current.table.RequestLimits().MaxBodyBytes, received.deadline)
	}
	return received, err
}

// checkSequence counts a request that uses an older snapshot than an earlier one did, which must never happen.
// usedBefore was read when the request arrived.
func (h *handler) checkSequence(current *snapshot, usedBefore uint64) {
	if current.sequence < usedBefore {
		h.counters.staleReads.Add(1)
	}
	h.snapshots.usedSequence.raise(current.sequence)
}
