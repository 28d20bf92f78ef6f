package http

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/socket"
)

// handle handles one request, including /ready.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/ready" {
		s.answerReady(ctx)
		return
	}
	conn := ctx.Conn().(*watchedConn)
	conn.releaseAnswer()
	conn.setReceiving(false)
	req, err := s.parseHead(ctx, time.Now().Add(-queueDelay(conn.Conn)))
	if err == nil {
		err = s.readBody(ctx, conn, &req)
	}
	if err != nil {
		if errors.Is(err, errNoMemory) {
			s.options.Metrics.Count(req.Class, metrics.Busy)
		}
		s.reject(ctx, conn, err)
		return
	}
	if m := s.options.Metrics; m != nil {
		m.Inflight.Add(1)
		defer m.Inflight.Add(-1)
	}
	if s.options.Admit != nil {
		done, after, ok := s.options.Admit(req.Class, req.Tenant, req.Retry, req.Expires)
		if !ok {
			s.rejectOverLimit(ctx, req, after)
			return
		}
		defer done()
	}
	s.serve(ctx, conn, req)
}

func (s *Server) answerReady(ctx *fasthttp.RequestCtx) {
	paused := s.paused.Load() != nil
	if paused {
		ctx.SetConnectionClose()
	}
	if s.notReady.Load() || paused || !s.relay.Ready() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
	}
}

// serve submits a request and waits for its answer or the client's disconnect.
func (s *Server) serve(ctx *fasthttp.RequestCtx, conn *watchedConn, req relay.Request) {
	conn.expires = req.Expires
	pending := &reply{answers: make(chan relay.Answer, 1)}
	req.Answer = pending.answer
	req.Payload.ClientGone = func() bool { return socket.PeerClosed(conn.Conn) }
	watch := conn.watch()
	id := s.relay.Submit(req)
	select {
	case a := <-pending.answers:
		watch.stop()
		conn.answerCharge = a.Charge
		writeAnswer(ctx, a)
		s.options.Metrics.Count(req.Class, metricOutcome(a.Kind))
		if s.endsConns() {
			ctx.SetConnectionClose()
		}
	case <-watch.gone:
		watch.stop()
		s.relay.Withdraw(id)
		pending.abandon()
		// A client that only closed its sending side would take whatever fasthttp writes now for an answer. So the
		// connection is hijacked and closed without a response.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// reply passes a request's answer from the relay to the connection, unless the client disconnects first.
type reply struct {
	answers chan relay.Answer
	decided atomic.Bool // set by the first of answer and abandon
}

// answer receives the final answer. The relay calls it at most once.
func (r *reply) answer(a relay.Answer) {
	if r.decided.CompareAndSwap(false, true) {
		r.answers <- a
	} else {
		a.Charge.Release()
	}
}

// abandon releases the charge of an answer that arrived concurrently with the client's disconnect. The charge of a later
// answer is released by answer.
func (r *reply) abandon() {
	if !r.decided.CompareAndSwap(false, true) {
		a := <-r.answers
		a.Charge.Release()
	}
}

// writeAnswer writes a final answer of the relay.
func writeAnswer(ctx *fasthttp.RequestCtx, a relay.Answer) {
	switch a.Kind {
	case relay.Served:
		ctx.Response.SetBodyRaw(a.Body)
		ctx.Response.Header.SetContentType(a.ContentType)
	case relay.Rejected:
		ctx.Error("requeue", fasthttp.StatusServiceUnavailable)
		if a.RetryAfter > 0 {
			setRetryAfter(ctx, a.RetryAfter)
		}
	case relay.Failed:
		ctx.Error("failed", fasthttp.StatusBadGateway)
	case relay.Duplicate:
		ctx.Error("X-Call-Id: of another request", fasthttp.StatusConflict)
	}
}

// notCounted stands for an answer that the metrics do not count, since no server received the request.
const notCounted = metrics.Outcome(255)

// metricOutcome returns the outcome as which the metrics count an answer.
func metricOutcome(kind relay.AnswerKind) metrics.Outcome {
	switch kind {
	case relay.Served:
		return metrics.Success
	case relay.Rejected:
		return metrics.Busy
	case relay.Failed:
		return metrics.Failure
	}
	return notCounted
}
