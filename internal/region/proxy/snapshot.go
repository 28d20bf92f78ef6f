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

// snapshot is the state that the proxy serves by: configuration and server list. It is immutable; an update
// replaces it.
type snapshot struct {
	table      *route.Table
	sequence   uint64                       // of the last change
	generation uint64                       // the operator's number of the configuration; 0: none
	list       *pb.ListVersion              // version of the server list; nil: none
	servers    map[upstream.Server]struct{} // of the server list
	confirmed  bool                         // a control machine with authority confirmed the state after this process started
}

// configured reports whether there is a configuration of the operator.
func (s *snapshot) configured() bool { return s.generation > 0 }

// complete reports whether the snapshot has all that the proxy needs to be ready.
func (s *snapshot) complete() bool { return s.configured() && s.confirmed && s.list != nil }

// update is the result of applying one message of the agent.
type update struct {
	tableChanged bool
	listChanged  bool
	rejected     []*route.ItemError // items of which nothing could be applied
	partial      []*route.ItemError // items of which some members could not be applied
	stale        int                // states and changes that were not newer than the snapshot, and ignored
	gap          bool               // changes did not follow on the snapshot, and were ignored
	fullStates   int                // full states that were applied
	regressed    bool               // the new snapshot is older than the one before, which must never happen
}

// setTable sets a new routing table in a snapshot.
func (u *update) setTable(next *snapshot, built route.Built) {
	next.table = built.Table
	u.tableChanged = true
	u.rejected = append(u.rejected, built.LeftOut...)
	u.partial = append(u.partial, built.PartiallyApplied...)
}

// snapshotStore holds the snapshot in force. Readers load it without a lock; writers take mu. It is safe for
// concurrent use.
type snapshotStore struct {
	mu      sync.Mutex // writers, and the fields below current
	current atomic.Pointer[snapshot]
	// gap is set when changes came that don't follow on the snapshot, until the missing ones or a full state come.
	gap bool
	// changed is closed, and replaced, when a new snapshot is in force everywhere.
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

// apply applies a message of the agent and puts the resulting snapshot in force. Sequences and versions of the
// server list only rise: what is not newer is ignored.
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

// applyFullState applies a full state. A repair of some key ranges only is ignored: the proxy keeps no digests, and so
// its agent has no reason to send one.
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

// applyChange applies the change that follows on the snapshot. A later one is a gap, after which the full state is
// needed.
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

// applyList sets a newer server list in a snapshot.
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

// usable reports whether requests can be forwarded by this snapshot.
func (s *snapshot) usable() bool { return s.configured() && s.list != nil }

// deadlineOf returns the deadline of a request: by its route, if that is known, and by the client's own timeout.
func (s *snapshot) deadlineOf(request *http.Request, target string, arrived time.Time) time.Time {
	if matched, ok := s.table.Lookup(request.Host, pathOf(target)); ok {
		return arrived.Add(timeoutFor(request.Header, matched))
	}
	return arrived.Add(clientTimeout(request.Header))
}

// waitFor returns the snapshot in force as soon as it meets a condition, and at the given end or the end of the
// context in any case.
func (s *snapshotStore) waitFor(ctx context.Context, end time.Time, condition func(*snapshot) bool) *snapshot {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		changed := s.nextSnapshot() // before load, so that no change is missed
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

// nextSnapshot returns a channel that is closed when the next snapshot is in force everywhere.
func (s *snapshotStore) nextSnapshot() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyWaiters wakes the requests that wait for the next snapshot. It is called once the dispatcher has the snapshot too,
// so that a request that was waiting finds its servers.
func (s *snapshotStore) notifyWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
