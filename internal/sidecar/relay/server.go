package relay

import (
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// Server manages the connections to one server. No method blocks.
type Server interface {
	// Start begins an attempt. Each attempt is reported exactly once, by the function given to Transport.Open.
	Start(Attempt)
	// Cancel ends an attempt that is not yet reported; for any other attempt it does nothing.
	Cancel(AttemptID)
	// CloseIdle closes the connections without an attempt.
	CloseIdle()
	// TrimIdle closes the connections that have had no attempt for a while.
	TrimIdle()
	// Update applies a changed entry of the list.
	Update(Member)
	// Close releases the server; no attempt is started after it.
	Close()
}

// Transport connects to servers.
type Transport interface {
	// Open returns the server of a list entry, which calls report once for each attempt, from any goroutine.
	Open(m Member, report func(AttemptID, Result)) Server
}

// ServerList is the source of the server list.
type ServerList interface {
	// Watch subscribes to the list and its changes. The list answers by calling Relay.UpdateMembers or
	// Relay.ListLost. Watch does not block.
	Watch()
}

// Member is one entry of the server list.
type Member struct {
	logic.Server
	Name     string // name of the server in the list and in operators' commands
	Addr     string
	ListedAt time.Time // time at which the list reported this entry
}

// Members is the server list or a change to it.
type Members struct {
	Members  []Member
	Complete bool // Members is the whole list, not a change
	Stored   bool // Members was stored before this start of the process or module
}

// server is a server of the list. Its Server is nil until its first attempt, since most servers of a long list
// never get one.
type server struct {
	Server
	member    Member
	pending   int           // number of attempts not yet reported
	startedAt time.Duration // start time of the server as listed, on the module's clock
}

// UpdateMembers applies the server list or a change to it.
func (r *Relay) UpdateMembers(l Members) {
	r.mailbox.Put(func() { r.applyMembers(l) })
}

// ListLost reports that a watch failed or ended. notifiedAt is the time at which a missed change counts as
// notified; if it is zero, the interval of the contract applies.
func (r *Relay) ListLost(notifiedAt time.Time) {
	r.mailbox.Put(func() {
		ev := &logic.Event{Kind: logic.EvListLost}
		if !notifiedAt.IsZero() {
			ev.Expires = r.moduleTime(notifiedAt)
		}
		r.step(ev)
	})
}

func (r *Relay) applyMembers(l Members) {
	ev := logic.Event{Kind: logic.EvServerList, Complete: l.Complete, Stored: l.Stored}
	listed := map[uint64]bool{}
	for _, m := range l.Members {
		listed[m.ID] = true
		if !l.Stored {
			r.notifyDrain(m)
		}
		r.applyMember(m)
		ev.Servers = append(ev.Servers, r.effective(m).Server)
	}
	if l.Complete {
		r.markUnlistedRemoved(listed)
	}
	r.notifyListed()
	r.step(&ev)
	for id, s := range r.servers {
		r.closeIfGone(id, s)
	}
	usable := r.updateReadiness()
	r.restoreIfNoneReady()
	r.log.Info().Int("changed", len(l.Members)).Bool("complete", l.Complete).Bool("stored", l.Stored).
		Int("usable", usable).Msg("server list updated")
}

func (r *Relay) applyMember(m Member) {
	s := r.servers[m.ID]
	switch {
	case s != nil:
		s.member, s.startedAt = m, m.Since
		if s.Server != nil {
			s.Update(r.effective(m))
		}
	case m.State != logic.Gone:
		r.servers[m.ID] = &server{member: m, startedAt: m.Since}
	}
}

// markUnlistedRemoved marks the servers missing from a complete list as gone. The module does the same for its own
// state.
func (r *Relay) markUnlistedRemoved(listed map[uint64]bool) {
	for id, s := range r.servers {
		if !listed[id] {
			gone := s.member
			gone.State, gone.ListedAt = logic.Gone, time.Now()
			r.applyMember(gone)
		}
	}
}

// closeIfGone closes and forgets a server that the list has as gone and that has no pending attempt. If
// Contract.GoneIsAdvisory is set, the server stays open, since the module may still send to it.
func (r *Relay) closeIfGone(id uint64, s *server) {
	if s.member.State == logic.Gone && s.pending == 0 && !r.cfg.Contract.GoneIsAdvisory {
		if s.Server != nil {
			s.Close()
		}
		delete(r.servers, id)
	}
}

// TrimIdle closes the connections to servers that have been idle for a while, to free memory.
func (r *Relay) TrimIdle() {
	r.mailbox.Put(func() {
		for _, s := range r.servers {
			if s.Server != nil {
				s.TrimIdle()
			}
		}
	})
}

// capacity returns the minimum fraction (0 to 1) of its full capacity that the contract guarantees for a server
// now. It grows linearly during slow start.
func (r *Relay) capacity(s *server) float64 {
	c, age := &r.cfg.Contract, r.now()-s.startedAt
	if s.startedAt <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// effective returns the entry as the module sees it: a server that the list has as ready is draining if it is
// suspended, ejected or reported to drain.
func (r *Relay) effective(m Member) Member {
	if (r.suspended[m.Name] || r.ejected[m.Name] || r.drainReported(m)) && m.State == logic.Ready {
		m.State = logic.Draining
	}
	return m
}

// refresh passes an entry whose effective state may have changed to the module and to the server's connections.
func (r *Relay) refresh(m Member) {
	effective := r.effective(m)
	if s := r.servers[m.ID]; s != nil && s.Server != nil {
		effective.ListedAt = time.Now()
		s.Update(effective)
	}
	r.notifyListed()
	r.step(&logic.Event{Kind: logic.EvServerList, Servers: []logic.Server{effective.Server}})
	r.updateReadiness()
}

func (r *Relay) refreshNamed(name string) {
	if s := r.listedServer(name); s != nil {
		r.refresh(s.member)
	}
}

// listedServer returns the listed server of that name, or nil.
func (r *Relay) listedServer(name string) *server {
	for _, s := range r.servers {
		if s.member.Name == name && s.member.State != logic.Gone {
			return s
		}
	}
	return nil
}

// listedTimeout bounds how long IsListed waits for the actor.
const listedTimeout = 300 * time.Millisecond

// IsListed reports whether the list has a server of that name. It waits for the actor, so it must not be called
// on the actor. If the actor does not answer within listedTimeout, IsListed returns true.
func (r *Relay) IsListed(name string) bool {
	answer := make(chan bool, 1)
	r.mailbox.Put(func() { answer <- r.listedServer(name) != nil })
	select {
	case listed := <-answer:
		return listed
	case <-time.After(listedTimeout):
		return true
	}
}

// ServerCounts returns the number of listed servers and the number of those that are suspended, ejected or
// reported to drain.
func (r *Relay) ServerCounts() (listed, unavailable int) {
	return int(r.listed.Load()), int(r.unavailable.Load())
}

// updateReadiness updates readiness and the server counts, and returns the number of servers that accept
// attempts.
func (r *Relay) updateReadiness() (usable int) {
	listed, unavailable := 0, 0
	for _, s := range r.servers {
		switch state := r.effective(s.member).State; {
		case s.member.State == logic.Gone:
		case r.suspended[s.member.Name] || state != s.member.State:
			listed, unavailable = listed+1, unavailable+1
		default:
			listed++
			if state == logic.Ready {
				usable++
			}
		}
	}
	r.listed.Store(int64(listed))
	r.unavailable.Store(int64(unavailable))
	r.ready.Store(usable > 0)
	return usable
}
