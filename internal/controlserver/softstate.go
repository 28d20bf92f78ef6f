package controlserver

import (
	"sync"
	"sync/atomic"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/registry"
)

const (
	// tickEvery is the time between two looks at what time alone changes.
	tickEvery = 250 * time.Millisecond

	// startTick stands for tickEvery in the time startTicksFor after a start: the view and the other machines are
	// only just being heard of, and the edge waits.
	startTick     = 20 * time.Millisecond
	startTicksFor = 3 * time.Second

	// directorySettling is the time after a start, or after a standstill, in which clients get no addresses
	// unless most of the proxies that are known take requests, and one of their region if they are bound to it:
	// a few early ones would draw all clients, and proxies of other regions those whose own ones have not been heard
	// of yet.
	directorySettling = 1500 * time.Millisecond

	// membersSettling is the time after a start, or after a standstill, in which agents are not told the
	// members: a list that is too short would make their shares of common bounds too large.
	membersSettling = 3 * time.Second

	// membersPeriod is the shortest time between two changes of the members that agents are told: each of them
	// gets the whole list, and when many machines start there is a change with every one.
	membersPeriod = time.Second

	// standstill is a time between two ticks that shows that this process was frozen or starved.
	standstill = 2 * time.Second

	// standstillCalm is the time after a standstill in which nothing that is told of edge machines counts: it may
	// have waited here, and they may be gone since.
	standstillCalm = 500 * time.Millisecond
)

// softPicture is what the soft state shows to readers. It never changes.
type softPicture struct {
	members *registry.Members
	list    *registry.ServerList // nil before the first
	settled bool                 // the members may be told to agents

	// toldVersion is the version of the members that agents are to know; that of members may be a little later.
	toldVersion uint64
}

// knows reports whether an agent that holds a version of the members need not be told them.
func (p *softPicture) knows(version uint64) bool {
	return version >= p.toldVersion && version <= p.members.Version()
}

// softState guards the registry's machines. Readers take the picture; it is swapped whole.
type softState struct {
	now     func() time.Duration // steady clock
	act     func(registry.Action)
	picture atomic.Pointer[softPicture]

	committed atomic.Uint64 // highest sequence that the lateness was told of

	mutex        sync.Mutex
	agents       *registry.Agents
	inventory    *registry.ServerInventory
	lateness     *registry.LagMonitor
	settlingFrom time.Duration
	calmFrom     time.Duration // what comes before may have waited for this process
	lastTick     time.Duration
	toldAt       time.Duration // when toldVersion changed last
	notified     *softPicture  // that the last closing of changed told of
	changed      chan struct{}
}

// newSoftState returns an empty state. act is called for every action of the inventory, never under a lock.
func newSoftState(now func() time.Duration, agents *registry.Agents, inventory *registry.ServerInventory, act func(registry.Action)) *softState {
	state := &softState{
		now:          now,
		act:          act,
		agents:       agents,
		inventory:    inventory,
		lateness:     registry.NewLagMonitor(),
		settlingFrom: now(),
		lastTick:     now(),
		changed:      make(chan struct{}),
	}
	state.picture.Store(&softPicture{members: agents.Refresh(now())})
	state.notified = state.picture.Load()
	return state
}

// Picture is the newest picture.
func (s *softState) Picture() *softPicture { return s.picture.Load() }

// Changed returns a channel that is closed when there is news for agents. Changes of members are told at the
// next tick, so that many of them at once wake the agents only once.
func (s *softState) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Heard takes what an agent says of itself and of the list that it holds.
func (s *softState) Heard(record *pb.AgentRecord, held *pb.ListVersion) {
	s.update(func(now time.Duration) []registry.Action {
		var late []registry.Action
		if !s.mayHaveWaited(now) {
			late = s.lateness.Observe(now, record)
			if s.agents.Observe(now, record) {
				s.refresh(now)
			}
		}
		return append(late, s.inventory.Step(now, registry.VersionObserved{Version: held})...)
	})
}

// Heartbeat takes the soft part of another control machine's heartbeat.
func (s *softState) Heartbeat(heartbeat *pb.Heartbeat) {
	s.update(func(now time.Duration) []registry.Action {
		if !s.mayHaveWaited(now) {
			s.lateness.Merge(now, heartbeat.GetAgents())
			if s.agents.Merge(now, heartbeat.GetAgents()) {
				s.refresh(now)
			}
		}
		return s.inventory.Step(now, registry.VersionObserved{Version: heartbeat.GetList(), Peer: true})
	})
}

// ServerList takes a list of another control machine.
func (s *softState) ServerList(list *pb.ServerList) {
	s.update(func(now time.Duration) []registry.Action {
		return s.inventory.Step(now, registry.ListReceived{List: list})
	})
}

// PollDone takes the result of a reading of the platform's list.
func (s *softState) PollDone(done registry.PollDone) {
	s.update(func(now time.Duration) []registry.Action {
		return s.inventory.Step(now, done)
	})
}

// SetRate changes the number of calls a second that the platform accepts.
func (s *softState) SetRate(rate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inventory.SetRate(rate)
}

// Tick looks at what time changes.
func (s *softState) Tick(tick registry.Tick) {
	s.update(func(now time.Duration) []registry.Action {
		if now-s.lastTick >= standstill {
			s.settlingFrom = now
			s.calmFrom = now + standstillCalm
		}
		s.lastTick = now
		s.refresh(now)
		s.tellMembers(now)
		actions := s.inventory.Step(now, tick)
		s.notify()
		return append(actions, s.lateness.Step(now)...)
	})
}

// Report is what heartbeats to the other control machines carry.
func (s *softState) Report() ([]*pb.AgentRecord, *pb.ListVersion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.agents.Report(s.now()), s.inventory.AdvertisedVersion()
}

// Endpoints returns the edge addresses for a client, none while too little is known.
func (s *softState) Endpoints(client registry.Client, rotation uint64) []string {
	now := s.now()
	s.mutex.Lock()
	settling := now < s.settlingFrom+directorySettling
	s.mutex.Unlock()
	members := s.Picture().members
	served := members.MostlyServing(now) && (!client.Homes.IsRestricted() || members.Serves(now, client.Region))
	if settling && !served {
		return nil
	}
	return members.Endpoints(now, client, rotation)
}

// Holder reports whether this machine reads the platform's list.
func (s *softState) Holder() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inventory.IsOwner()
}

// mayHaveWaited reports whether what arrives now may have waited while this process did not run. The lock is held.
func (s *softState) mayHaveWaited(now time.Duration) bool {
	return now < s.calmFrom || now-s.lastTick >= standstill
}

// update runs one step under the lock and then acts on what it asks for.
func (s *softState) update(step func(now time.Duration) []registry.Action) {
	s.mutex.Lock()
	actions := step(s.now())
	if list := s.inventory.Current(); list != s.Picture().list {
		s.swap(func(picture *softPicture) { picture.list = list })
	}
	for _, action := range actions {
		if _, news := action.(registry.ListChanged); news {
			s.notify()
		}
	}
	s.mutex.Unlock()
	for _, action := range actions {
		s.act(action)
	}
}

// refresh brings the members in the picture up to date. The lock is held.
func (s *softState) refresh(now time.Duration) {
	members := s.agents.Refresh(now)
	settled := now >= s.settlingFrom+membersSettling
	s.swap(func(picture *softPicture) {
		picture.members = members
		picture.settled = settled
	})
}

// tellMembers lets the agents know the present members unless they were told others only just now. The lock is
// held.
func (s *softState) tellMembers(now time.Duration) {
	picture := s.Picture()
	version := picture.members.Version()
	if version == picture.toldVersion || picture.toldVersion != 0 && now < s.toldAt+membersPeriod {
		return
	}
	s.toldAt = now
	s.swap(func(picture *softPicture) { picture.toldVersion = version })
}

// swap replaces the picture by a changed copy. The lock is held.
func (s *softState) swap(change func(*softPicture)) {
	copied := *s.Picture()
	change(&copied)
	s.picture.Store(&copied)
}

// notify wakes the agents if there is something new for them. The lock is held.
func (s *softState) notify() {
	picture := s.Picture()
	same := picture.settled == s.notified.settled &&
		picture.toldVersion == s.notified.toldVersion &&
		registry.CompareVersions(picture.list.Version(), s.notified.list.Version()) == 0
	if same {
		return
	}
	s.notified = picture
	close(s.changed)
	s.changed = make(chan struct{})
}
