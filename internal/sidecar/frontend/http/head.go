package http

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/socket"
)

const (
	maxTokenLength = 256       // bytes of an id in a header
	maxTimeBudget  = time.Hour // no client waits for longer
)

// parseHead parses the head of a request that arrived at a time. The error is a *rejectionError. What fasthttp
// uses again after the handler is copied.
func (s *Server) parseHead(ctx *fasthttp.RequestCtx, arrived time.Time) (relay.Request, error) {
	var none relay.Request
	h := &ctx.Request.Header
	// With two headers for the length, a server may see another request in the body (request smuggling).
	if h.ConnectionClose() && hasTwoLengths(h.RawHeaders()) {
		ctx.SetConnectionClose()
		return none, badHead("Content-Length and Transfer-Encoding exclude one another")
	}
	target := string(h.RequestURI())
	name, class, err := s.classOf(ctx)
	if err != nil {
		return none, err
	}
	if len(h.Peek(bodyTooLongHeader)) > 0 {
		ctx.SetConnectionClose()
		return none, errTooLarge
	}
	req, err := s.parseHeaders(h, class, arrived)
	if err != nil {
		return none, err
	}
	req.Class, req.Payload.Method, req.Payload.Target = name, class.method, target
	return req, nil
}

// classOf returns the class that the first element of the path names, if it takes the request's method.
func (s *Server) classOf(ctx *fasthttp.RequestCtx) (string, *class, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	class, known := s.classes.get(name)
	if !known {
		return "", nil, &rejectionError{fasthttp.StatusNotFound, fmt.Sprintf("no class %q", name)}
	}
	if string(ctx.Request.Header.Method()) != class.method {
		ctx.Response.Header.Set("Allow", class.method)
		return "", nil, &rejectionError{fasthttp.StatusMethodNotAllowed, fmt.Sprintf("class %q takes %s", name, class.method)}
	}
	return name, class, nil
}

// parseHeaders parses the headers of a request of a class.
func (s *Server) parseHeaders(h *fasthttp.RequestHeader, class *class, arrived time.Time) (relay.Request, error) {
	var none relay.Request
	for _, name := range []string{"X-Call-Id", "Idempotency-Key", "X-Budget", "X-Caller"} {
		if len(h.PeekAll(name)) > 1 {
			return none, badHead("%s: told twice", name)
		}
	}
	callID := string(h.Peek("X-Call-Id"))
	if !isToken(callID) {
		return none, badHead("X-Call-Id: missing or malformed")
	}
	key := string(h.Peek("Idempotency-Key"))
	if (class.needsKey || key != "") && !isToken(key) { // an unsafe class may carry one; a keyed one must
		return none, badHead("Idempotency-Key: missing or malformed")
	}
	tenant := string(h.Peek("X-Caller"))
	if !s.classes.mayCall(tenant) {
		return none, badHead("X-Caller: malformed, or no tenant of the settings")
	}
	timeBudget, err := parseDuration(h.Peek("X-Budget"), time.Second)
	if err != nil || timeBudget <= 0 {
		return none, badHead("X-Budget: not a time in seconds")
	}
	var work time.Duration
	if cost := h.Peek("X-Call-Cost"); len(cost) > 0 {
		if work, err = parseDuration(cost, time.Microsecond); err != nil {
			return none, badHead("X-Call-Cost: not a time in microseconds")
		}
	}
	return relay.Request{
		Tenant: tenant, Retry: string(h.Peek("X-Again")) == "1", ExpectedWork: work, Expires: arrived.Add(timeBudget),
		Payload: &relay.Payload{ContentType: string(h.ContentType()), CallID: callID, IdempotencyKey: key},
	}, nil
}

// hasTwoLengths reports whether a head has both headers that state a length. fasthttp goes by the second one,
// marks the connection to be closed and does not keep the first.
func hasTwoLengths(head []byte) bool {
	head = append([]byte("\n"), bytes.ToLower(head)...)
	return bytes.Contains(head, []byte("\ncontent-length:")) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
}

// isToken reports whether text can be an id: visible ASCII of bounded length.
func isToken(text string) bool {
	return text != "" && len(text) <= maxTokenLength &&
		!strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// parseDuration parses a decimal number of units, up to maxTimeBudget.
func parseDuration(text []byte, unit time.Duration) (time.Duration, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 { // ParseFloat takes names, hexadecimal numbers and signs as well
		return 0, strconv.ErrSyntax
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return 0, err
	}
	if !(v >= 0 && v <= float64(maxTimeBudget/unit)) {
		return 0, strconv.ErrRange
	}
	return time.Duration(v * float64(unit)), nil
}

// queueDelay is how long the last byte of a request has waited in the operating system to be read. A sidecar that
// had no core for a while would otherwise give a client more time than it has, and answer after it has gone.
func queueDelay(nc net.Conn) time.Duration {
	unread := socket.SinceLastReceive(nc)
	if unread > readTimeout { // no request waits for so long: the system does not know
		return 0
	}
	return unread
}
