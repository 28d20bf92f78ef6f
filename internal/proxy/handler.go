package proxy

import (
	"net/http"
	"time"

	"fieldrelay/internal/policy"
	"fieldrelay/internal/proxy/upstream"
	"fieldrelay/internal/route"
)

const (
	// retryAfterNoConfiguration is told to clients while no configuration is held yet.
	retryAfterNoConfiguration = 200 * time.Millisecond
	// retryAfterShort is told where a new try may succeed at once, here or at another proxy.
	retryAfterShort = 50 * time.Millisecond
	// writeSlack is how long after the deadline an answer may still be written to a client that reads slowly. What a
	// machine holds a quarter of a second past its route's deadline has a price, half a second breaks a rule.
	writeSlack = 200 * time.Millisecond
	// retrySlack is how much less than the route's deadline a client's first try may tell: its way here takes
	// time. Later tries tell what is left, which is less by the answer to the first one at least.
	retrySlack = 60 * time.Millisecond
	// longestDeadline bounds what a client or a route may ask for.
	longestDeadline = 10 * time.Minute
)

// handler serves the requests of clients.
type handler struct {
	snapshots  *snapshotStore
	lifecycle  *lifecycle
	dispatcher *dispatcher
	announcer  *announcer // nil: nothing is announced
	pool       *upstream.Pool
	memory     *memoryLimit
	counters   *counters
	random     func() float64 // uniform in [0, 1)
	disabled   policy.Switches
}

// ServeHTTP answers one request. Where an answer has to end early, the client's connection ends with it, so
// that the answer can't look whole.
func (h *handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	h.counters.requests.Add(1)
	h.counters.active.Add(1)
	defer h.counters.active.Add(-1)
	exchange, refusal := h.prepare(writer, request, arrived)
	if refusal != nil {
		h.reject(writer, refusal)
		return
	}
	defer exchange.freeBody()
	if !exchange.run() {
		abortConnection(writer, request)
	}
}

// prepare reads a request whole and finds its route. The body is read before anything else is decided, so
// that the connection stays usable and an attempt is always whole.
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
		arrived:   received.readyAt,
		deadline:  received.deadline,
		attempts:  attemptLog{idempotent: matched.IsIdempotent(), maxAttempts: max(matched.MaxAttempts, 1)},
	}, nil
}

// intake is a request that was read whole, with its route.
type receivedRequest struct {
	route    *route.Route
	body     *chargedBuffer // nil: none
	readyAt  time.Time      // from which on it could be passed on
	deadline time.Time
}

// receive reads the body and finds the route; a proxy that has just started first waits until it can.
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
	found, ok := current.table.Lookup(request.Host, pathOf(target))
	if !ok {
		return received, errNoRoute
	}
	received.route = found
	received.deadline = arrived.Add(timeoutFor(request.Header, found))
	_ = control.SetWriteDeadline(received.deadline.Add(writeSlack))
	if !waited {
		received.body, err = h.readBody(control, request, current.table.RequestLimits().MaxBodyBytes, received.deadline)
	}
	return received, err
}

// checkSequence checks that a request uses no older snapshot than those before it: floor was read when it came.
func (h *handler) checkSequence(current *snapshot, usedBefore uint64) {
	if current.sequence < usedBefore {
		h.counters.staleReads.Add(1)
	}
	h.snapshots.usedSequence.raise(current.sequence)
}
