// Package relay runs the decision module. One actor owns the module, the jobs
// and their claims: it turns what fronts, execute nodes and the list tell into
// the module's events, and the module's actions into messages. It knows no
// protocol and decides nothing itself.
package relay

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/mailbox"
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

// Server is one execute node. No call blocks.
type Server interface {
	Start(Attempt)
	Cancel(AttemptID)
	CloseIdle()    // close the connections that carry nothing
	TrimIdle()     // close those that have carried nothing for a while
	Update(Member) // the list has changed it
	Close()        // no further claim comes
}

// Transport makes execute nodes. Each claim given to one is reported exactly once.
type Transport interface {
	Open(m Member, report func(AttemptID, Result)) Server
}

// ServerList is where the execute nodes are learned from.
type ServerList interface {
	Watch() // ask for changes from now on; answered by Members or ListLost
}

// Member is one entry of the list.
type Member struct {
	logic.Server
	Name     string // as the list writes it: what an operator calls it
	Addr     string
	ListedAt time.Time // when the list said so
}

// UpdateMembers is the list or a change to it.
type Members struct {
	Members  []Member
	Complete bool // it is the whole list
	Stored   bool // it was kept from before this start
}

// Relay is the actor of the decision module.
type Relay struct {
	log       zerolog.Logger
	cfg       logic.Config
	seed      uint64
	transport Transport
	source    ServerList
	mailbox   *mailbox.Mailbox
	lastID    atomic.Uint64
	ready     atomic.Bool
	epoch     time.Time     // with the monotonic clock
	epochUnix time.Duration // of epoch

	// What follows belongs to the actor.
	balancer       *logic.Balancer
	incarnation    int // of the balancer: wake-ups of an earlier one are not its own
	restarting     bool
	actions        []logic.Action
	requests       map[uint64]*request
	recentCalls    map[string]bool // the ids of the jobs, for a while longer than those
	servers        map[uint64]*server
	suspended      map[string]bool        // names of execute nodes that get nothing new, whatever the list says
	ejected        map[string]bool        // likewise, by verdict of the fleet
	reportedDrains map[string]drainReport // by the word of others
	observer       Observer               // nil: none

	listed, unavailable atomic.Int64 // execute nodes listed, and those of them suspended
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

type inFlight struct {
	serverID  uint64
	startedAt time.Time
	release   func() // gives back what it holds of limits; nil: nothing
}

// node is an execute node of the list. Most of a long list never get a claim: those have no Node.
type server struct {
	Server
	member    Member
	inFlight  int           // claims not yet reported
	startedAt time.Duration // its start, by the list
}

// New makes a relay for the settings of the module.
func New(cfg logic.Config, seed uint64, nodes Transport, log zerolog.Logger) (*Relay, error) {
	b, err := logic.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Relay{
		log: log, cfg: cfg, seed: seed, transport: nodes, mailbox: mailbox.New(),
		epoch: now, epochUnix: time.Duration(now.UnixNano()), balancer: b,
		requests: map[uint64]*request{}, recentCalls: map[string]bool{}, servers: map[uint64]*server{}, suspended: map[string]bool{},
	}, nil
}

// Start lets the actor run.
func (r *Relay) Start(list ServerList) {
	r.source = list
	go r.mailbox.Run()
}

// Reconfigure takes the classes of new settings, their bound on attempts and the tenants with their shares: jobs from
// now on follow them, open ones keep the class they came under. done is called on the relay's goroutine with what the module said of them; with
// an error nothing has changed.
func (r *Relay) Reconfigure(next logic.Config, done func(error)) {
	classes, attempts := next.Classes, next.Limits.MaxAttempts
	r.mailbox.Put(func() {
		err := r.balancer.SetClasses(classes, attempts)
		if err == nil {
			r.balancer.SetTenants(next.Tenants, next.OverShareValue)
			r.cfg.Classes, r.cfg.Limits.MaxAttempts = classes, attempts
			r.cfg.Tenants, r.cfg.OverShareValue = next.Tenants, next.OverShareValue
		}
		done(err)
	})
}

// Ready tells whether an execute node is listed that takes jobs.
func (r *Relay) Ready() bool { return r.ready.Load() }

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

// UpdateMembers takes in the list or a change to it.
func (r *Relay) UpdateMembers(l Members) {
	r.mailbox.Put(func() { r.applyMembers(l) })
}

// ListLost tells that a watch failed or broke off, and when what is missed counts as told; the zero time: by the contract's
// interval alone.
func (r *Relay) ListLost(told time.Time) {
	r.mailbox.Put(func() {
		ev := &logic.Event{Kind: logic.EvListLost}
		if !told.IsZero() {
			ev.Expires = r.moduleTime(told)
		}
		r.step(ev)
	})
}

// moment is a time on the module's clock: Unix time at the start and monotonic time since, so that it
// only goes forward and yet compares with the times in the list.
func (r *Relay) moduleTime(t time.Time) time.Duration { return r.epochUnix + t.Sub(r.epoch) }

func (r *Relay) now() time.Duration { return r.moduleTime(time.Now()) }

// step lets the module decide on one event. A panic in it costs the open jobs, not the process.
func (r *Relay) step(ev *logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module failed")
			r.restart()
		}
	}()
	r.actions = r.balancer.Step(r.now(), ev, r.actions[:0])
	for i := range r.actions {
		r.perform(&r.actions[i])
	}
}

func (r *Relay) perform(a *logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		r.send(a)
	case logic.ActCancel:
		id := AttemptID{a.Request, a.Attempt}
		if j := r.requests[a.Request]; j != nil {
			if c, out := j.inFlight[a.Attempt]; out {
				r.servers[c.serverID].Cancel(id)
			}
		}
	case logic.ActReject:
		r.finish(a.Request, Answer{Kind: Rejected, RetryAfter: a.After})
	case logic.ActFail:
		r.finish(a.Request, Answer{Kind: Failed})
	case logic.ActWake:
		r.scheduleWake(a.At, a.Timer)
	case logic.ActWatch:
		r.source.Watch()
	case logic.ActCloseIdle:
		if n := r.servers[a.Server]; n != nil && n.Server != nil {
			n.CloseIdle()
		}
	case logic.ActLog:
		r.log.Info().Str("from", "module").Msg(a.Text)
	}
}

// wake steps the module at a time of its clock, and not before it.
func (r *Relay) scheduleWake(at time.Duration, timer logic.Timer) {
	life := r.incarnation
	time.AfterFunc(at-r.now(), func() {
		r.mailbox.Put(func() {
			if r.incarnation == life {
				r.step(&logic.Event{Kind: logic.EvWake, Timer: timer})
			}
		})
	})
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

func (r *Relay) applyMembers(l Members) {
	ev := logic.Event{Kind: logic.EvMembers, Complete: l.Complete, Stored: l.Stored}
	named := map[uint64]bool{}
	for _, m := range l.Members {
		named[m.ID] = true
		if !l.Stored {
			r.notifyDrain(m)
		}
		r.applyMember(m)
		ev.Servers = append(ev.Servers, r.effective(m).Server)
	}
	if l.Complete {
		for id, n := range r.servers {
			if !named[id] {
				gone := n.member
				gone.State, gone.ListedAt = logic.Gone, time.Now()
				r.applyMember(gone)
			}
		}
	}
	r.step(&ev)
	for id, n := range r.servers {
		r.closeIfGone(id, n)
	}
	usable := r.updateReadiness()
	r.restoreIfNoneReady()
	r.log.Info().Int("changed", len(l.Members)).Bool("complete", l.Complete).Bool("stored", l.Stored).
		Int("usable", usable).Msg("list")
}

// TrimIdle gives back the connections to execute nodes that have carried nothing for a while: their bytes are needed.
func (r *Relay) TrimIdle() {
	r.mailbox.Put(func() {
		for _, n := range r.servers {
			if n.Server != nil {
				n.TrimIdle()
			}
		}
	})
}

func (r *Relay) applyMember(m Member) {
	n := r.servers[m.ID]
	switch {
	case n != nil:
		n.member, n.startedAt = m, m.Since
		if n.Server != nil {
			n.Update(r.effective(m))
		}
	case m.State != logic.Gone:
		r.servers[m.ID] = &server{member: m, startedAt: m.Since}
	}
}

// retire closes an execute node that is gone from the list once nothing is out there.
func (r *Relay) closeIfGone(id uint64, n *server) {
	if n.member.State == logic.Gone && n.inFlight == 0 && !r.cfg.Contract.GoneIsAdvisory {
		if n.Server != nil {
			n.Close()
		}
		delete(r.servers, id)
	}
}

// restart replaces a module that has failed: its open jobs fail, their claims are given up, and a new module
// starts from the list as it stands.
func (r *Relay) restart() {
	r.ready.Store(false)
	for id, j := range r.requests {
		for attempt, c := range j.inFlight {
			r.servers[c.serverID].Cancel(AttemptID{id, attempt})
		}
		r.finish(id, Answer{Kind: Failed})
	}
	b, err := logic.New(r.cfg, r.seed)
	if err != nil {
		r.log.Error().Err(err).Msg("decision module does not start again")
		return
	}
	r.balancer = b
	r.incarnation++
	r.seed++
	if r.restarting { // it fails on the list itself: wait for the next one
		return
	}
	r.restarting = true
	stored := Members{Complete: true, Stored: true}
	for _, n := range r.servers {
		stored.Members = append(stored.Members, n.member)
	}
	r.mailbox.Put(func() {
		r.applyMembers(stored)
		r.restarting = false
	})
}
