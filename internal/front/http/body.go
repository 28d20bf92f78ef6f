package http

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/relay"
)

// What is charged to the budget, beside bodies and answers.
const (
	requestBytes = 4 << 10 // a job's head and its bookkeeping in the relay, the module and a node
	// maxWaitFraction is the part of its time that a request may wait for bytes: refused after half of it, with nothing sent,
	// it would have cost its submitter more than a refusal.
	maxWaitFraction = 0.45
	// Where its work is told, so many times of that must be left: a job that can only just be served passes for one that
	// the whole fleet was slow to answer.
	minTimeLeftPerWork = 2.5
	initialBodyBytes   = 4 << 10 // the first charge for a body in chunks; later ones are bodyGrowth times as large
	bodyGrowth         = 4
	minValue           = 0.01 // of a class that tells none
)

// body charges a request and reads its body, which stays in the system until there is room for it. An error without
// a code is one of reading.
func (f *Server) readBody(ctx *fasthttp.RequestCtx, conn *watchedConn, job *relay.Request) (code int, err error) {
	length := max(ctx.Request.Header.ContentLength(), -1)
	stream := ctx.RequestBodyStream()
	if stream == nil {
		length = 0
	}
	now := time.Now()
	ask := budget.Ask{Kind: budget.Jobs, Bytes: requestBytes + int64(length), Worth: f.classes.value(job.Class)}
	if length < 0 {
		ask.Bytes = requestBytes + initialBodyBytes
	}
	left := job.Expires.Sub(now)
	until := now.Add(min(time.Duration(maxWaitFraction*float64(left)), left-time.Duration(minTimeLeftPerWork*float64(job.ExpectedWork))))
	held, err := f.options.Gate.Enter(ask, until, nil)
	if err != nil {
		return fasthttp.StatusServiceUnavailable, errNoMemory
	}
	defer func() {
		if err != nil {
			held.Release()
		} else {
			job.Payload.Charge = held
		}
	}()
	if stream == nil || length == 0 {
		return 0, nil
	}
	waited := time.Now()
	if waited.Sub(now) > time.Millisecond { // that was no fault of the submitter
		conn.Conn.SetReadDeadline(waited.Add(readTimeout))
	}
	conn.setReceiving(true)
	defer conn.setReceiving(false)
	if length > 0 {
		job.Payload.Body = make([]byte, length)
		_, err = io.ReadFull(stream, job.Payload.Body)
		return 0, err
	}
	// In chunks: nothing tells how long it will be.
	body := make([]byte, 0, initialBodyBytes)
	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			job.Payload.Body = body
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		if len(body) < cap(body) {
			continue
		}
		if len(body) > relay.MaxBodySize {
			return fasthttp.StatusRequestEntityTooLarge, errTooLarge
		}
		size := min(bodyGrowth*cap(body), relay.MaxBodySize+1)
		ask.Bytes, ask.Grown = requestBytes+int64(size), true
		more, err := f.options.Gate.Enter(ask, until, nil)
		if err != nil {
			return fasthttp.StatusServiceUnavailable, errNoMemory
		}
		body = append(make([]byte, 0, size), body...)
		held.Release()
		held = more
	}
}

// bodyTooLongHeader marks the head of a request whose body is not going to be read.
const bodyTooLongHeader = "X-Body-Too-Long"

// skipLongBody keeps fasthttp from waiting for the first byte of a body that is refused by its length alone.
func skipLongBody(h *fasthttp.RequestHeader) (unchanged fasthttp.RequestConfig) {
	if h.ContentLength() > relay.MaxBodySize {
		h.SetContentLength(0)
		h.Set(bodyTooLongHeader, "1")
	}
	return unchanged
}
