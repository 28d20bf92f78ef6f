package relay

import (
	"errors"
	"slices"
	"time"

	"fieldrelay/logic"
)

// MaxSuspended bounds the execute nodes that are suspended at once.
const MaxSuspended = 4096

const listedTimeout = 300 * time.Millisecond

// ErrUnknownServer is the error of a name that no entry of the list has.
var ErrUnknownServer = errors.New("no such execute node is listed")

// ErrTooManySuspended is the error of a suspension over MaxSuspended.
var ErrTooManySuspended = errors.New("too many execute nodes are suspended")

// Suspend makes the module see the execute node of that name as draining until Restore, whatever the list says
// meanwhile: nothing new goes to it, and what is out there ends as it would. A second suspension changes nothing.
// With listed, only a name of the list is taken; without, any (a suspension kept from the process before). done is
// called on the relay's goroutine with the names suspended then, in order, or with ErrUnknownServer or ErrTooManySuspended.
func (r *Relay) Suspend(name string, listed bool, done func([]string, error)) {
	r.mailbox.Put(func() {
		n := r.listedServer(name)
		switch {
		case r.suspended[name]:
		case listed && n == nil:
			done(nil, ErrUnknownServer)
			return
		case len(r.suspended) >= MaxSuspended:
			done(nil, ErrTooManySuspended)
			return
		default:
			r.suspended[name] = true
			if n != nil {
				r.refresh(n.member)
			}
		}
		done(r.suspendedNames(), nil)
	})
}

// Restore ends the suspension of an execute node. It comes back as if it had just started: cold. A name neither
// suspended nor listed is ErrUnknownServer.
func (r *Relay) Restore(name string, done func([]string, error)) {
	r.mailbox.Put(func() {
		n := r.listedServer(name)
		if !r.suspended[name] && n == nil {
			done(nil, ErrUnknownServer)
			return
		}
		delete(r.suspended, name)
		if n != nil {
			m := n.member
			m.Since = max(m.Since, r.now()) // it was restarted while out, as a rule
			n.member = m
			r.refresh(m)
		}
		done(r.suspendedNames(), nil)
	})
}

// IsListed tells whether the list has an execute node of that name. It asks the relay's goroutine, which must not be the
// caller's, and takes a relay that does not answer in listedTimeout for yes.
func (r *Relay) IsListed(name string) bool {
	told := make(chan bool, 1)
	r.mailbox.Put(func() { told <- r.listedServer(name) != nil })
	select {
	case listed := <-told:
		return listed
	case <-time.After(listedTimeout):
		return true
	}
}

// ServerCounts tells how many execute nodes are listed and how many of those are suspended. Any goroutine may ask.
func (r *Relay) ServerCounts() (listed, down int) {
	return int(r.listed.Load()), int(r.unavailable.Load())
}

// seen is what the module is told of a member: a suspended one, or one that is avoided, is draining.
func (r *Relay) effective(m Member) Member {
	if (r.suspended[m.Name] || r.ejected[m.Name] || r.drainReported(m)) && m.State == logic.Ready {
		m.State = logic.Draining
	}
	return m
}

// refresh tells the module of one execute node as it is to be seen now.
func (r *Relay) refresh(m Member) {
	seen := r.effective(m)
	if n := r.servers[m.ID]; n != nil && n.Server != nil {
		seen.ListedAt = time.Now()
		n.Update(seen)
	}
	r.step(&logic.Event{Kind: logic.EvMembers, Servers: []logic.Server{seen.Server}})
	r.updateReadiness()
}

func (r *Relay) listedServer(name string) *server {
	for _, n := range r.servers {
		if n.member.Name == name && n.member.State != logic.Gone {
			return n
		}
	}
	return nil
}

func (r *Relay) suspendedNames() []string {
	names := make([]string, 0, len(r.suspended))
	for name := range r.suspended {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// count keeps readiness and the figures of the list up to date, and tells how many nodes take claims.
func (r *Relay) updateReadiness() (usable int) {
	listed, down := 0, 0
	for _, n := range r.servers {
		switch {
		case n.member.State == logic.Gone:
		case r.suspended[n.member.Name] || (r.ejected[n.member.Name] || r.drainReported(n.member)) && n.member.State == logic.Ready:
			listed, down = listed+1, down+1
		default:
			listed++
			if n.member.State == logic.Ready {
				usable++
			}
		}
	}
	r.listed.Store(int64(listed))
	r.unavailable.Store(int64(down))
	r.ready.Store(usable > 0)
	r.notifyListed()
	return usable
}
