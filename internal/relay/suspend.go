package relay

import (
	"errors"
	"slices"
	"time"

	"fieldrelay/logic"
)

// MostSuspended bounds the execute nodes that are suspended at once.
const MostSuspended = 4096

const listsWait = 300 * time.Millisecond

// ErrUnknown is the error of a name that no entry of the list has.
var ErrUnknown = errors.New("no such execute node is listed")

// ErrTooMany is the error of a suspension over MostSuspended.
var ErrTooMany = errors.New("too many execute nodes are suspended")

// Suspend makes the module see the execute node of that name as draining until Restore, whatever the list says
// meanwhile: nothing new goes to it, and what is out there ends as it would. A second suspension changes nothing.
// With listed, only a name of the list is taken; without, any (a suspension kept from the process before). done is
// called on the relay's goroutine with the names suspended then, in order, or with ErrUnknown or ErrTooMany.
func (r *Relay) Suspend(name string, listed bool, done func([]string, error)) {
	r.box.Put(func() {
		n := r.named(name)
		switch {
		case r.suspended[name]:
		case listed && n == nil:
			done(nil, ErrUnknown)
			return
		case len(r.suspended) >= MostSuspended:
			done(nil, ErrTooMany)
			return
		default:
			r.suspended[name] = true
			if n != nil {
				r.tellOne(n.member)
			}
		}
		done(r.suspendedNames(), nil)
	})
}

// Restore ends the suspension of an execute node. It comes back as if it had just started: cold. A name neither
// suspended nor listed is ErrUnknown.
func (r *Relay) Restore(name string, done func([]string, error)) {
	r.box.Put(func() {
		n := r.named(name)
		if !r.suspended[name] && n == nil {
			done(nil, ErrUnknown)
			return
		}
		delete(r.suspended, name)
		if n != nil {
			m := n.member
			m.Since = max(m.Since, r.now()) // it was restarted while out, as a rule
			n.member = m
			r.tellOne(m)
		}
		done(r.suspendedNames(), nil)
	})
}

// Lists tells whether the list has an execute node of that name. It asks the relay's goroutine, which must not be the
// caller's, and takes a relay that does not answer in listsWait for yes.
func (r *Relay) Lists(name string) bool {
	told := make(chan bool, 1)
	r.box.Put(func() { told <- r.named(name) != nil })
	select {
	case listed := <-told:
		return listed
	case <-time.After(listsWait):
		return true
	}
}

// Hosts tells how many execute nodes are listed and how many of those are suspended. Any goroutine may ask.
func (r *Relay) Hosts() (listed, down int) { return int(r.listed.Load()), int(r.down.Load()) }

// seen is what the module is told of a member: a suspended one, or one that is avoided, is draining.
func (r *Relay) seen(m Member) Member {
	if (r.suspended[m.Name] || r.avoided[m.Name] || r.drained(m)) && m.State == logic.Ready {
		m.State = logic.Draining
	}
	return m
}

// tellOne tells the module of one execute node as it is to be seen now.
func (r *Relay) tellOne(m Member) {
	seen := r.seen(m)
	if n := r.open[m.ID]; n != nil && n.Node != nil {
		seen.Told = time.Now()
		n.Update(seen)
	}
	r.step(&logic.Event{Kind: logic.EvMembers, Servers: []logic.Server{seen.Server}})
	r.count()
}

func (r *Relay) named(name string) *node {
	for _, n := range r.open {
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
func (r *Relay) count() (usable int) {
	listed, down := 0, 0
	for _, n := range r.open {
		switch {
		case n.member.State == logic.Gone:
		case r.suspended[n.member.Name] || (r.avoided[n.member.Name] || r.drained(n.member)) && n.member.State == logic.Ready:
			listed, down = listed+1, down+1
		default:
			listed++
			if n.member.State == logic.Ready {
				usable++
			}
		}
	}
	r.listed.Store(int64(listed))
	r.down.Store(int64(down))
	r.ready.Store(usable > 0)
	r.tellListed()
	return usable
}
