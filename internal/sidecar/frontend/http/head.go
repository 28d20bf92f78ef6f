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
	maxTokenLength = 256       // maximum length of an id in a header, in bytes
	maxTimeBudget  = time.Hour // maximum time for which a client may wait
)

// parseHead parses the head of a request that has arrived at the given time. Its error is a *rejectionError. It copies
// the values whose memory fasthttp reuses after the handler.
func (s *Server) parseHead(ctx *fasthttp.RequestCtx, arrived time.Time) (relay.Request, error) {
	var none relay.Request
	h := &ctx.Request.Header
	// If two headers state the length, a server may take part of the body for another request (request smuggling).
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

// classOf returns the class named by the first element of the path, if it accepts the request's method.
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
	if (class.needsKey || key != "") && !isToken(key) { // a keyed class requires a key; any other class may carry one
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

// hasTwoLengths reports whether a head has both Content-Length and Transfer-Encoding. fasthttp uses Transfer-Encoding,
// marks the connection to be closed and drops Content-Length.
func hasTwoLengths(head []byte) bool {
	head = append([]byte("\n"), bytes.ToLower(head)...)
	return bytes.Contains(head, []byte("\ncontent-length:")) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
}

// isToken reports whether text is a valid id: non-empty visible ASCII of at most maxTokenLength bytes.
func isToken(text string) bool {
	return text != "" && len(text) <= maxTokenLength &&
		!strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// parseDuration parses a decimal number of units and accepts durations from 0 to maxTimeBudget.
func parseDuration(text []byte, unit time.Duration) (time.Duration, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 { // ParseFloat also accepts names, hexadecimal numbers and signs
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

// queueDelay returns how long the last byte of a request has waited in the socket's receive buffer. Without it, a
// sidecar that got no CPU time for a while would overestimate the client's remaining time, and answer too late.
func queueDelay(nc net.Conn) time.Duration {
	unread := socket.SinceLastReceive(nc)
	if unread > readTimeout { // no request waits for so long: the operating system does not know the delay
		return 0
	}
	return unread
}
