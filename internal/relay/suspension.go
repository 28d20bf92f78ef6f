package relay

import (
	"errors"
	"slices"
)

// MaxSuspended bounds the execute nodes that are suspended at once.
const MaxSuspended = 4096

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

func (r *Relay) suspendedNames() []string {
	names := make([]string, 0, len(r.suspended))
	for name := range r.suspended {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
