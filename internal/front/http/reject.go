package http

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// errNoMemory tells that the budget had no room for a request in time.
var errNoMemory = errors.New("short of memory")

var errTooLarge = errors.New("body over 64 KiB")

// reject answers a request that becomes no job.
func (f *Server) reject(ctx *fasthttp.RequestCtx, conn *watchedConn, code int, err error) {
	switch {
	case code != 0:
		if stream := ctx.RequestBodyStream(); errors.Is(err, errNoMemory) && stream != nil && f.listener.Load().memoryShort.Load() {
			// Others wait to be heard. What is unread when a connection closes would take the answer with it.
			conn.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
			io.Copy(io.Discard, stream)
			ctx.SetConnectionClose()
		}
		ctx.Error(err.Error(), code)
		if errors.Is(err, errNoMemory) {
			f.adviseRetryAfter(ctx)
		}
	default: // the body cannot be read
		badRequest(ctx, err)
		ctx.SetConnectionClose()
	}
	// What is left of the body is passed over behind the answer, for a while.
	conn.Conn.SetReadDeadline(time.Now().Add(readTimeout))
}

// advise tells when a request that found no room had better come again.
func (f *Server) adviseRetryAfter(ctx *fasthttp.RequestCtx) {
	if !f.options.Limits.RetryAfter {
		return
	}
	after := f.options.Gate.Advice(requestBytes + int64(max(ctx.Request.Header.ContentLength(), 0)))
	if most := f.options.Limits.MaxRetryAfter; most > 0 {
		after = min(after, most)
	}
	if after > 0 {
		setRetryAfter(ctx, after)
	}
}

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// badRequest answers what cannot be read as a request.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		ctx.Error("request not whole in time", fasthttp.StatusRequestTimeout)
		return
	}
	ctx.Error("malformed request", fasthttp.StatusBadRequest)
}
