package relay

import (
	"fmt"
	"runtime/debug"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// step passes one event to the module and performs the resulting actions. A panic in the module fails the open
// requests, not the process.
func (r *Relay) step(ev *logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module panicked; failing all open requests")
			r.restart()
		}
	}()
	r.actions = r.balancer.Step(r.now(), ev, r.actions[:0])
	for i := range r.actions {
		r.perform(&r.actions[i])
	}
}

// perform performs one action of the module.
func (r *Relay) perform(a *logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		r.send(a)
	case logic.ActCancel:
		r.cancel(AttemptID{a.Request, a.Attempt})
	case logic.ActReject:
		r.finish(a.Request, Answer{Kind: Rejected, RetryAfter: a.After})
	case logic.ActFail:
		r.finish(a.Request, Answer{Kind: Failed})
	case logic.ActWake:
		r.scheduleWake(a.At, a.Timer)
	case logic.ActWatch:
		r.list.Watch()
	case logic.ActCloseIdle:
		if s := r.servers[a.Server]; s != nil && s.Server != nil {
			s.CloseIdle()
		}
	case logic.ActLog:
		r.log.Info().Str("from", "module").Msg(a.Text)
	}
}

// scheduleWake sends the module a wake-up at time at of the module's clock, never earlier.
func (r *Relay) scheduleWake(at time.Duration, timer logic.Timer) {
	incarnation := r.incarnation
	time.AfterFunc(at-r.now(), func() {
		r.mailbox.Put(func() {
			if r.incarnation == incarnation {
				r.step(&logic.Event{Kind: logic.EvWake, Timer: timer})
			}
		})
	})
}

// restart replaces a module that has panicked: the open requests fail, their attempts are canceled, and a new
// module starts from the current list.
func (r *Relay) restart() {
	r.ready.Store(false)
	for id, req := range r.requests {
		for attempt, p := range req.pending {
			r.servers[p.serverID].Cancel(AttemptID{id, attempt})
		}
		r.finish(id, Answer{Kind: Failed})
	}
	b, err := logic.New(r.cfg, r.seed)
	if err != nil {
		r.log.Error().Err(err).Msg("restarting the decision module failed")
		return
	}
	r.balancer = b
	r.incarnation++
	r.seed++
	if r.restarting { // the module panicked on the list itself: wait for the next list
		return
	}
	r.restarting = true
	stored := Members{Complete: true, Stored: true}
	for _, s := range r.servers {
		stored.Members = append(stored.Members, s.member)
	}
	r.mailbox.Put(func() {
		r.applyMembers(stored)
		r.restarting = false
	})
}
