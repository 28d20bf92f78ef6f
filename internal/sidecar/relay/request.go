package relay

import (
	"sync/atomic"
	"time"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
)

// MaxBodySize bounds the body of a request and of its answer, in bytes. Listeners and transports enforce it.
const MaxBodySize = 64 << 10

// Payload is the part of a request that is forwarded to servers unchanged. All attempts share it.
type Payload struct {
	Method         string
	Target         string // path and query
	Body           []byte
	ContentType    string
	CallID         string
	IdempotencyKey string
	// ClientGone reports whether the operating system has seen the client close its connection, even if no
	// goroutine has noticed yet. It must not block and may be called from any goroutine. If it is nil, only
	// Withdraw reports the client's leaving.
	ClientGone func() bool
	// Charge accounts for the memory of the whole request. A transport holds the charge while it writes the
	// payload; the relay releases its own hold once the request has ended and all its attempts are reported.
	Charge *budget.Charge

	ended atomic.Bool // set once the request has its final answer or was withdrawn
}

// Wanted reports whether an attempt may still begin: the request has no answer and its client waits for one.
// Transports call it just before they write the first byte of an attempt.
func (p *Payload) Wanted() bool { return !p.ended.Load() && (p.ClientGone == nil || !p.ClientGone()) }

// Request is a request as a listener received it from a client.
type Request struct {
	Class        string
	Tenant       string        // tenant named by the header X-Caller; "": none
	Retry        bool          // the client repeats a request that was not served
	ExpectedWork time.Duration // work that the client expects; 0: not stated
	Expires      time.Time     // time at which the client stops waiting
	Payload      *Payload
	// Answer is called once, on the actor, unless the request is withdrawn first. It must not block.
	Answer func(Answer)
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The final answers of a request.
const (
	Served    AnswerKind = iota // a server's answer, unchanged
	Rejected                    // not executed, so a retry is safe
	Failed                      // unknown whether the request was executed
	Duplicate                   // not accepted: a request with the same call id is open or has just ended
)

// Answer is the final answer of a request.
type Answer struct {
	Kind        AnswerKind
	Body        []byte
	ContentType string
	RetryAfter  time.Duration  // advised delay before a retry, with Rejected only; 0: no advice
	Charge      *budget.Charge // charge for the body; the recipient releases it once the answer is written
}

// duplicateWindow is how long the call id of an ended request is remembered: a request that reuses the id of an
// open one may arrive just after that one's end.
const duplicateWindow = 2 * time.Second

// request is the state of a request. It is kept until the request has ended and all its attempts are reported.
type request struct {
	Request
	ended    bool
	attempts int                    // number of attempts begun
	admitted int                    // number of attempts that the observer admitted
	pending  map[int]pendingAttempt // attempts not yet reported, by number
}

// end marks a request as ended, for the actor and for the holders of its payload: an attempt that still waits
// for a connection will not begin, even if the module may not cancel it.
func (r *request) end() {
	r.ended = true
	r.Payload.ended.Store(true)
}

// Submit accepts a request and returns its id. A request with the call id of another one is answered as
// Duplicate, since servers would take it for a second copy of that one.
func (r *Relay) Submit(req Request) uint64 {
	id := r.lastID.Add(1)
	r.mailbox.Put(func() {
		if r.recentCalls[req.Payload.CallID] {
			req.Payload.Charge.Release()
			req.Answer(Answer{Kind: Duplicate})
			return
		}
		r.recentCalls[req.Payload.CallID] = true
		r.requests[id] = &request{Request: req, pending: map[int]pendingAttempt{}}
		r.step(&logic.Event{Kind: logic.EvRequest, Request: id, Class: req.Class, Tenant: req.Tenant,
			Retry: req.Retry, ExpectedWork: req.ExpectedWork, Expires: r.moduleTime(req.Expires)})
	})
	return id
}

// Withdraw reports that the client of a request has disconnected. The answer may be delivered concurrently.
func (r *Relay) Withdraw(id uint64) {
	r.mailbox.Put(func() {
		if req := r.requests[id]; req != nil && !req.ended {
			req.end()
			r.step(&logic.Event{Kind: logic.EvClientGone, Request: id})
			r.forget(id)
		}
	})
}

// finish delivers the final answer of a request, unless the request already has one or was withdrawn.
func (r *Relay) finish(id uint64, a Answer) {
	if req := r.requests[id]; req != nil && !req.ended {
		req.end()
		req.Answer(a)
		r.forget(id)
		return
	}
	a.Charge.Release() // the answer is not delivered
}

// forget drops a request if it has ended and all its attempts are reported.
func (r *Relay) forget(id uint64) {
	if req := r.requests[id]; req != nil && req.ended && len(req.pending) == 0 {
		delete(r.requests, id)
		req.Payload.Charge.Release()
		callID := req.Payload.CallID // the timer must not retain more of the request
		time.AfterFunc(duplicateWindow, func() {
			r.mailbox.Put(func() { delete(r.recentCalls, callID) })
		})
	}
}
