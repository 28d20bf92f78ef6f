package http

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/relay"
)

// Charges of a request to the byte budget, and bounds on its wait for them.
const (
	requestBytes = 4 << 10 // charge for a request's head and its state in the relay, the module and a server's connection
	// maxWaitFraction is the fraction of its time budget that a request may wait for the byte budget. A rejection
	// after half of that time, with nothing sent, would cost the client more than an early rejection.
	maxWaitFraction = 0.45
	// minTimeLeftPerWork times the expected work, if stated, must be left after the wait: a request that is only just
	// served in time looks as if the whole fleet was slow to answer.
	minTimeLeftPerWork = 2.5
	initialBodyBytes   = 4 << 10 // first charge for a chunked body
	bodyGrowth         = 4       // factor of each later charge for a chunked body
)

// readBody charges a request to the byte budget and then reads its body, which stays in the socket's receive buffer
// until the budget admits it. The error is a *rejectionError or a read error. If there is none, the request owns the
// charge.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, conn *watchedConn, req *relay.Request) (err error) {
	length := max(ctx.Request.Header.ContentLength(), -1) // below 0: chunked
	stream := ctx.RequestBodyStream()
	if stream == nil {
		length = 0
	}
	now := time.Now()
	c := s.newBodyCharge(req, length, now)
	if err := c.enter(); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			c.charge.Release()
		} else {
			req.Payload.Charge = c.charge
		}
	}()
	if length == 0 {
		return nil
	}
	entered := time.Now()
	if entered.Sub(now) > time.Millisecond { // the client did not cause the wait
		setReadDeadline(conn.Conn, entered.Add(readTimeout))
	}
	conn.setReceiving(true)
	defer conn.setReceiving(false)
	if length > 0 {
		req.Payload.Body = make([]byte, length)
		_, err = io.ReadFull(stream, req.Payload.Body)
		return err
	}
	req.Payload.Body, err = c.readChunks(stream)
	return err
}

// bodyCharge is the charge of a request while its body is read.
type bodyCharge struct {
	gate        *budget.Gate
	reservation budget.Reservation
	until       time.Time // end of the wait for the byte budget
	charge      *budget.Charge
}

// newBodyCharge prepares the charge of a request with a body of the given length, which is negative if unknown.
func (s *Server) newBodyCharge(req *relay.Request, length int, now time.Time) bodyCharge {
	r := budget.Reservation{Kind: budget.Requests, Bytes: requestBytes + int64(length), Value: s.classes.value(req.Class)}
	if length < 0 {
		r.Bytes = requestBytes + initialBodyBytes
	}
	left := req.Expires.Sub(now)
	longestWait := min(time.Duration(maxWaitFraction*float64(left)),
		left-time.Duration(minTimeLeftPerWork*float64(req.ExpectedWork)))
	return bodyCharge{gate: s.options.Gate, reservation: r, until: now.Add(longestWait)}
}

// enter waits until the budget grants the current reservation and sets the charge, or returns errNoMemory and leaves the
// charge unchanged.
func (c *bodyCharge) enter() error {
	charge, err := c.gate.Reserve(c.reservation, c.until, nil)
	if err != nil {
		return errNoMemory
	}
	c.charge = charge
	return nil
}

// readChunks reads a body of unknown length and raises its charge as the body grows.
func (c *bodyCharge) readChunks(stream io.Reader) ([]byte, error) {
	body := make([]byte, 0, initialBodyBytes)
	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case len(body) > relay.MaxBodySize:
			return nil, errTooLarge
		}
		size := min(bodyGrowth*cap(body), relay.MaxBodySize+1)
		c.reservation.Bytes, c.reservation.Extends = requestBytes+int64(size), true
		previous := c.charge
		if err := c.enter(); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, size), body...)
		previous.Release()
	}
}

// bodyTooLongHeader marks the head of a request whose body will not be read.
const bodyTooLongHeader = "X-Body-Too-Long"

// skipLongBody keeps fasthttp from waiting for the first byte of a body that is rejected because of its stated length.
func skipLongBody(h *fasthttp.RequestHeader) (unchanged fasthttp.RequestConfig) {
	if h.ContentLength() > relay.MaxBodySize {
		h.SetContentLength(0)
		h.Set(bodyTooLongHeader, "1")
	}
	return unchanged
}
