package relay

import (
	"time"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
)

// AttemptID identifies an attempt by its request and its number within that request, from 0.
type AttemptID struct {
	Request uint64
	Attempt int
}

// Attempt is one attempt of a request at a server.
type Attempt struct {
	ID         AttemptID
	Payload    *Payload
	Deadline   time.Time // time at which the attempt times out
	SendBefore time.Time // time before which the first byte must be written; zero: Deadline
}

// Result is the result of an attempt.
type Result struct {
	Outcome     logic.Outcome
	At          time.Time
	Body        []byte // body of the answer, with logic.Done only
	ContentType string
	Charge      *budget.Charge // charge for the body; the relay takes over the hold on it
}

// pendingAttempt is an attempt that is not yet reported.
type pendingAttempt struct {
	serverID  uint64
	startedAt time.Time
	release   func() // releases the attempt's reservation with the observer; nil: no reservation
}

// send starts an attempt, or ends it as skipped if the observer does not admit it.
func (r *Relay) send(a *logic.Action) {
	req, s := r.requests[a.Request], r.servers[a.Server]
	id := AttemptID{a.Request, req.attempts}
	now := time.Now()
	req.attempts++
	deadline := req.Expires
	if a.After > 0 {
		deadline = now.Add(min(a.After, req.Expires.Sub(now)))
	}
	if s.Server == nil {
		s.Server = r.transport.Open(s.member, r.reportResult)
	}
	var release func()
	admitted := true
	if r.observer != nil {
		release, admitted = r.observer.BeforeAttempt(s.member.Name, req.Class, req.Tenant, req.admitted > 0,
			r.capacity(s), req.Expires)
	}
	req.pending[id.Attempt] = pendingAttempt{serverID: a.Server, startedAt: now, release: release}
	s.pending++
	if !admitted {
		r.mailbox.Put(func() { r.attemptEnded(id, Result{Outcome: logic.Skipped, At: time.Now()}) })
		return
	}
	req.admitted++
	attempt := Attempt{ID: id, Payload: req.Payload, Deadline: deadline}
	if a.At > 0 {
		attempt.SendBefore = r.epoch.Add(a.At - r.epochUnix)
	}
	s.Start(attempt)
}

// cancel cancels an attempt that is not yet reported.
func (r *Relay) cancel(id AttemptID) {
	if req := r.requests[id.Request]; req != nil {
		if p, pending := req.pending[id.Attempt]; pending {
			r.servers[p.serverID].Cancel(id)
		}
	}
}

// reportResult is called by a server, once for each attempt.
func (r *Relay) reportResult(id AttemptID, res Result) {
	r.mailbox.Put(func() { r.attemptEnded(id, res) })
}

// attemptEnded processes the result of an attempt. A late answer, a cancellation, a withdrawal and the expiry of
// the request can race; the actor serializes them, and the first one to end the request takes effect.
func (r *Relay) attemptEnded(id AttemptID, res Result) {
	req := r.requests[id.Request]
	var p pendingAttempt
	pending := false
	if req != nil {
		p, pending = req.pending[id.Attempt]
	}
	if !pending {
		r.log.Error().Uint64("request", id.Request).Int("attempt", id.Attempt).
			Msg("ignored the result of an attempt that is not pending")
		res.Charge.Release()
		return
	}
	delete(req.pending, id.Attempt)
	s := r.servers[p.serverID]
	s.pending--
	r.releaseReserved(p, req, res.Outcome)
	if r.observer != nil {
		r.observer.AttemptEnded(s.member.Name, res.Outcome, res.At.Sub(p.startedAt))
	}
	if res.Outcome == logic.Done {
		r.finish(id.Request, Answer{Kind: Served, Body: res.Body, ContentType: res.ContentType, Charge: res.Charge})
	}
	r.step(&logic.Event{Kind: logic.EvOutcome, Request: id.Request, Attempt: id.Attempt,
		Latency: res.At.Sub(p.startedAt), Outcome: res.Outcome, Final: req.ended})
	r.forget(id.Request)
	r.closeIfGone(p.serverID, s)
}

// releaseReserved releases an attempt's reservation with the observer: at once, or at the expiry of the request
// if the server may still work on the attempt.
func (r *Relay) releaseReserved(p pendingAttempt, req *request, outcome logic.Outcome) {
	switch {
	case p.release == nil:
	case outcome == logic.TimedOut || outcome == logic.Canceled || outcome == logic.Reset:
		time.AfterFunc(time.Until(req.Expires), func() { r.mailbox.Put(p.release) })
	default:
		p.release()
	}
}
