package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
	"fieldrelay/internal/region/serverlist"
)

// snapshot is the state by which the proxy serves requests: the configuration and the server list. It is immutable; an
// update replaces it.
type snapshot struct {
	table      *route.Table
	sequence   uint64                       // sequence of the last change
	generation uint64                       // the operator's generation of the configuration; 0 if there is no configuration
	list       *pb.ListVersion              // version of the server list; nil if there is no list
	servers    map[upstream.Server]struct{} // servers of the server list
	confirmed  bool                         // an authoritative control machine confirmed the state after this process started
}

// configured reports whether the snapshot has a configuration of the operator.
func (s *snapshot) configured() bool { return s.generation > 0 }

// complete reports whether the snapshot has everything that the proxy needs to be ready: a configuration, a server list
// and the control machine's confirmation.
func (s *snapshot) complete() bool { return s.configured() && s.confirmed && s.list != nil }

// update is the result of applying one message from the agent.
type update struct {
	tableChanged bool
	listChanged  bool
	rejected     []*route.ItemError // items that were rejected as a whole
	partial      []*route.ItemError // items of which some members could not be applied
	stale        int                // ignored full states and changes that were not newer than the snapshot
	gap          bool               // changes were ignored since they did not directly follow the snapshot
	fullStates   int                // full states that were applied
	regressed    bool               // the new snapshot is older than its predecessor, which must never happen
}

// setTable sets a new routing table in a snapshot and records the items that were not applied.
func (u *update) setTable(next *snapshot, built route.RebuildResult) {
	next.table = built.Table
	u.tableChanged = true
	u.rejected = append(u.rejected, built.LeftOut...)
	u.partial = append(u.partial, built.PartiallyApplied...)
}

// snapshotStore holds the snapshot in force. Readers load it without a lock; writers hold mu. A snapshotStore is safe for
// concurrent use.
type snapshotStore struct {
	mu      sync.Mutex // held by writers; guards gap and changed
	current atomic.Pointer[snapshot]
	// gap is set when changes arrive that don't directly follow the snapshot. It is cleared when a full state, or a change
	// that directly follows the snapshot, is applied.
	gap bool
	// changed is closed and replaced when a new snapshot is in force in the store and the dispatcher.
	changed      chan struct{}
	usedSequence usedSequence
}

func newSnapshotStore() *snapshotStore {
	s := &snapshotStore{changed: make(chan struct{})}
	s.current.Store(&snapshot{table: route.Empty()})
	return s
}

// load returns the snapshot in force.
func (s *snapshotStore) load() *snapshot { return s.current.Load() }

// apply applies a message from the agent and puts the resulting snapshot in force. It ignores changes, full states and
// server lists that are not newer than those of the snapshot.
func (s *snapshotStore) apply(request *pb.ApplyRequest) (*snapshot, update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current.Load()
	next := *before
	var applied update
	s.applyFullState(&next, request.GetRepair(), &applied)
	for _, change := range request.GetChanges() {
		s.applyChange(&next, change, &applied)
	}
	applyList(&next, request.GetList(), &applied)
	if request.GetConfirmed() && !s.gap {
		next.confirmed = true
	}
	applied.regressed = isRegression(before, &next)
	s.current.Store(&next)
	return &next, applied
}

// applyFullState applies a repair that covers all key ranges, which is a full state. It ignores a repair of only some key
// ranges, which the agent has no reason to send since the proxy keeps no digests.
func (s *snapshotStore) applyFullState(next *snapshot, repair *pb.Repair, applied *update) {
	if repair == nil || len(repair.GetRanges()) != catalog.RangeCount {
		return
	}
	if repair.GetSequence() <= next.sequence {
		applied.stale++
		return
	}
	var items []*pb.Item
	for _, keyRange := range repair.GetRanges() {
		items = append(items, keyRange.GetItems()...)
	}
	applied.setTable(next, route.Empty().Rebuild(items, nil, false))
	next.sequence = repair.GetSequence()
	next.generation = repair.GetGeneration()
	applied.fullStates++
	s.gap = false
}

// applyChange applies a change if it directly follows the snapshot. It ignores a later change and records a gap, after
// which the proxy requests the full state.
func (s *snapshotStore) applyChange(next *snapshot, change *pb.Change, applied *update) {
	switch {
	case change.GetSequence() <= next.sequence:
		applied.stale++
		return
	case change.GetSequence() > next.sequence+1:
		s.gap = true
		applied.gap = true
		return
	}
	applied.setTable(next, next.table.Rebuild(change.GetUpserts(), change.GetRemovals(), change.GetReplacesAll()))
	next.sequence = change.GetSequence()
	next.generation = change.GetGeneration()
	s.gap = false
}

// applyList sets the version and the servers of a server list in a snapshot, if the list is newer.
func applyList(next *snapshot, list *pb.ServerList, applied *update) {
	if list == nil || (next.list != nil && serverlist.CompareVersions(list.GetVersion(), next.list) <= 0) {
		return
	}
	servers := make(map[upstream.Server]struct{}, len(list.GetServers()))
	for _, server := range list.GetServers() {
		servers[upstream.Server{ID: server.GetId(), Address: server.GetAddress()}] = struct{}{}
	}
	next.list = list.GetVersion()
	if next.list == nil {
		next.list = &pb.ListVersion{}
	}
	next.servers = servers
	applied.listChanged = true
}

// needsFullState reports whether the agent should send the full state rather than changes.
func (s *snapshotStore) needsFullState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gap || s.current.Load().sequence == 0
}

// usable reports whether requests can be forwarded with this snapshot.
func (s *snapshot) usable() bool { return s.configured() && s.list != nil }

// deadlineOf returns the deadline of a request, which depends on the client's time-out and, if the route is known, on
// the route's deadline.
func (s *snapshot) deadlineOf(request *http.Request, target string, arrived time.Time) time.Time {
	if matched, ok := s.table.Lookup(request.Host, pathOf(target)); ok {
		return arrived.Add(timeoutFor(request.Header, matched))
	}
	return arrived.Add(clientTimeout(request.Header))
}

// giveUpTime returns when the client of a request gives up if it receives nothing: at its deadline, or if the route is known
// to answer by a stream, after the silence that it bears. A client that tells no deadline, and whose route is not known
// yet, may bear no longer silence than the shortest one.
func (s *snapshot) giveUpTime(request *http.Request, target string, arrived time.Time) time.Time {
	deadline := s.deadlineOf(request, target, arrived)
	matched, ok := s.table.Lookup(request.Host, pathOf(target))
	if !ok {
		if len(request.Header[headerDeadline]) == 0 {
			return arrived.Add(route.MinSilenceLimit)
		}
		return deadline
	}
	if limit, limited := matched.SilenceLimit(); limited {
		return earlier(arrived.Add(limit), deadline)
	}
	return deadline
}

// waitFor returns the snapshot in force as soon as it meets a condition. It returns the snapshot in any case when the
// given end is reached or the context is done.
func (s *snapshotStore) waitFor(ctx context.Context, end time.Time, condition func(*snapshot) bool) *snapshot {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		changed := s.nextSnapshot() // taken before load, so that no change is missed
		current := s.load()
		if condition(current) {
			return current
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.load()
		case <-ctx.Done():
			return s.load()
		}
	}
}

// nextSnapshot returns a channel that is closed by the next call of notifyWaiters.
func (s *snapshotStore) nextSnapshot() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyWaiters wakes the requests that wait for the next snapshot. It is called after the snapshot was also passed to
// the dispatcher, so that a request that was waiting finds its servers.
func (s *snapshotStore) notifyWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
