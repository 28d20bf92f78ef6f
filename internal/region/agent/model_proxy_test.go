package agent

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/gossip"
)

// modelProxy is a simulated proxy. As package proxy does, it applies changes that follow its state, or a complete
// state.
type modelProxy struct {
	model       *model
	replica     *gossip.Replica
	incarnation uint64
	gap         bool
	dead        bool
}

func (p *modelProxy) restart() {
	p.replica = gossip.NewReplica()
	p.incarnation += 2
	p.gap = false
	p.dead = false
}

func (p *modelProxy) apply(request *pb.ApplyRequest) *pb.ProxyStatus {
	if request.GetProxyIncarnation() == p.incarnation {
		p.applyUpdate(request)
	}
	status := &pb.ProxyStatus{Incarnation: p.incarnation, Sequence: p.replica.Sequence(), Generation: p.replica.Snapshot().Generation()}
	if p.gap || p.replica.Sequence() == 0 {
		status.Digests = &pb.RangeDigests{Sequence: p.replica.Sequence()}
	}
	return status
}

// applyUpdate applies an update, and checks that no part of it is older than what the proxy last reported.
func (p *modelProxy) applyUpdate(request *pb.ApplyRequest) {
	before := p.replica.Sequence()
	if repair := request.GetRepair(); repair != nil {
		if repair.GetSequence() < before {
			p.model.fail("a proxy at %d is sent the state %d", before, repair.GetSequence())
		}
		if len(repair.GetRanges()) == catalog.RangeCount {
			_, err := p.replica.Restore(nil, repair)
			p.gap = p.gap && err != nil
		}
	}
	for _, change := range request.GetChanges() {
		if change.GetSequence() > p.replica.Sequence()+1 {
			p.gap = true
		}
		p.replica.ApplyChanges([]*pb.Change{change})
	}
	if last := len(request.GetChanges()) - 1; last >= 0 && request.GetChanges()[last].GetSequence() < before {
		p.model.fail("a proxy at %d is sent changes up to %d", before, request.GetChanges()[last].GetSequence())
	}
	p.model.check("a proxy", p.replica.Snapshot())
}
