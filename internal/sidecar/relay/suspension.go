package relay

import (
	"errors"
	"maps"
	"slices"
)

// MaxSuspended bounds the number of servers that are suspended at a time.
const MaxSuspended = 4096

// ErrUnknownServer is returned for a name that is not in the list.
var ErrUnknownServer = errors.New("no such execute node is listed")

// ErrTooManySuspended is returned for a suspension beyond MaxSuspended.
var ErrTooManySuspended = errors.New("too many execute nodes are suspended")

// Suspend presents the server of that name to the module as draining until Restore, whatever the list says: the
// server gets no new attempts, and attempts in flight continue. Suspending a suspended server changes nothing.
// If mustBeListed is set, the name must be in the list; otherwise any name is accepted, such as one suspended by
// an earlier process. done is called on the actor with the sorted names of all suspended servers, or with
// ErrUnknownServer or ErrTooManySuspended.
func (r *Relay) Suspend(name string, mustBeListed bool, done func([]string, error)) {
	r.mailbox.Put(func() {
		s := r.listedServer(name)
		switch {
		case r.suspended[name]:
		case mustBeListed && s == nil:
			done(nil, ErrUnknownServer)
			return
		case len(r.suspended) >= MaxSuspended:
			done(nil, ErrTooManySuspended)
			return
		default:
			r.suspended[name] = true
			if s != nil {
				r.refresh(s.member)
			}
		}
		done(r.suspendedNames(), nil)
	})
}

// Restore ends the suspension of a server. The server returns in slow start, as if it had just started, since
// servers are usually restarted while suspended. done is called as by Suspend; the error for a name that is
// neither suspended nor listed is ErrUnknownServer.
func (r *Relay) Restore(name string, done func([]string, error)) {
	r.mailbox.Put(func() {
		s := r.listedServer(name)
		if !r.suspended[name] && s == nil {
			done(nil, ErrUnknownServer)
			return
		}
		delete(r.suspended, name)
		if s != nil {
			m := s.member
			m.Since = max(m.Since, r.now())
			s.member = m
			r.refresh(m)
		}
		done(r.suspendedNames(), nil)
	})
}

// suspendedNames returns the sorted names of the suspended servers. The result is never nil: the stored form
// depends on that.
func (r *Relay) suspendedNames() []string {
	names := slices.AppendSeq(make([]string, 0, len(r.suspended)), maps.Keys(r.suspended))
	slices.Sort(names)
	return names
}
