package http

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
)

// head reads the head of a request. What fasthttp uses again after the handler is copied.
func (f *Server) parseHead(ctx *fasthttp.RequestCtx, arrived time.Time) (relay.Request, int, error) {
	var none relay.Request
	h := &ctx.Request.Header
	// Where two headers tell the length, an execute node may see another request in the body.
	if h.ConnectionClose() && hasTwoLengths(h.RawHeaders()) {
		ctx.SetConnectionClose()
		return none, fasthttp.StatusBadRequest, errors.New("Content-Length and Transfer-Encoding exclude one another")
	}
	target := string(h.RequestURI())
	name, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	class, known := f.classes.get(name)
	if !known {
		return none, fasthttp.StatusNotFound, fmt.Errorf("no class %q", name)
	}
	if string(h.Method()) != class.method {
		ctx.Response.Header.Set("Allow", class.method)
		return none, fasthttp.StatusMethodNotAllowed, fmt.Errorf("class %q takes %s", name, class.method)
	}
	if len(h.Peek(bodyTooLongHeader)) > 0 {
		ctx.SetConnectionClose()
		return none, fasthttp.StatusRequestEntityTooLarge, errTooLarge
	}
	bad := fasthttp.StatusBadRequest
	for _, name := range []string{"X-Call-Id", "Idempotency-Key", "X-Budget", "X-Caller"} {
		if len(h.PeekAll(name)) > 1 {
			return none, bad, errors.New(name + ": told twice")
		}
	}
	callID := string(h.Peek("X-Call-Id"))
	if !isToken(callID) {
		return none, bad, errors.New("X-Call-Id: missing or malformed")
	}
	key := string(h.Peek("Idempotency-Key"))
	if (class.needsKey || key != "") && !isToken(key) { // a single-shot class may carry one; a keyed one must
		return none, bad, errors.New("Idempotency-Key: missing or malformed")
	}
	caller := string(h.Peek("X-Caller"))
	if !f.classes.mayCall(caller) {
		return none, bad, errors.New("X-Caller: malformed, or no tenant of the settings")
	}
	budget, err := parseDuration(h.Peek("X-Budget"), time.Second)
	if err != nil || budget <= 0 {
		return none, bad, errors.New("X-Budget: not a time in seconds")
	}
	var hint time.Duration
	if cost := h.Peek("X-Call-Cost"); len(cost) > 0 {
		if hint, err = parseDuration(cost, time.Microsecond); err != nil {
			return none, bad, errors.New("X-Call-Cost: not a time in microseconds")
		}
	}
	return relay.Request{
		Class: name, Tenant: caller, Retry: string(h.Peek("X-Again")) == "1", ExpectedWork: hint, Expires: arrived.Add(budget),
		Payload: &relay.Payload{Method: class.method, Target: target, ContentType: string(h.ContentType()),
			CallID: callID, IdempotencyKey: key},
	}, 0, nil
}

// hasTwoLengths tells whether a head names both headers that tell a length. fasthttp goes by the second one, marks
// the connection to be closed and does not keep the first.
func hasTwoLengths(head []byte) bool {
	head = append([]byte("\n"), bytes.ToLower(head)...)
	return bytes.Contains(head, []byte("\ncontent-length:")) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
}

// token tells whether text can be an id: visible ASCII, and not without end.
func isToken(text string) bool {
	return text != "" && len(text) <= maxTokenLength &&
		!strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// span reads a time that is told as a decimal number of units.
func parseDuration(text []byte, unit time.Duration) (time.Duration, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 { // else names, hexadecimal numbers and signs would do
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

// lag tells how long the last byte of a request has lain in the system before now. A sidecar that had no core for
// a while would otherwise give a submitter more time than it has, and answer after it has left.
func queueDelay(nc net.Conn) time.Duration {
	unread := socket.Quiet(nc)
	if unread > readTimeout { // no request lies for so long: the system does not know
		return 0
	}
	return unread
}
