package http

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/relay"
)

// discardTimeout bounds the discarding of the rest of a rejected body before its connection is closed.
const discardTimeout = 250 * time.Millisecond

// rejectionError is the error of a request that is answered without being submitted to the relay.
type rejectionError struct {
	status int
	reason string // body of the answer
}

// Error returns the reason that is sent to the client.
func (e *rejectionError) Error() string { return e.reason }

// badHead returns the rejection of a malformed head.
func badHead(format string, args ...any) error {
	return &rejectionError{fasthttp.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var (
	// errNoMemory is the error of a request that the byte budget did not admit in time.
	errNoMemory = &rejectionError{fasthttp.StatusServiceUnavailable, "short of memory"}
	errTooLarge = &rejectionError{fasthttp.StatusRequestEntityTooLarge, "body over 64 KiB"}
)

// reject answers a request that is not submitted. Any error other than a rejectionError is an error of reading the body.
func (s *Server) reject(ctx *fasthttp.RequestCtx, conn *watchedConn, err error) {
	var rejection *rejectionError
	if errors.As(err, &rejection) {
		stream := ctx.RequestBodyStream()
		if rejection == errNoMemory && stream != nil && s.listener.Load().memoryShort.Load() {
			// Other clients wait for this connection, so it is closed. Unread bytes at the close would reset the
			// connection and destroy the answer.
			setReadDeadline(conn.Conn, time.Now().Add(discardTimeout))
			_, _ = io.Copy(io.Discard, stream) // an error does not matter: the body is not needed
			ctx.SetConnectionClose()
		}
		ctx.Error(rejection.reason, rejection.status)
		if rejection == errNoMemory {
			s.adviseRetryAfter(ctx)
		}
	} else {
		badRequest(ctx, err)
		ctx.SetConnectionClose()
	}
	// Bounds the time for which fasthttp reads the rest of the body after the answer.
	setReadDeadline(conn.Conn, time.Now().Add(readTimeout))
}

// rejectOverLimit answers a request that the fleet's limits do not admit.
func (s *Server) rejectOverLimit(ctx *fasthttp.RequestCtx, req relay.Request, after time.Duration) {
	req.Payload.Charge.Release()
	ctx.Error("over a limit", fasthttp.StatusServiceUnavailable)
	if limits := s.options.Limits; limits.RetryAfter {
		if limits.MaxRetryAfter > 0 {
			after = min(after, limits.MaxRetryAfter)
		}
		setRetryAfter(ctx, after)
	}
	s.options.Metrics.Count(req.Class, metrics.Busy)
	if s.endsConns() {
		ctx.SetConnectionClose()
	}
}

// adviseRetryAfter sets Retry-After for a request that the byte budget did not admit.
func (s *Server) adviseRetryAfter(ctx *fasthttp.RequestCtx) {
	if !s.options.Limits.RetryAfter {
		return
	}
	after := s.options.Gate.RetryAfter(requestBytes + int64(max(ctx.Request.Header.ContentLength(), 0)))
	if longest := s.options.Limits.MaxRetryAfter; longest > 0 {
		after = min(after, longest)
	}
	if after > 0 {
		setRetryAfter(ctx, after)
	}
}

// setRetryAfter sets Retry-After, in seconds with three decimals.
func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// badRequest answers a request that is malformed or does not arrive completely in time.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		ctx.Error("request not whole in time", fasthttp.StatusRequestTimeout)
		return
	}
	ctx.Error("malformed request", fasthttp.StatusBadRequest)
}
