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

// MostBody bounds the body of a job and of its answer. Fronts and execute nodes keep to it.
const MostBody = 64 << 10

// Request is what a job asks of an execute node. Nothing in it is changed on the way.
type Request struct {
	Method         string
	Target         string // path and query
	Body           []byte
	ContentType    string
	CallID         string
	IdempotencyKey string
	// Departed tells whether its client has gone, as the system knows it at that moment: also where no goroutine has
	// come to see it. nil: only Withdraw tells. It must not block and may be called from any goroutine.
	Departed func() bool
	ended    atomic.Bool // it has its final answer, or its client has withdrawn it
	// Held is the charge for all of it. Who writes the request out holds it for as long; the relay gives back its own
	// hold once the job has ended and each of its claims is reported.
	Held *budget.Charge
}

// Wanted tells whether an attempt of the request may still begin: nobody has answered it, and its client waits for it. Who
// writes an attempt asks just before its first byte.
func (r *Request) Wanted() bool { return !r.ended.Load() && (r.Departed == nil || !r.Departed()) }

// Job is a request as a front took it from a submitter.
type Job struct {
	Class   string
	Tenant  string        // the caller as X-Caller names it; "": none
	Repeat  bool          // the submitter asks again
	Hint    time.Duration // expected work; 0: not told
	Expires time.Time     // when the submitter stops waiting
	Request *Request
	// Answer is called once, on the relay's actor, unless the job is withdrawn first. It must not block.
	Answer func(Answer)
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers of a job.
const (
	Served  Verdict = iota // an execute node's answer, unchanged
	Requeue                // a requeue notice: coming again does no harm
	Failed                 // no assurance of any effect
	Again                  // not taken: its id is that of a job that is open or has just ended
)

// Answer is the final answer of a job.
type Answer struct {
	Verdict     Verdict
	Body        []byte
	ContentType string
	RetryAfter  time.Duration  // with a requeue notice; 0: no advice
	Held        *budget.Charge // for the body; given back by who takes the answer, once it is written
}

// ClaimID names one claim: the job and the number of its attempt.
type ClaimID struct {
	Job     uint64
	Attempt int
}

// Claim is one attempt of a job at an execute node.
type Claim struct {
	ID       ClaimID
	Request  *Request
	Deadline time.Time // when the claim is given up
	Begin    time.Time // its first byte may leave before this; zero: at any time before the deadline
}

// Result is how a claim ended.
type Result struct {
	Outcome     logic.Outcome
	At          time.Time
	Body        []byte // with Done only
	ContentType string
	Held        *budget.Charge // for the body; passed on with it
}

// Node is one execute node. No call blocks.
type Node interface {
	Claim(Claim)
	Cancel(ClaimID)
	Release()      // close the connections that carry nothing
	Trim()         // close those that have carried nothing for a while
	Update(Member) // the list has changed it
	Close()        // no further claim comes
}

// Nodes makes execute nodes. Each claim given to one is reported exactly once.
type Nodes interface {
	Open(m Member, report func(ClaimID, Result)) Node
}

// List is where the execute nodes are learned from.
type List interface {
	Watch() // ask for changes from now on; answered by Members or ListLost
}

// Member is one entry of the list.
type Member struct {
	logic.Server
	Name string // as the list writes it: what an operator calls it
	Addr string
	Told time.Time // when the list said so
}

// Members is the list or a change to it.
type Members struct {
	Members  []Member
	Complete bool // it is the whole list
	Stored   bool // it was kept from before this start
}

// Relay is the actor of the decision module.
type Relay struct {
	log   zerolog.Logger
	cfg   logic.Config
	seed  uint64
	nodes Nodes
	list  List
	box   *mailbox.Mailbox
	jobID atomic.Uint64
	ready atomic.Bool
	epoch time.Time     // with the monotonic clock
	unix  time.Duration // of epoch

	// What follows belongs to the actor.
	balancer   *logic.Balancer
	life       int // of the balancer: wake-ups of an earlier one are not its own
	restarting bool
	acts       []logic.Action
	jobs       map[uint64]*job
	calls      map[string]bool // the ids of the jobs, for a while longer than those
	open       map[uint64]*node
	suspended  map[string]bool  // names of execute nodes that get nothing new, whatever the list says
	avoided    map[string]bool  // likewise, by verdict of the fleet
	draining   map[string]drain // by the word of others
	observer   Observer         // nil: none

	listed, down atomic.Int64 // execute nodes listed, and those of them suspended
}

// callKept is how long the id of a job that has ended is known. Whoever copies the id of an open job may come just
// after its end.
const callKept = 2 * time.Second

type job struct {
	Job
	ended    bool
	attempts int
	sent     int           // attempts that limits of the fleet let through
	out      map[int]claim // not yet reported
}

// end marks a job as concluded, on this actor and for those who hold its request: a claim of it that waits for a connection
// begins no more, whether or not the module may call it off.
func (j *job) end() {
	j.ended = true
	j.Request.ended.Store(true)
}

type claim struct {
	node   uint64
	issued time.Time
	done   func() // gives back what it holds of limits; nil: nothing
}

// node is an execute node of the list. Most of a long list never get a claim: those have no Node.
type node struct {
	Node
	member Member
	out    int           // claims not yet reported
	since  time.Duration // its start, by the list
}

// New makes a relay for the settings of the module.
func New(cfg logic.Config, seed uint64, nodes Nodes, log zerolog.Logger) (*Relay, error) {
	b, err := logic.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Relay{
		log: log, cfg: cfg, seed: seed, nodes: nodes, box: mailbox.New(),
		epoch: now, unix: time.Duration(now.UnixNano()), balancer: b,
		jobs: map[uint64]*job{}, calls: map[string]bool{}, open: map[uint64]*node{}, suspended: map[string]bool{},
	}, nil
}

// Start lets the actor run.
func (r *Relay) Start(list List) {
	r.list = list
	go r.box.Run()
}

// Reclass takes the classes of new settings, their bound on attempts and the tenants with their shares: jobs from
// now on follow them, open ones keep the class they came under. done is called on the relay's goroutine with what the module said of them; with
// an error nothing has changed.
func (r *Relay) Reclass(next logic.Config, done func(error)) {
	classes, attempts := next.Classes, next.Limits.MaxAttempts
	r.box.Put(func() {
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
func (r *Relay) Submit(j Job) uint64 {
	id := r.jobID.Add(1)
	r.box.Put(func() {
		if r.calls[j.Request.CallID] {
			j.Request.Held.Release()
			j.Answer(Answer{Verdict: Again})
			return
		}
		r.calls[j.Request.CallID] = true
		r.jobs[id] = &job{Job: j, out: map[int]claim{}}
		r.step(&logic.Event{Kind: logic.EvRequest, Request: id, Class: j.Class, Tenant: j.Tenant,
			Retry: j.Repeat, ExpectedWork: j.Hint, Expires: r.moment(j.Expires)})
	})
	return id
}

// Withdraw tells that the submitter of a job has gone. An answer may cross it.
func (r *Relay) Withdraw(id uint64) {
	r.box.Put(func() {
		if j := r.jobs[id]; j != nil && !j.ended {
			j.end()
			r.step(&logic.Event{Kind: logic.EvClientGone, Request: id})
			r.forget(id)
		}
	})
}

// Members takes in the list or a change to it.
func (r *Relay) Members(l Members) {
	r.box.Put(func() { r.members(l) })
}

// ListLost tells that a watch failed or broke off, and when what is missed counts as told; the zero time: by the contract's
// interval alone.
func (r *Relay) ListLost(told time.Time) {
	r.box.Put(func() {
		ev := &logic.Event{Kind: logic.EvListLost}
		if !told.IsZero() {
			ev.Expires = r.moment(told)
		}
		r.step(ev)
	})
}

// moment is a time on the module's clock: Unix time at the start and monotonic time since, so that it
// only goes forward and yet compares with the times in the list.
func (r *Relay) moment(t time.Time) time.Duration { return r.unix + t.Sub(r.epoch) }

func (r *Relay) now() time.Duration { return r.moment(time.Now()) }

// step lets the module decide on one event. A panic in it costs the open jobs, not the process.
func (r *Relay) step(ev *logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module failed")
			r.restart()
		}
	}()
	r.acts = r.balancer.Step(r.now(), ev, r.acts[:0])
	for i := range r.acts {
		r.act(&r.acts[i])
	}
}

func (r *Relay) act(a *logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		r.send(a)
	case logic.ActCancel:
		id := ClaimID{a.Request, a.Attempt}
		if j := r.jobs[a.Request]; j != nil {
			if c, out := j.out[a.Attempt]; out {
				r.open[c.node].Cancel(id)
			}
		}
	case logic.ActReject:
		r.answer(a.Request, Answer{Verdict: Requeue, RetryAfter: a.After})
	case logic.ActFail:
		r.answer(a.Request, Answer{Verdict: Failed})
	case logic.ActWake:
		r.wake(a.At, a.Timer)
	case logic.ActWatch:
		r.list.Watch()
	case logic.ActCloseIdle:
		if n := r.open[a.Server]; n != nil && n.Node != nil {
			n.Release()
		}
	case logic.ActLog:
		r.log.Info().Str("from", "module").Msg(a.Text)
	}
}

// wake steps the module at a time of its clock, and not before it.
func (r *Relay) wake(at time.Duration, timer logic.Timer) {
	life := r.life
	time.AfterFunc(at-r.now(), func() {
		r.box.Put(func() {
			if r.life == life {
				r.step(&logic.Event{Kind: logic.EvWake, Timer: timer})
			}
		})
	})
}

func (r *Relay) send(a *logic.Action) {
	j, n := r.jobs[a.Request], r.open[a.Server]
	id := ClaimID{a.Request, j.attempts}
	now := time.Now()
	j.attempts++
	deadline := j.Expires
	if a.After > 0 {
		deadline = now.Add(min(a.After, j.Expires.Sub(now)))
	}
	if n.Node == nil {
		n.Node = r.nodes.Open(n.member, r.report)
	}
	var done func()
	let := true
	if r.observer != nil {
		done, let = r.observer.Claim(n.member.Name, j.Class, j.Tenant, j.sent > 0, r.warm(n), j.Expires)
	}
	j.out[id.Attempt] = claim{node: a.Server, issued: now, done: done}
	n.out++
	if let {
		j.sent++
	} else {
		r.box.Put(func() { r.outcome(id, Result{Outcome: logic.Skipped, At: time.Now()}) })
		return
	}
	c := Claim{ID: id, Request: j.Request, Deadline: deadline}
	if a.At > 0 {
		c.Begin = r.epoch.Add(a.At - r.unix)
	}
	n.Claim(c)
}

// report is called by an execute node, once for each claim.
func (r *Relay) report(id ClaimID, res Result) {
	r.box.Put(func() { r.outcome(id, res) })
}

// outcome settles a claim. All that may cross (a late answer, a cancel, a withdrawal, the end of the time)
// meets here, on one actor: whoever ended the job first has ended it.
func (r *Relay) outcome(id ClaimID, res Result) {
	j := r.jobs[id.Job]
	var c claim
	out := false
	if j != nil {
		c, out = j.out[id.Attempt]
	}
	if !out {
		r.log.Error().Uint64("job", id.Job).Int("attempt", id.Attempt).Msg("report of a claim that is not out")
		res.Held.Release()
		return
	}
	delete(j.out, id.Attempt)
	n := r.open[c.node]
	n.out--
	switch {
	case c.done == nil:
	case res.Outcome == logic.TimedOut || res.Outcome == logic.Canceled || res.Outcome == logic.Reset:
		time.AfterFunc(time.Until(j.Expires), func() { r.box.Put(c.done) }) // the node may still work on it
	default:
		c.done()
	}
	if r.observer != nil {
		r.observer.Outcome(n.member.Name, res.Outcome, res.At.Sub(c.issued))
	}
	if res.Outcome == logic.Done {
		r.answer(id.Job, Answer{Verdict: Served, Body: res.Body, ContentType: res.ContentType, Held: res.Held})
	}
	r.step(&logic.Event{Kind: logic.EvOutcome, Request: id.Job, Attempt: id.Attempt,
		Latency: res.At.Sub(c.issued), Outcome: res.Outcome, Final: j.ended})
	r.forget(id.Job)
	r.retire(c.node, n)
}

// answer gives a job its final answer, unless it has had one or its submitter has gone.
func (r *Relay) answer(id uint64, a Answer) {
	if j := r.jobs[id]; j != nil && !j.ended {
		j.end()
		j.Answer(a)
		r.forget(id)
		return
	}
	a.Held.Release() // nobody takes it
}

// forget drops a job that has ended once each of its claims is reported.
func (r *Relay) forget(id uint64) {
	if j := r.jobs[id]; j != nil && j.ended && len(j.out) == 0 {
		delete(r.jobs, id)
		j.Request.Held.Release()
		call := j.Request.CallID // the timer keeps no more of the job than this
		time.AfterFunc(callKept, func() {
			r.box.Put(func() { delete(r.calls, call) })
		})
	}
}

func (r *Relay) members(l Members) {
	ev := logic.Event{Kind: logic.EvMembers, Complete: l.Complete, Stored: l.Stored}
	named := map[uint64]bool{}
	for _, m := range l.Members {
		named[m.ID] = true
		if !l.Stored {
			r.tellDrains(m)
		}
		r.member(m)
		ev.Servers = append(ev.Servers, r.seen(m).Server)
	}
	if l.Complete {
		for id, n := range r.open {
			if !named[id] {
				gone := n.member
				gone.State, gone.Told = logic.Gone, time.Now()
				r.member(gone)
			}
		}
	}
	r.step(&ev)
	for id, n := range r.open {
		r.retire(id, n)
	}
	usable := r.count()
	r.leaveOne()
	r.log.Info().Int("changed", len(l.Members)).Bool("complete", l.Complete).Bool("stored", l.Stored).
		Int("usable", usable).Msg("list")
}

// Trim gives back the connections to execute nodes that have carried nothing for a while: their bytes are needed.
func (r *Relay) Trim() {
	r.box.Put(func() {
		for _, n := range r.open {
			if n.Node != nil {
				n.Trim()
			}
		}
	})
}

func (r *Relay) member(m Member) {
	n := r.open[m.ID]
	switch {
	case n != nil:
		n.member, n.since = m, m.Since
		if n.Node != nil {
			n.Update(r.seen(m))
		}
	case m.State != logic.Gone:
		r.open[m.ID] = &node{member: m, since: m.Since}
	}
}

// retire closes an execute node that is gone from the list once nothing is out there.
func (r *Relay) retire(id uint64, n *node) {
	if n.member.State == logic.Gone && n.out == 0 && !r.cfg.Contract.GoneIsAdvisory {
		if n.Node != nil {
			n.Close()
		}
		delete(r.open, id)
	}
}

// restart replaces a module that has failed: its open jobs fail, their claims are given up, and a new module
// starts from the list as it stands.
func (r *Relay) restart() {
	r.ready.Store(false)
	for id, j := range r.jobs {
		for attempt, c := range j.out {
			r.open[c.node].Cancel(ClaimID{id, attempt})
		}
		r.answer(id, Answer{Verdict: Failed})
	}
	b, err := logic.New(r.cfg, r.seed)
	if err != nil {
		r.log.Error().Err(err).Msg("decision module does not start again")
		return
	}
	r.balancer = b
	r.life++
	r.seed++
	if r.restarting { // it fails on the list itself: wait for the next one
		return
	}
	r.restarting = true
	stored := Members{Complete: true, Stored: true}
	for _, n := range r.open {
		stored.Members = append(stored.Members, n.member)
	}
	r.box.Put(func() {
		r.members(stored)
		r.restarting = false
	})
}
