package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
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

// abortConnection ends a client's connection in the middle of an answer. An answer with a length or in chunks is seen
// to be cut; one that a client of HTTP/1.0 gets may end with the connection, so that this must be reset.
func abortConnection(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			if socket, ok := conn.(*net.TCPConn); ok {
				_ = socket.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// refusal is an answer of the proxy's own to a request that was not passed on.
type rejection struct {
	status          int
	retryAfter      time.Duration // 0: not told
	closeConnection bool          // the connection can't be used any longer
}

// drainRejection is the answer to a request that comes too late in a drain.
var drainRejection = &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterShort, closeConnection: true}

// refuse writes an answer of the proxy's own. It goes out however late it comes.
func (h *handler) reject(writer http.ResponseWriter, response *rejection) {
	h.counters.countOwnResponse(response.status)
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeSlack))
	header := writer.Header()
	suppressDefaults(header)
	if response.retryAfter > 0 {
		header["Retry-After"] = []string{retryAfter(response.retryAfter)}
	}
	header["Content-Length"] = []string{"0"}
	if response.closeConnection || h.lifecycle.draining() {
		setConnectionClose(header)
	}
	writer.WriteHeader(response.status)
}

// setConnectionClose ends the client's connection after the answer.
func setConnectionClose(header http.Header) { header["Connection"] = []string{"close"} }

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

var (
	errNoConfiguration = errors.New("no configuration is held")
	errNoRoute         = errors.New("no route")
	errLimitsUnknown   = errors.New("the request is larger than is taken before a configuration tells its bounds")
)

// rejectionOf is the answer to a request that was not taken in.
func rejectionOf(err error) *rejection {
	switch {
	case errors.Is(err, errNoRoute):
		return &rejection{status: http.StatusNotFound}
	case errors.Is(err, errNoConfiguration):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoConfiguration}
	case errors.Is(err, errLimitsUnknown):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoConfiguration, closeConnection: true}
	case errors.Is(err, errBodyTooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, closeConnection: true}
	case errors.Is(err, errNoMemory):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterShort, closeConnection: true}
	default:
		return &rejection{status: http.StatusRequestTimeout, closeConnection: true}
	}
}

// attemptIDOf returns the id of a request; there must be exactly one.
func attemptIDOf(header http.Header) (string, bool) {
	values := header[headerAttemptID]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// timeoutFor is how long a request may be held: what the client waits, but no longer than the route allows.
func timeoutFor(header http.Header, matched *route.Route) time.Duration {
	requested := clientTimeout(header)
	if matched.Deadline > 0 {
		return min(requested, matched.Deadline)
	}
	return requested
}

// clientTimeout is how long a client says that it waits, at most longestDeadline.
func clientTimeout(header http.Header) time.Duration {
	values := header[headerDeadline]
	if len(values) == 0 {
		return longestDeadline
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || milliseconds < 0 || milliseconds > float64(longestDeadline/time.Millisecond) {
		return longestDeadline
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// placementRequest tells placement what the headers of a request say about its size.
func placementRequest(header http.Header, matched *route.Route, draw float64, arrived time.Duration) placement.Request {
	request := placement.Request{
		Route:   matched,
		Service: matched.PickService(draw),
		Model:   header.Get(headerModel),
		Arrived: arrived,
	}
	request.Returned = clientTimeout(header)+retrySlack < matched.Deadline
	request.Prompt, request.Generate = tokenCounts(header.Get(headerTokenCount))
	if chunks := header.Get(headerPromptPrefix); chunks != "" {
		// A list that can't be read only means that nothing is known of kept parts.
		request.Chunks, _ = placement.ParseChunks(chunks, nil)
	}
	return request
}

// tokenCounts reads X-Fieldrelay-Token-Count: the prompt's tokens, and the most that are generated.
func tokenCounts(value string) (prompt, generate int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	generate, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(generate, 0)
}
