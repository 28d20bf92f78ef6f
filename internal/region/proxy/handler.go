package proxy

import (
	"net/http"
	"time"

	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
)

// writeSlack is how long after the deadline a response may still be written to a client that reads slowly. A request that
// has no final answer 500 ms after its route's deadline breaks a rule (CONFIG in docs/region/rules.md).
const writeSlack = 200 * time.Millisecond

// handler serves the requests of clients. It is safe for concurrent use.
type handler struct {
	snapshots  *snapshotStore
	lifecycle  *lifecycle
	dispatcher *dispatcher
	announcer  *announcer // nil if announcements are disabled
	pool       *upstream.Pool
	roundTrips *roundTrips
	durations  *routeDurations
	memory     *memoryLimit
	counters   *counters
	random     func() float64 // uniform in [0, 1)
	disabled   policy.Switches
}

// ServeHTTP serves one request. If the response is incomplete, ServeHTTP aborts the client's connection, so that the
// client can't take the response for a complete one.
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

// prepare reads a request completely and finds its route. The body is read before a server is picked, so that the
// client's connection stays usable and each attempt sends a complete request. The caller frees the body of the exchange.
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
	now := time.Now()
	if !h.lifecycle.accepts(now, h.durations.expectedEnd(received.route.Name, now, received.deadline), received.deadline) {
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
		placement: placementRequest(request.Header, matched, h.random()),
		body:      received.body,
		arrivedAt: arrived,
		readyAt:   received.readyAt,
		deadline:  received.deadline,
		attempts:  attemptLog{idempotent: matched.IsIdempotent(), maxAttempts: max(matched.MaxAttempts, 1)},
	}, nil
}

// receivedRequest describes a request that was read completely.
type receivedRequest struct {
	route    *route.Route
	body     *chargedBuffer // nil if the request has no body
	readyAt  time.Time      // arrival of the request, or the end of its startup wait
	deadline time.Time
}

// receive reads the body and finds the route. Just after the start of the proxy it first waits for a configuration and
// servers; see waitUntilUsable.
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

// checkSequence counts a request that uses an older snapshot than an earlier request, which must never happen.
// usedBefore is the highest sequence that requests had used when this one arrived.
func (h *handler) checkSequence(current *snapshot, usedBefore uint64) {
	if current.sequence < usedBefore {
		h.counters.staleReads.Add(1)
	}
	h.snapshots.usedSequence.raise(current.sequence)
}
