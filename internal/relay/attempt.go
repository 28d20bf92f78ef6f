package relay

import (
	"time"

	"fieldrelay/internal/budget"
	"fieldrelay/logic"
)

// AttemptID names one claim: the job and the number of its attempt.
type AttemptID struct {
	Request uint64
	Attempt int
}

// Attempt is one attempt of a job at an execute node.
type Attempt struct {
	ID         AttemptID
	Payload    *Payload
	Deadline   time.Time // when the claim is given up
	SendBefore time.Time // its first byte may leave before this; zero: at any time before the deadline
}

// Result is how a claim ended.
type Result struct {
	Outcome     logic.Outcome
	At          time.Time
	Body        []byte // with Done only
	ContentType string
	Charge      *budget.Charge // for the body; passed on with it
}

type inFlight struct {
	serverID  uint64
	startedAt time.Time
	release   func() // gives back what it holds of limits; nil: nothing
}

func (r *Relay) send(a *logic.Action) {
	j, n := r.requests[a.Request], r.servers[a.Server]
	id := AttemptID{a.Request, j.attempts}
	now := time.Now()
	j.attempts++
	deadline := j.Expires
	if a.After > 0 {
		deadline = now.Add(min(a.After, j.Expires.Sub(now)))
	}
	if n.Server == nil {
		n.Server = r.transport.Open(n.member, r.reportResult)
	}
	var done func()
	let := true
	if r.observer != nil {
		done, let = r.observer.BeforeAttempt(n.member.Name, j.Class, j.Tenant, j.admitted > 0, r.capacity(n), j.Expires)
	}
	j.inFlight[id.Attempt] = inFlight{serverID: a.Server, startedAt: now, release: done}
	n.inFlight++
	if let {
		j.admitted++
	} else {
		r.mailbox.Put(func() { r.attemptEnded(id, Result{Outcome: logic.Skipped, At: time.Now()}) })
		return
	}
	c := Attempt{ID: id, Payload: j.Payload, Deadline: deadline}
	if a.At > 0 {
		c.SendBefore = r.epoch.Add(a.At - r.epochUnix)
	}
	n.Start(c)
}

// report is called by an execute node, once for each claim.
func (r *Relay) reportResult(id AttemptID, res Result) {
	r.mailbox.Put(func() { r.attemptEnded(id, res) })
}

// outcome settles a claim. All that may cross (a late answer, a cancel, a withdrawal, the end of the time)
// meets here, on one actor: whoever ended the job first has ended it.
func (r *Relay) attemptEnded(id AttemptID, res Result) {
	j := r.requests[id.Request]
	var c inFlight
	out := false
	if j != nil {
		c, out = j.inFlight[id.Attempt]
	}
	if !out {
		r.log.Error().Uint64("job", id.Request).Int("attempt", id.Attempt).Msg("report of a claim that is not out")
		res.Charge.Release()
		return
	}
	delete(j.inFlight, id.Attempt)
	n := r.servers[c.serverID]
	n.inFlight--
	switch {
	case c.release == nil:
	case res.Outcome == logic.TimedOut || res.Outcome == logic.Canceled || res.Outcome == logic.Reset:
		time.AfterFunc(time.Until(j.Expires), func() { r.mailbox.Put(c.release) }) // the node may still work on it
	default:
		c.release()
	}
	if r.observer != nil {
		r.observer.AttemptEnded(n.member.Name, res.Outcome, res.At.Sub(c.startedAt))
	}
	if res.Outcome == logic.Done {
		r.finish(id.Request, Answer{Kind: Served, Body: res.Body, ContentType: res.ContentType, Charge: res.Charge})
	}
	r.step(&logic.Event{Kind: logic.EvOutcome, Request: id.Request, Attempt: id.Attempt,
		Latency: res.At.Sub(c.startedAt), Outcome: res.Outcome, Final: j.ended})
	r.forget(id.Request)
	r.closeIfGone(c.serverID, n)
}
