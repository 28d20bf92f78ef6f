package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// Head returns the first replica of the chain in force, or nil without a view.
func (r *Replica) Head() *pb.Replica {
	chain := r.state.View.GetChain()
	if len(chain) == 0 {
		return nil
	}
	return chain[0]
}

// Tail returns the last replica of the chain in force, or nil without a view.
func (r *Replica) Tail() *pb.Replica {
	chain := r.state.View.GetChain()
	if len(chain) == 0 {
		return nil
	}
	return chain[len(chain)-1]
}

// position returns this replica's index in the chain in force, or quorum.NotFound.
func (r *Replica) position() int { return r.state.position(r.self) }

// IsMember reports whether the replica is in the chain in force.
func (r *Replica) IsMember() bool { return r.position() != quorum.NotFound }

func (r *Replica) isHead() bool { return r.position() == 0 }

// isLearner reports whether the replica is outside of the chain in force.
func (r *Replica) isLearner() bool {
	return r.state.View != nil && r.position() == quorum.NotFound
}

// isTail reports whether the replica is the last of the chain.
func (r *Replica) isTail() bool {
	position := r.position()
	return position != quorum.NotFound && position == len(r.state.View.GetChain())-1
}

// predecessor returns the replica from which this one receives changes and state: the tail for a learner, nil for the
// head.
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

// successor returns the next replica of the chain, or nil for the tail and for learners.
func (r *Replica) successor() *pb.Replica {
	position := r.position()
	if position == quorum.NotFound || r.isTail() {
		return nil
	}
	return r.state.View.GetChain()[position+1]
}

func (r *Replica) isPredecessor(from *pb.Replica) bool {
	predecessor := r.predecessor()
	return predecessor != nil && predecessor.GetIdentity() == from.GetIdentity()
}

func (r *Replica) isSuccessor(from *pb.Replica) bool {
	successor := r.successor()
	return successor != nil && successor.GetIdentity() == from.GetIdentity()
}

// suppliesState reports whether another machine synchronizes with this one, as its successor or as a learner.
func (r *Replica) suppliesState(to *pb.Replica) bool {
	if r.isSuccessor(to) {
		return true
	}
	outside := quorum.IndexOf(r.state.View.GetChain(), to.GetIdentity()) == quorum.NotFound
	return r.isTail() && outside
}
