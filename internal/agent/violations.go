package agent

import (
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
)

// violations count what must never happen between this agent and its proxy. That the sequence of the copy never falls
// is checked by core.step, which ends the process.
type violations struct {
	proxyRegressed uint64 // the proxy reported less than before in the same life
	staleSent      uint64 // an exchange with the proxy carried what it had reported to hold
}

// total is the number of violations of all kinds.
func (v *violations) total() uint64 { return v.proxyRegressed + v.staleSent }

// checkReport compares two reports of the proxy, the earlier of which may be nil.
func (v *violations) checkReport(logger *zap.Logger, previous, current *pb.ProxyStatus) {
	if previous == nil || previous.GetIncarnation() != current.GetIncarnation() || current.GetSequence() >= previous.GetSequence() {
		return
	}
	v.proxyRegressed++
	logger.Error("the proxy fell back",
		zap.Uint64("reported_before", previous.GetSequence()),
		zap.Uint64("reported", current.GetSequence()))
}

// checkSent compares what is sent to the proxy with what it reported.
func (v *violations) checkSent(logger *zap.Logger, apply *pb.ApplyRequest, reported *pb.ProxyStatus) {
	if !carriesStale(apply, reported) {
		return
	}
	v.staleSent++
	logger.Error("older state is sent to the proxy", zap.Uint64("reported", reported.GetSequence()))
}

// carriesStale tells whether something in an exchange is no newer than what the proxy reported to hold.
func carriesStale(apply *pb.ApplyRequest, reported *pb.ProxyStatus) bool {
	if repair := apply.GetRepair(); repair != nil && repair.GetSequence() <= reported.GetSequence() {
		return true
	}
	if changes := apply.GetChanges(); len(changes) > 0 && changes[0].GetSequence() <= reported.GetSequence() {
		return true
	}
	list := apply.GetList()
	return list != nil && gossip.CompareVersions(list.GetVersion(), reported.GetList()) <= 0
}
