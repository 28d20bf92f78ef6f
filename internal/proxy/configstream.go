package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/limits"
)

// configStream is the service that the agent beside this proxy calls to deliver configuration, server lists and
// quota shares (ProxyFeed on the wire). It is safe for concurrent use; updates are applied one at a time.
type configStream struct {
	mu          sync.Mutex // one Apply at a time, so that the placer gets snapshots in order
	host        string
	incarnation uint64
	edgeAddress string // address for clients, ip:port
	snapshots   *snapshotStore
	dispatcher  *dispatcher
	announcer   *announcer
	lifecycle   *lifecycle
	counters    *counters
	shares      atomic.Pointer[pb.SharesVersion] // of the quota shares in force
	logger      *zap.Logger
	liveness    *agentLiveness
	clock       func() time.Duration // steady clock, see process.now
	// onSnapshot is called with each new snapshot, with mu locked.
	onSnapshot func(*snapshot, update)
}

// Apply applies changes, a full state, a server list and quota shares, and returns what is in force afterwards. A
// message to an earlier incarnation of this proxy is ignored: its confirmation was requested before this process
// started.
func (f *configStream) Apply(_ context.Context, request *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ProxyStatus], error) {
	start := f.clock()
	f.liveness.recordContact(start)
	if wanted := request.Msg.GetProxyIncarnation(); wanted != 0 && wanted != f.incarnation {
		return connect.NewResponse(f.status(f.snapshots.load())), nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.counters.countApply(f.clock() - start) }()
	before := f.snapshots.load()
	current, applied := f.snapshots.apply(request.Msg)
	f.counters.countUpdate(applied)
	if applied.tableChanged {
		f.dispatcher.setTable(current.table)
	}
	if applied.listChanged {
		f.dispatcher.setServers(request.Msg.GetList())
	}
	f.applyShares(request.Msg.GetShares())
	f.logUpdate(before, current, applied)
	f.onSnapshot(current, applied)
	if applied.tableChanged || applied.listChanged {
		f.snapshots.notifyWaiters()
	}
	return connect.NewResponse(f.status(current)), nil
}

// applyShares puts quota shares in force, unless later ones of the same agent process are in force already: a call
// that the agent has given up may arrive after its successor.
func (f *configStream) applyShares(shares *pb.Shares) {
	if shares == nil || limits.IsOutdated(shares.GetVersion(), f.shares.Load()) {
		return
	}
	f.shares.Store(shares.GetVersion())
	f.dispatcher.setQuotaShares(shares)
	f.announcer.setMembers(shares.GetMembers())
}

// Status returns what is in force.
func (f *configStream) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.ProxyStatus], error) {
	f.liveness.recordContact(f.clock())
	return connect.NewResponse(f.status(f.snapshots.load())), nil
}

// status builds the answer to the agent. It asks for the full state by a digest without ranges.
func (f *configStream) status(current *snapshot) *pb.ProxyStatus {
	status := &pb.ProxyStatus{
		Host:        f.host,
		Incarnation: f.incarnation,
		Sequence:    current.sequence,
		Generation:  current.generation,
		List:        current.list,
		Ready:       f.lifecycle.ready(current),
		Draining:    f.lifecycle.draining(),
		EdgeAddress: f.edgeAddress,
		Shares:      f.shares.Load(),
	}
	if f.snapshots.needsFullState() {
		// Without digests of ranges, the agent answers with the full state.
		status.Digests = &pb.RangeDigests{Sequence: current.sequence, Generation: current.generation}
	}
	return status
}

// logUpdate logs what an update changed, one line a change.
func (f *configStream) logUpdate(before, current *snapshot, applied update) {
	for _, item := range applied.rejected {
		f.logger.Warn("configuration item rejected", zap.Error(item))
	}
	for _, item := range applied.partial {
		f.logger.Warn("configuration item partially applied", zap.Error(item))
	}
	if applied.regressed {
		f.counters.regressions.Add(1)
		f.logger.Error("configuration regressed",
			zap.Uint64("previous_sequence", before.sequence),
			zap.Uint64("previous_generation", before.generation),
			zap.Uint64("sequence", current.sequence),
			zap.Uint64("generation", current.generation))
	}
	if applied.tableChanged {
		f.logger.Info("configuration applied",
			zap.Uint64("sequence", current.sequence),
			zap.Uint64("generation", current.generation),
			zap.Int("routes", current.table.Routes()),
			zap.Strings("evacuated_zones", current.table.Evacuated()))
	}
	if before.complete() != current.complete() {
		f.logger.Info("proxy ready", zap.Int("servers", len(current.servers)))
	}
}
