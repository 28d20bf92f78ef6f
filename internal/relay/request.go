package relay

import (
	"sync/atomic"
	"time"

	"fieldrelay/internal/budget"
	"fieldrelay/logic"
)

// MaxBodySize bounds the body of a job and of its answer. Fronts and execute nodes keep to it.
const MaxBodySize = 64 << 10

// Payload is what a job asks of an execute node. Nothing in it is changed on the way.
type Payload struct {
	Method         string
	Target         string // path and query
	Body           []byte
	ContentType    string
	CallID         string
	IdempotencyKey string
	// ClientGone tells whether its client has gone, as the system knows it at that moment: also where no goroutine has
	// come to see it. nil: only Withdraw tells. It must not block and may be called from any goroutine.
	ClientGone func() bool
	ended      atomic.Bool // it has its final answer, or its client has withdrawn it
	// Charge is the charge for all of it. Who writes the request out holds it for as long; the relay gives back its own
	// hold once the job has ended and each of its claims is reported.
	Charge *budget.Charge
}

// Wanted tells whether an attempt of the request may still begin: nobody has answered it, and its client waits for it. Who
// writes an attempt asks just before its first byte.
func (r *Payload) Wanted() bool { return !r.ended.Load() && (r.ClientGone == nil || !r.ClientGone()) }

// Request is a request as a front took it from a submitter.
type Request struct {
	Class        string
	Tenant       string        // the caller as X-Caller names it; "": none
	Retry        bool          // the submitter asks again
	ExpectedWork time.Duration // expected work; 0: not told
	Expires      time.Time     // when the submitter stops waiting
	Payload      *Payload
	// Answer is called once, on the relay's actor, unless the job is withdrawn first. It must not block.
	Answer func(Answer)
}

// Kind is the kind of a final answer.
type AnswerKind uint8

// The final answers of a job.
const (
	Served    AnswerKind = iota // an execute node's answer, unchanged
	Rejected                    // a requeue notice: coming again does no harm
	Failed                      // no assurance of any effect
	Duplicate                   // not taken: its id is that of a job that is open or has just ended
)

// Answer is the final answer of a job.
type Answer struct {
	Kind        AnswerKind
	Body        []byte
	ContentType string
	RetryAfter  time.Duration  // with a requeue notice; 0: no advice
	Charge      *budget.Charge // for the body; given back by who takes the answer, once it is written
}

// duplicateWindow is how long the id of a job that has ended is known. Whoever copies the id of an open job may come just
// after its end.
const duplicateWindow = 2 * time.Second

type request struct {
	Request
	ended    bool
	attempts int
	admitted int              // attempts that limits of the fleet let through
	inFlight map[int]inFlight // not yet reported
}

// end marks a job as concluded, on this actor and for those who hold its request: a claim of it that waits for a connection
// begins no more, whether or not the module may call it off.
func (j *request) end() {
	j.ended = true
	j.Payload.ended.Store(true)
}

// Submit takes a job and gives its number. One that comes under the id of another would be a second copy of that
// to the execute nodes: it is not taken.
func (r *Relay) Submit(j Request) uint64 {
	id := r.lastID.Add(1)
	r.mailbox.Put(func() {
		if r.recentCalls[j.Payload.CallID] {
			j.Payload.Charge.Release()
			j.Answer(Answer{Kind: Duplicate})
			return
		}
		r.recentCalls[j.Payload.CallID] = true
		r.requests[id] = &request{Request: j, inFlight: map[int]inFlight{}}
		r.step(&logic.Event{Kind: logic.EvRequest, Request: id, Class: j.Class, Tenant: j.Tenant,
			Retry: j.Retry, ExpectedWork: j.ExpectedWork, Expires: r.moduleTime(j.Expires)})
	})
	return id
}

// Withdraw tells that the submitter of a job has gone. An answer may cross it.
func (r *Relay) Withdraw(id uint64) {
	r.mailbox.Put(func() {
		if j := r.requests[id]; j != nil && !j.ended {
			j.end()
			r.step(&logic.Event{Kind: logic.EvClientGone, Request: id})
			r.forget(id)
		}
	})
}

// answer gives a job its final answer, unless it has had one or its submitter has gone.
func (r *Relay) finish(id uint64, a Answer) {
	if j := r.requests[id]; j != nil && !j.ended {
		j.end()
		j.Answer(a)
		r.forget(id)
		return
	}
	a.Charge.Release() // nobody takes it
}

// forget drops a job that has ended once each of its claims is reported.
func (r *Relay) forget(id uint64) {
	if j := r.requests[id]; j != nil && j.ended && len(j.inFlight) == 0 {
		delete(r.requests, id)
		j.Payload.Charge.Release()
		call := j.Payload.CallID // the timer keeps no more of the job than this
		time.AfterFunc(duplicateWindow, func() {
			r.mailbox.Put(func() { delete(r.recentCalls, call) })
		})
	}
}
