package proxy

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/proxy/upstream"
	"fieldrelay/internal/route"
)

// snapshot is what the proxy holds at one moment. It is immutable and is replaced as a whole.
type snapshot struct {
	table      *route.Table
	sequence   uint64
	generation uint64
	list       *pb.ListVersion              // nil: no list is held
	servers    map[upstream.Server]struct{} // of the list
	confirmed  bool                         // the agreed view confirmed the state after this process started
}

// configured tells whether a configuration of the operator is held.
func (s *snapshot) configured() bool { return s.generation > 0 }

// complete tells whether the proxy holds all that it needs to take requests.
func (s *snapshot) complete() bool { return s.configured() && s.confirmed && s.list != nil }

// update tells what an apply brought.
type update struct {
	tableChanged bool
	listChanged  bool
	rejected     []*route.ItemError // items of which nothing could be used
	partial      []*route.ItemError // items of which some members could not be used
	stale        int                // states and changes no newer than what is held, which were left
	gap          bool               // changes came that do not follow on what is held, and were left
	fullStates   int                // whole states that were taken
	regressed    bool               // the new snapshot is older than the one before: this must never be
}

// setTable puts a new table into a snapshot.
func (u *update) setTable(next *snapshot, built route.Built) {
	next.table = built.Table
	u.tableChanged = true
	u.rejected = append(u.rejected, built.LeftOut...)
	u.partial = append(u.partial, built.PartiallyApplied...)
}

// state holds the snapshot in force. Readers load it without waiting; writers come one at a time.
type snapshotStore struct {
	mu      sync.Mutex // held by writers
	current atomic.Pointer[snapshot]
	// gap is set while changes came that do not follow on what is held: the whole state is wanted.
	gap bool
	// announced is closed, and replaced, when a new snapshot has been taken in everywhere.
	changed      chan struct{}
	usedSequence usedSequence
}

func newSnapshotStore() *snapshotStore {
	s := &snapshotStore{changed: make(chan struct{})}
	s.current.Store(&snapshot{table: route.Empty()})
	return s
}

func (s *snapshotStore) load() *snapshot { return s.current.Load() }

// apply takes in what an agent sent. Sequences and list versions only rise: what is older is ignored.
func (s *snapshotStore) apply(request *pb.ApplyRequest) (*snapshot, update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current.Load()
	next := *before
	var done update
	s.applyRepair(&next, request.GetRepair(), &done)
	for _, change := range request.GetChanges() {
		s.applyChange(&next, change, &done)
	}
	applyList(&next, request.GetList(), &done)
	if request.GetConfirmed() && !s.gap {
		next.confirmed = true
	}
	done.regressed = isRegression(before, &next)
	s.current.Store(&next)
	return &next, done
}

// applyRepair takes in a whole state. A repair of some ranges only can't be used, since no digests are kept.
func (s *snapshotStore) applyRepair(next *snapshot, repair *pb.Repair, done *update) {
	if repair == nil || len(repair.GetRanges()) != catalog.RangeCount {
		return
	}
	if repair.GetSequence() <= next.sequence {
		done.stale++
		return
	}
	var items []*pb.Item
	for _, part := range repair.GetRanges() {
		items = append(items, part.GetItems()...)
	}
	done.setTable(next, route.Empty().Rebuild(items, nil, false))
	next.sequence = repair.GetSequence()
	next.generation = repair.GetGeneration()
	done.fullStates++
	s.gap = false
}

func (s *snapshotStore) applyChange(next *snapshot, change *pb.Change, done *update) {
	switch {
	case change.GetSequence() <= next.sequence:
		done.stale++
		return
	case change.GetSequence() > next.sequence+1:
		s.gap = true
		done.gap = true
		return
	}
	done.setTable(next, next.table.Rebuild(change.GetUpserts(), change.GetRemovals(), change.GetReplacesAll()))
	next.sequence = change.GetSequence()
	next.generation = change.GetGeneration()
	s.gap = false
}

func applyList(next *snapshot, list *pb.ServerList, applied *update) {
	if list == nil || (next.list != nil && compareListVersions(list.GetVersion(), next.list) <= 0) {
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

// needsFullState tells whether the agent should send the whole state rather than changes.
func (s *snapshotStore) needsFullState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gap || s.current.Load().sequence == 0
}

// compareListVersions orders server lists: by epoch, then holder, then revision.
func compareListVersions(a, b *pb.ListVersion) int {
	return cmp.Or(
		cmp.Compare(a.GetEpoch(), b.GetEpoch()),
		cmp.Compare(a.GetHolder(), b.GetHolder()),
		cmp.Compare(a.GetRevision(), b.GetRevision()),
	)
}

// usable tells whether requests can be passed on by a snapshot.
func (s *snapshot) usable() bool { return s.configured() && s.list != nil }

// deadlineOf is when a request that came at a moment has to be answered: by its route, if that is known, and by what
// its client told.
func (s *snapshot) deadlineOf(request *http.Request, target string, arrived time.Time) time.Time {
	if found, ok := s.table.Lookup(request.Host, pathOf(target)); ok {
		return arrived.Add(timeoutFor(request.Header, found))
	}
	return arrived.Add(clientTimeout(request.Header))
}

// await returns the snapshot in force as soon as a condition holds for it, and at the given end in any case.
func (s *snapshotStore) waitFor(ctx context.Context, end time.Time, holds func(*snapshot) bool) *snapshot {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		news := s.nextSnapshot()
		held := s.load()
		if holds(held) {
			return held
		}
		select {
		case <-news:
		case <-timer.C:
			return s.load()
		case <-ctx.Done():
			return s.load()
		}
	}
}

// news gives a channel that is closed when the next snapshot has been taken in everywhere.
func (s *snapshotStore) nextSnapshot() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// announce wakes those who wait for news.
func (s *snapshotStore) notifyWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
