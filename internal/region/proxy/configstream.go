package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/limits"
)

// configStream implements the RPC service ProxyFeed, which the agent on the same machine calls to deliver the
// configuration, server lists and quota members (the proxies that share the common limits). It is safe for concurrent
// use; updates are applied one at a time.
type configStream struct {
	mu                  sync.Mutex // serializes Apply, so that the placer gets snapshots in order
	host                string
	incarnation         uint64
	edgeAddress         string // address for clients, ip:port
	snapshots           *snapshotStore
	dispatcher          *dispatcher
	announcer           *announcer
	lifecycle           *lifecycle
	counters            *counters
	quotaMembersVersion atomic.Pointer[pb.QuotaMembersVersion] // version of the quota members in force
	logger              *zap.Logger
	liveness            *agentLiveness
	clock               func() time.Duration // monotonic clock, see process.now
	// onSnapshot is called with each new snapshot while mu is held.
	onSnapshot func(*snapshot, update)
}

// Apply applies changes, a full state, a server list and quota members, and returns the status afterwards. A request
// that was addressed to an earlier incarnation of this proxy is ignored, because the agent obtained its confirmation
// of the state before this process started.
func (s *configStream) Apply(_ context.Context, request *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ProxyStatus], error) {
	start := s.clock()
	s.liveness.recordContact(start)
	if wanted := request.Msg.GetProxyIncarnation(); wanted != 0 && wanted != s.incarnation {
		return connect.NewResponse(s.status(s.snapshots.load())), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.counters.countApply(s.clock() - start) }()
	before := s.snapshots.load()
	current, applied := s.snapshots.apply(request.Msg)
	s.counters.countUpdate(applied)
	if applied.tableChanged {
		s.dispatcher.setTable(current.table)
	}
	if applied.listChanged {
		s.dispatcher.setServers(request.Msg.GetList())
	}
	s.applyQuotaMembers(request.Msg.GetQuotaMembers())
	s.logUpdate(before, current, applied)
	s.onSnapshot(current, applied)
	if applied.tableChanged || applied.listChanged {
		s.snapshots.notifyWaiters()
	}
	return connect.NewResponse(s.status(current)), nil
}

// applyQuotaMembers puts quota members in force, unless a later version from the same agent process is in force
// already. A call that the agent has abandoned may arrive after the call that followed it.
func (s *configStream) applyQuotaMembers(members *pb.QuotaMembers) {
	if members == nil || limits.IsOutdated(members.GetVersion(), s.quotaMembersVersion.Load()) {
		return
	}
	s.quotaMembersVersion.Store(members.GetVersion())
	s.dispatcher.setQuotaMembers(members)
	s.announcer.setMembers(members.GetMembers())
}

// Status returns the versions of the state in force and whether the proxy is ready.
func (s *configStream) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.ProxyStatus], error) {
	s.liveness.recordContact(s.clock())
	return connect.NewResponse(s.status(s.snapshots.load())), nil
}

// status builds the response to the agent.
func (s *configStream) status(current *snapshot) *pb.ProxyStatus {
	status := &pb.ProxyStatus{
		Host:        s.host,
		Incarnation: s.incarnation,
		Sequence:    current.sequence,
		Generation:  current.generation,
		List:        current.list,
		Ready:       s.lifecycle.ready(current),
		Draining:    s.lifecycle.draining(),
		EdgeAddress: s.edgeAddress,
		Shares:      s.quotaMembersVersion.Load(),
	}
	if s.snapshots.needsFullState() {
		// Digests without ranges request the full state from the agent.
		status.Digests = &pb.RangeDigests{Sequence: current.sequence, Generation: current.generation}
	}
	return status
}

// logUpdate logs the changes of an update, one line for each, and counts a regression.
func (s *configStream) logUpdate(before, current *snapshot, applied update) {
	for _, item := range applied.rejected {
		s.logger.Warn("configuration item rejected", zap.Error(item))
	}
	for _, item := range applied.partial {
		s.logger.Warn("configuration item partially applied", zap.Error(item))
	}
	if applied.regressed {
		s.counters.regressions.Add(1)
		s.logger.Error("configuration regressed",
			zap.Uint64("previous_sequence", before.sequence),
			zap.Uint64("previous_generation", before.generation),
			zap.Uint64("sequence", current.sequence),
			zap.Uint64("generation", current.generation))
	}
	if applied.tableChanged {
		s.logger.Info("configuration applied",
			zap.Uint64("sequence", current.sequence),
			zap.Uint64("generation", current.generation),
			zap.Int("routes", current.table.Routes()),
			zap.Strings("evacuated_zones", current.table.Evacuated()))
	}
	if before.complete() != current.complete() {
		s.logger.Info("proxy ready", zap.Int("servers", len(current.servers)))
	}
}
