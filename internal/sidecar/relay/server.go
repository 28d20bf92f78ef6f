package relay

import (
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// Server is the connections to one server. No call blocks.
type Server interface {
	// Start begins an attempt. Each one is reported exactly once, by the function given to Transport.Open.
	Start(Attempt)
	// Cancel ends an attempt that is not yet reported; another one is left alone.
	Cancel(AttemptID)
	// CloseIdle closes the connections without an attempt.
	CloseIdle()
	// TrimIdle closes those that have had none for a while.
	TrimIdle()
	// Update takes over a changed entry of the list.
	Update(Member)
	// Close says that no further attempt will start.
	Close()
}

// Transport connects to servers.
type Transport interface {
	// Open returns the server of an entry. It calls report once for each attempt, from any goroutine.
	Open(m Member, report func(AttemptID, Result)) Server
}

// ServerList is the source of the server list.
type ServerList interface {
	// Watch requests the list and changes to it from now on. It is answered by Relay.UpdateMembers or
	// Relay.ListLost, and does not block.
	Watch()
}

// Member is one entry of the server list.
type Member struct {
	logic.Server
	Name     string // as the list writes it, and as operators call the server
	Addr     string
	ListedAt time.Time // when the list said so
}

// Members is the server list or a change to it.
type Members struct {
	Members  []Member
	Complete bool // it is the whole list
	Stored   bool // it was stored before this start
}

// server is a server of the list. Most servers of a long list never get an attempt: those have a nil Server.
type server struct {
	Server
	member    Member
	pending   int           // attempts not yet reported
	startedAt time.Duration // by the list, on the module's clock
}

// UpdateMembers applies the server list or a change to it.
func (r *Relay) UpdateMembers(l Members) {
	r.mailbox.Put(func() { r.applyMembers(l) })
}

// ListLost reports that a watch failed or broke off. notifiedAt is when a change that was missed counts as
// notified; the zero time: as the contract's interval says.
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
		r.markOthersRemoved(listed)
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

// markOthersRemoved marks the servers that a complete list leaves out. The module does so by itself.
func (r *Relay) markOthersRemoved(listed map[uint64]bool) {
	for id, s := range r.servers {
		if !listed[id] {
			gone := s.member
			gone.State, gone.ListedAt = logic.Gone, time.Now()
			r.applyMember(gone)
		}
	}
}

// closeIfGone closes a server that is gone from the list once it has no pending attempt. Where gone is
// advisory the module may still send to it.
func (r *Relay) closeIfGone(id uint64, s *server) {
	if s.member.State == logic.Gone && s.pending == 0 && !r.cfg.Contract.GoneIsAdvisory {
		if s.Server != nil {
			s.Close()
		}
		delete(r.servers, id)
	}
}

// TrimIdle closes the connections to servers that have been idle for a while, to free their bytes.
func (r *Relay) TrimIdle() {
	r.mailbox.Put(func() {
		for _, s := range r.servers {
			if s.Server != nil {
				s.TrimIdle()
			}
		}
	})
}

// capacity is the least fraction (0 to 1) of its full capacity that a server has now, by the contract: during
// slow start it grows linearly.
func (r *Relay) capacity(s *server) float64 {
	c, age := &r.cfg.Contract, r.now()-s.startedAt
	if s.startedAt <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// effective is the entry as the module sees it: a server that is ready by the list but suspended, ejected or
// reported to drain is draining.
func (r *Relay) effective(m Member) Member {
	if (r.suspended[m.Name] || r.ejected[m.Name] || r.drainReported(m)) && m.State == logic.Ready {
		m.State = logic.Draining
	}
	return m
}

// refresh notifies the module and the server of an entry whose effective state may have changed.
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

// listedServer returns the server of that name which the list has, or nil.
func (r *Relay) listedServer(name string) *server {
	for _, s := range r.servers {
		if s.member.Name == name && s.member.State != logic.Gone {
			return s
		}
	}
	return nil
}

// listedTimeout is how long IsListed waits for the actor.
const listedTimeout = 300 * time.Millisecond

// IsListed reports whether the list has a server of that name. It waits for the actor, and must not be called
// on it; if the actor does not answer in time the name is taken to be listed.
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

// ServerCounts returns how many servers are listed, and how many of those are suspended, ejected or reported
// to drain.
func (r *Relay) ServerCounts() (listed, unavailable int) {
	return int(r.listed.Load()), int(r.unavailable.Load())
}

// updateReadiness updates readiness and the counts of servers, and returns how many servers take attempts.
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
