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

	"fieldrelay/internal/mailbox"
	"fieldrelay/logic"
)

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
