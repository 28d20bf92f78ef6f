package http

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/metrics"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
)

func (f *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/ready" {
		if f.paused.Load() != nil {
			ctx.SetConnectionClose()
		}
		if f.notReady.Load() || f.paused.Load() != nil || !f.relay.Ready() {
			ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		}
		return
	}
	conn := ctx.Conn().(*watchedConn)
	conn.releaseAnswer()
	conn.setReceiving(false)
	job, code, err := f.parseHead(ctx, time.Now().Add(-queueDelay(conn.Conn)))
	if err == nil {
		code, err = f.readBody(ctx, conn, &job)
	}
	if err != nil {
		if job.Class != "" && code == fasthttp.StatusServiceUnavailable {
			f.options.Metrics.Count(job.Class, metrics.Busy)
		}
		f.reject(ctx, conn, code, err)
		return
	}
	if fig := f.options.Metrics; fig != nil {
		fig.Inflight.Add(1)
		defer fig.Inflight.Add(-1)
	}
	if f.options.Admit != nil {
		done, after, ok := f.options.Admit(job.Class, job.Tenant, job.Retry, job.Expires)
		if !ok {
			f.rejectOverLimit(ctx, job, after)
			return
		}
		defer done()
	}
	conn.expires = job.Expires
	waiting := &reply{answers: make(chan relay.Answer, 1)}
	job.Answer = waiting.answer
	job.Payload.ClientGone = func() bool { return socket.Departed(conn.Conn) }
	watch := conn.watch()
	id := f.relay.Submit(job)
	select {
	case a := <-waiting.answers:
		watch.stop()
		conn.answerCharge = a.Charge
		writeAnswer(ctx, a)
		f.options.Metrics.Count(job.Class, metricOutcome(a.Kind))
		if f.closing.Load() || f.paused.Load() != nil {
			ctx.SetConnectionClose()
		}
	case <-watch.gone:
		watch.stop()
		f.relay.Withdraw(id)
		waiting.abandon()
		// A submitter that only ended its sending would take anything that fasthttp now writes for an answer:
		// the connection is taken from it and closed with nothing written.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// over turns a request back that is over a limit.
func (f *Server) rejectOverLimit(ctx *fasthttp.RequestCtx, job relay.Request, after time.Duration) {
	job.Payload.Charge.Release()
	ctx.Error("over a limit", fasthttp.StatusServiceUnavailable)
	if limits := f.options.Limits; limits.RetryAfter {
		if limits.MaxRetryAfter > 0 {
			after = min(after, limits.MaxRetryAfter)
		}
		setRetryAfter(ctx, after)
	}
	f.options.Metrics.Count(job.Class, metrics.Busy)
	if f.closing.Load() || f.paused.Load() != nil {
		ctx.SetConnectionClose()
	}
}

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

// outcome is how the figures count a verdict.
func metricOutcome(v relay.AnswerKind) metrics.Outcome {
	switch v {
	case relay.Served:
		return metrics.Success
	case relay.Rejected:
		return metrics.Busy
	case relay.Failed:
		return metrics.Failure
	}
	return metrics.Outcome(255) // not counted: no node saw it
}

// reply is where a job's answer meets its submitter, if that is still there.
type reply struct {
	answers chan relay.Answer
	decided atomic.Bool // by whichever of the two comes first
}

func (r *reply) answer(a relay.Answer) {
	if r.decided.CompareAndSwap(false, true) {
		r.answers <- a
	} else {
		a.Charge.Release()
	}
}

// leave gives back what an answer that has crossed the submitter's leaving holds, and what a later one would.
func (r *reply) abandon() {
	if !r.decided.CompareAndSwap(false, true) {
		a := <-r.answers
		a.Charge.Release()
	}
}
