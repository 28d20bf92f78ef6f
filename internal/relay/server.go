package relay

import (
	"time"

	"fieldrelay/logic"
)

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

// node is an execute node of the list. Most of a long list never get a claim: those have no Node.
type server struct {
	Server
	member    Member
	inFlight  int           // claims not yet reported
	startedAt time.Duration // its start, by the list
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

// warm is the part of its full capacity that a node has at the least since its start, by the contract.
func (r *Relay) capacity(n *server) float64 {
	c, age := &r.cfg.Contract, r.now()-n.startedAt
	if n.startedAt <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
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

func (r *Relay) refreshNamed(name string) {
	if n := r.listedServer(name); n != nil {
		r.refresh(n.member)
	}
}

func (r *Relay) listedServer(name string) *server {
	for _, n := range r.servers {
		if n.member.Name == name && n.member.State != logic.Gone {
			return n
		}
	}
	return nil
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

const listedTimeout = 300 * time.Millisecond

// ServerCounts tells how many execute nodes are listed and how many of those are suspended. Any goroutine may ask.
func (r *Relay) ServerCounts() (listed, down int) {
	return int(r.listed.Load()), int(r.unavailable.Load())
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
