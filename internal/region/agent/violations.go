package agent

import (
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
)

// violations counts violated invariants between this agent and its proxy. The invariant that the sequence of the
// replica never decreases is checked by core.step, which panics.
type violations struct {
	proxyRegressed uint64 // a proxy process reported a lower sequence than before
	staleSent      uint64 // an exchange sent a state or a server list no newer than the proxy had reported
}

// total returns the number of violations of all kinds.
func (v *violations) total() uint64 { return v.proxyRegressed + v.staleSent }

// checkReport compares two consecutive reports of the proxy; previous may be nil.
func (v *violations) checkReport(logger *zap.Logger, previous, current *pb.ProxyStatus) {
	if previous == nil || previous.GetIncarnation() != current.GetIncarnation() || current.GetSequence() >= previous.GetSequence() {
		return
	}
	v.proxyRegressed++
	logger.Error("proxy sequence decreased",
		zap.Uint64("previous_sequence", previous.GetSequence()),
		zap.Uint64("proxy_sequence", current.GetSequence()))
}

// checkSent compares an update for the proxy with the status that the proxy last reported.
func (v *violations) checkSent(logger *zap.Logger, apply *pb.ApplyRequest, reported *pb.ProxyStatus) {
	if !carriesStale(apply, reported) {
		return
	}
	v.staleSent++
	logger.Error("stale update sent to proxy", zap.Uint64("proxy_sequence", reported.GetSequence()))
}

// carriesStale reports whether the state or the server list in an update is no newer than the proxy reported.
func carriesStale(apply *pb.ApplyRequest, reported *pb.ProxyStatus) bool {
	if repair := apply.GetRepair(); repair != nil && repair.GetSequence() <= reported.GetSequence() {
		return true
	}
	if changes := apply.GetChanges(); len(changes) > 0 && changes[0].GetSequence() <= reported.GetSequence() {
		return true
	}
	list := apply.GetList()
	return list != nil && serverlist.CompareVersions(list.GetVersion(), reported.GetList()) <= 0
}
