package controlserver

import (
	"sync"
	"sync/atomic"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/serverlist"
)

const (
	// tickInterval is the time between two calls of softState.Tick.
	tickInterval = 250 * time.Millisecond

	// startupTickInterval replaces tickInterval for startupDuration after the start, when the first views and
	// heartbeats arrive and edge machines are waiting for them.
	startupTickInterval = 20 * time.Millisecond
	startupDuration     = 3 * time.Second

	// directoryConvergenceTime is the time after a start or a stall in which clients get no addresses unless most of
	// the known proxies accept requests and, for requests that have home regions, a proxy of the client's region does.
	// Otherwise the first few proxies would attract all clients, and proxies of other regions would attract clients for
	// whose region no proxy has been observed yet.
	directoryConvergenceTime = 1500 * time.Millisecond

	// membersConvergenceTime is the time after a start or a stall in which the members are not sent to agents: with an
	// incomplete list the agents' quota shares would be too large.
	membersConvergenceTime = 3 * time.Second

	// membersNotifyInterval is the minimum time between two versions of the members that agents are notified of.
	// Each version costs a transfer of the complete list to every agent, and while many machines start, each start
	// changes the version.
	membersNotifyInterval = time.Second

	// stallThreshold is the minimum time between two ticks at which this process counts as having been stalled, that is
	// suspended or starved of CPU.
	stallThreshold = 2 * time.Second

	// stallGracePeriod is the time after a stall in which reports about edge machines are ignored: the reports may have
	// been queued at this machine during the stall, and their senders may have failed since then.
	stallGracePeriod = 500 * time.Millisecond
)

// softSnapshot is an immutable copy of the soft state for readers.
type softSnapshot struct {
	members   *registry.Members
	list      *registry.ServerList // newest server list; nil before the first list
	converged bool                 // the members are complete enough to be sent to agents

	// notifiedVersion is the version of the members that agents were last notified of; the field members may be newer.
	notifiedVersion uint64
}

// isCurrent reports whether an agent with the given version of the members needs no newer version.
func (s *softSnapshot) isCurrent(version uint64) bool {
	return version >= s.notifiedVersion && version <= s.members.Version()
}

// softState is the soft state of this machine about edge machines and servers, which is maintained without consensus
// and lost when the process ends. It serializes the access to the state machines of package registry. Its methods are
// safe for concurrent use. Readers use the current snapshot, which is replaced atomically and needs no lock.
type softState struct {
	now      func() time.Duration // monotonic clock
	execute  func(registry.Action)
	snapshot atomic.Pointer[softSnapshot]

	observedSequence atomic.Uint64 // highest committed sequence passed to lagMonitor

	mutex             sync.Mutex // guards the fields below and the replacement of snapshot
	agents            *registry.Agents
	inventory         *registry.ServerInventory
	lagMonitor        *registry.LagMonitor
	convergingSince   time.Duration // time of the start, or of the end of the last stall
	graceEnd          time.Duration // end of the period after a stall in which reports are ignored
	lastTick          time.Duration
	membersNotifiedAt time.Duration // time of the last change of notifiedVersion
	lastNotified      *softSnapshot // snapshot at the last closing of changed
	changed           chan struct{} // closed at the next update for agents
}

// newSoftState returns an empty state. execute is called for every action of the inventory and of the lag monitor,
// never while the lock is held.
func newSoftState(now func() time.Duration, agents *registry.Agents, inventory *registry.ServerInventory, execute func(registry.Action)) *softState {
	state := &softState{
		now:             now,
		execute:         execute,
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

// Snapshot returns the current snapshot.
func (s *softState) Snapshot() *softSnapshot { return s.snapshot.Load() }

// Changed returns a channel that is closed when there is an update for agents. A change of the members closes it only
// at the next tick, so that simultaneous changes wake the agents only once.
func (s *softState) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// ObserveAgent records an agent's report about itself and the version of the agent's server list.
func (s *softState) ObserveAgent(record *pb.AgentRecord, version *pb.ListVersion) {
	s.update(func(now time.Duration) []registry.Action {
		var actions []registry.Action
		if !s.mayBeDelayed(now) {
			actions = s.lagMonitor.Observe(now, record)
			if s.agents.Observe(now, record) {
				s.refresh(now)
			}
		}
		return append(actions, s.inventory.Step(now, registry.VersionObserved{Version: version})...)
	})
}

// Heartbeat merges the soft state in another control machine's heartbeat.
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

// ServerList processes a server list from another control machine.
func (s *softState) ServerList(list *pb.ServerList) {
	s.update(func(now time.Duration) []registry.Action {
		return s.inventory.Step(now, registry.ListReceived{List: list})
	})
}

// PollDone processes the result of one poll of the platform.
func (s *softState) PollDone(done registry.PollDone) {
	s.update(func(now time.Duration) []registry.Action {
		return s.inventory.Step(now, done)
	})
}

// SetRate changes the number of calls per second that the platform accepts.
func (s *softState) SetRate(rate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inventory.SetRate(rate)
}

// Tick advances all state that changes with time. It also detects stalls of this process, by the time since the
// previous tick.
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

// Report returns the soft state for this machine's heartbeats.
func (s *softState) Report() ([]*pb.AgentRecord, *pb.ListVersion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.agents.Report(s.now()), s.inventory.AdvertisedVersion()
}

// Endpoints returns the edge addresses for a client, none while the state has not converged far enough. rotation
// determines the order of the addresses.
func (s *softState) Endpoints(client registry.Client, rotation uint64) []string {
	now := s.now()
	s.mutex.Lock()
	converging := now < s.convergingSince+directoryConvergenceTime
	s.mutex.Unlock()
	members := s.Snapshot().members
	served := members.MostlyServing(now) && (!client.HomeRegions.IsRestricted() || members.Serves(now, client.Region))
	if converging && !served {
		return nil
	}
	return members.Endpoints(now, client, rotation)
}

// IsOwner reports whether this machine owns the singleton role of polling the platform's server list.
func (s *softState) IsOwner() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inventory.IsOwner()
}

// mayBeDelayed reports whether a message that is processed now may have been queued during a stall. The caller holds
// the lock.
func (s *softState) mayBeDelayed(now time.Duration) bool {
	return now < s.graceEnd || now-s.lastTick >= stallThreshold
}

// update runs one step under the lock and then, without it, executes the actions that the step returned.
func (s *softState) update(step func(now time.Duration) []registry.Action) {
	for _, action := range s.stepLocked(step) {
		s.execute(action)
	}
}

// stepLocked runs one step under the lock, publishes a changed server list and returns the step's actions.
func (s *softState) stepLocked(step func(now time.Duration) []registry.Action) []registry.Action {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	actions := step(s.now())
	if list := s.inventory.Current(); list != s.Snapshot().list {
		s.updateSnapshot(func(snapshot *softSnapshot) { snapshot.list = list })
	}
	for _, action := range actions {
		if _, isListChange := action.(registry.ListChanged); isListChange {
			s.notify()
		}
	}
	return actions
}

// refresh updates the members in the snapshot. The caller holds the lock.
func (s *softState) refresh(now time.Duration) {
	members := s.agents.Refresh(now)
	converged := now >= s.convergingSince+membersConvergenceTime
	s.updateSnapshot(func(snapshot *softSnapshot) {
		snapshot.members = members
		snapshot.converged = converged
	})
}

// notifyMembers sets notifiedVersion to the version of the present members, at most once per membersNotifyInterval. The
// caller holds the lock.
func (s *softState) notifyMembers(now time.Duration) {
	snapshot := s.Snapshot()
	version := snapshot.members.Version()
	if version == snapshot.notifiedVersion || snapshot.notifiedVersion != 0 && now < s.membersNotifiedAt+membersNotifyInterval {
		return
	}
	s.membersNotifiedAt = now
	s.updateSnapshot(func(snapshot *softSnapshot) { snapshot.notifiedVersion = version })
}

// updateSnapshot replaces the snapshot by a modified copy. The caller holds the lock.
func (s *softState) updateSnapshot(modify func(*softSnapshot)) {
	modified := *s.Snapshot()
	modify(&modified)
	s.snapshot.Store(&modified)
}

// notify closes the channel of Changed if the snapshot has an update for agents. The caller holds the lock.
func (s *softState) notify() {
	snapshot := s.Snapshot()
	unchanged := snapshot.converged == s.lastNotified.converged &&
		snapshot.notifiedVersion == s.lastNotified.notifiedVersion &&
		serverlist.CompareVersions(snapshot.list.Version(), s.lastNotified.list.Version()) == 0
	if unchanged {
		return
	}
	s.lastNotified = snapshot
	close(s.changed)
	s.changed = make(chan struct{})
}
