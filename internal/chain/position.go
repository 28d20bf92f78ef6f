package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

func (r *Replica) position() int { return r.state.position(r.self) }

func (r *Replica) isHead() bool { return r.position() == 0 }

func (r *Replica) isLearner() bool {
	return r.state.View != nil && r.position() == quorum.NotFound
}

// isTail reports whether the replica is the last of the chain.
func (r *Replica) isTail() bool {
	position := r.position()
	return position != quorum.NotFound && position == len(r.state.View.GetChain())-1
}

// Tail is the last replica of the chain in force; nil without a view.
func (r *Replica) Tail() *pb.Replica {
	chain := r.state.View.GetChain()
	if len(chain) == 0 {
		return nil
	}
	return chain[len(chain)-1]
}

// Head is the first replica of the chain in force; nil without a view.
func (r *Replica) Head() *pb.Replica {
	chain := r.state.View.GetChain()
	if len(chain) == 0 {
		return nil
	}
	return chain[0]
}

// upstream is the replica whose state this one takes: the predecessor, for learners the tail, nil for the head.
func (r *Replica) predecessor() *pb.Replica {
	switch position := r.position(); position {
	case 0:
		return nil
	case quorum.NotFound:
		return r.Tail()
	default:
		return r.state.View.GetChain()[position-1]
	}
}

// successor is nil for the tail and for learners.
func (r *Replica) successor() *pb.Replica {
	position := r.position()
	if position == quorum.NotFound || r.isTail() {
		return nil
	}
	return r.state.View.GetChain()[position+1]
}

func (r *Replica) isPredecessor(from *pb.Replica) bool {
	upstream := r.predecessor()
	return upstream != nil && upstream.GetIdentity() == from.GetIdentity()
}

func (r *Replica) isSuccessor(from *pb.Replica) bool {
	successor := r.successor()
	return successor != nil && successor.GetIdentity() == from.GetIdentity()
}

// serves reports whether another machine takes its state from this one.
func (r *Replica) suppliesState(from *pb.Replica) bool {
	if r.isSuccessor(from) {
		return true
	}
	outside := quorum.IndexOf(r.state.View.GetChain(), from.GetIdentity()) == quorum.NotFound
	return r.isTail() && outside
}
