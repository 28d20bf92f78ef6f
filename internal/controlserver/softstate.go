package controlserver

import (
	"sync"
	"sync/atomic"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/registry"
)

const (
	// tickInterval is the time between two looks at what time alone changes.
	tickInterval = 250 * time.Millisecond

	// startupTickInterval stands for tickInterval in the time startupDuration after a start: the view and the other machines are
	// only just being heard of, and the edge waits.
	startupTickInterval = 20 * time.Millisecond
	startupDuration     = 3 * time.Second

	// directoryConvergenceTime is the time after a start, or after a standstill, in which clients get no addresses
	// unless most of the proxies that are known take requests, and one of their region if they are bound to it:
	// a few early ones would draw all clients, and proxies of other regions those whose own ones have not been heard
	// of yet.
	directoryConvergenceTime = 1500 * time.Millisecond

	// membersConvergenceTime is the time after a start, or after a standstill, in which agents are not told the
	// members: a list that is too short would make their shares of common bounds too large.
	membersConvergenceTime = 3 * time.Second

	// membersNotifyInterval is the shortest time between two changes of the members that agents are told: each of them
	// gets the whole list, and when many machines start there is a change with every one.
	membersNotifyInterval = time.Second

	// standstill is a time between two ticks that shows that this process was frozen or starved.
	stallThreshold = 2 * time.Second

	// stallGracePeriod is the time after a standstill in which nothing that is told of edge machines counts: it may
	// have waited here, and they may be gone since.
	stallGracePeriod = 500 * time.Millisecond
)

// softSnapshot is what the soft state shows to readers. It never changes.
type softSnapshot struct {
	members   *registry.Members
	list      *registry.ServerList // nil before the first
	converged bool                 // the members may be told to agents

	// notifiedVersion is the version of the members that agents are to know; that of members may be a little later.
	notifiedVersion uint64
}

// knows reports whether an agent that holds a version of the members need not be told them.
func (p *softSnapshot) isCurrent(version uint64) bool {
	return version >= p.notifiedVersion && version <= p.members.Version()
}

// softState guards the registry's machines. Readers take the picture; it is swapped whole.
type softState struct {
	now      func() time.Duration // steady clock
	execute  func(registry.Action)
	snapshot atomic.Pointer[softSnapshot]

	observedSequence atomic.Uint64 // highest sequence that the lateness was told of

	mutex             sync.Mutex
	agents            *registry.Agents
	inventory         *registry.ServerInventory
	lagMonitor        *registry.LagMonitor
	convergingSince   time.Duration
	graceEnd          time.Duration // what comes before may have waited for this process
	lastTick          time.Duration
	membersNotifiedAt time.Duration // when notifiedVersion changed last
	lastNotified      *softSnapshot // that the last closing of changed told of
	changed           chan struct{}
}

// newSoftState returns an empty state. act is called for every action of the inventory, never under a lock.
func newSoftState(now func() time.Duration, agents *registry.Agents, inventory *registry.ServerInventory, act func(registry.Action)) *softState {
	state := &softState{
		now:             now,
		execute:         act,
		agents:          agents,
		inventory:       inventory,
		lagMonitor:      registry.NewLagMonitor(),
		convergingSince: now(),
		lastTick:        now(),
		changed:         make(chan struct{}),
	}
	state.snapshot.Store(&softSnapshot{members: agents.Refresh(now())})
	state.lastNotified = state.snapshot.Load()
	return state
}

// Snapshot is the newest picture.
func (s *softState) Snapshot() *softSnapshot { return s.snapshot.Load() }

// Changed returns a channel that is closed when there is news for agents. Changes of members are told at the
// next tick, so that many of them at once wake the agents only once.
func (s *softState) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// ObserveAgent takes what an agent says of itself and of the list that it holds.
func (s *softState) ObserveAgent(record *pb.AgentRecord, held *pb.ListVersion) {
	s.update(func(now time.Duration) []registry.Action {
		var late []registry.Action
		if !s.mayBeDelayed(now) {
			late = s.lagMonitor.Observe(now, record)
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
		if !s.mayBeDelayed(now) {
			s.lagMonitor.Merge(now, heartbeat.GetAgents())
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
		if now-s.lastTick >= stallThreshold {
			s.convergingSince = now
			s.graceEnd = now + stallGracePeriod
		}
		s.lastTick = now
		s.refresh(now)
		s.notifyMembers(now)
		actions := s.inventory.Step(now, tick)
		s.notify()
		return append(actions, s.lagMonitor.Step(now)...)
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
	settling := now < s.convergingSince+directoryConvergenceTime
	s.mutex.Unlock()
	members := s.Snapshot().members
	served := members.MostlyServing(now) && (!client.Homes.IsRestricted() || members.Serves(now, client.Region))
	if settling && !served {
		return nil
	}
	return members.Endpoints(now, client, rotation)
}

// IsOwner reports whether this machine reads the platform's list.
func (s *softState) IsOwner() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inventory.IsOwner()
}

// mayBeDelayed reports whether what arrives now may have waited while this process did not run. The lock is held.
func (s *softState) mayBeDelayed(now time.Duration) bool {
	return now < s.graceEnd || now-s.lastTick >= stallThreshold
}

// update runs one step under the lock and then acts on what it asks for.
func (s *softState) update(step func(now time.Duration) []registry.Action) {
	s.mutex.Lock()
	actions := step(s.now())
	if list := s.inventory.Current(); list != s.Snapshot().list {
		s.updateSnapshot(func(picture *softSnapshot) { picture.list = list })
	}
	for _, action := range actions {
		if _, news := action.(registry.ListChanged); news {
			s.notify()
		}
	}
	s.mutex.Unlock()
	for _, action := range actions {
		s.execute(action)
	}
}

// refresh brings the members in the picture up to date. The lock is held.
func (s *softState) refresh(now time.Duration) {
	members := s.agents.Refresh(now)
	settled := now >= s.convergingSince+membersConvergenceTime
	s.updateSnapshot(func(picture *softSnapshot) {
		picture.members = members
		picture.converged = settled
	})
}

// notifyMembers lets the agents know the present members unless they were told others only just now. The lock is
// held.
func (s *softState) notifyMembers(now time.Duration) {
	picture := s.Snapshot()
	version := picture.members.Version()
	if version == picture.notifiedVersion || picture.notifiedVersion != 0 && now < s.membersNotifiedAt+membersNotifyInterval {
		return
	}
	s.membersNotifiedAt = now
	s.updateSnapshot(func(picture *softSnapshot) { picture.notifiedVersion = version })
}

// swap replaces the picture by a changed copy. The lock is held.
func (s *softState) updateSnapshot(change func(*softSnapshot)) {
	copied := *s.Snapshot()
	change(&copied)
	s.snapshot.Store(&copied)
}

// notify wakes the agents if there is something new for them. The lock is held.
func (s *softState) notify() {
	picture := s.Snapshot()
	same := picture.converged == s.lastNotified.converged &&
		picture.notifiedVersion == s.lastNotified.notifiedVersion &&
		registry.CompareVersions(picture.list.Version(), s.lastNotified.list.Version()) == 0
	if same {
		return
	}
	s.lastNotified = picture
	close(s.changed)
	s.changed = make(chan struct{})
}
