package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
)

// localMachine describes this machine to the other machines. It does not change while the process runs.
type localMachine struct {
	replica     *pb.Replica
	incarnation uint64 // random number that differs between runs of the process
	// bootstrap: this machine was started with an empty disk and the bootstrap setting, so it may take part in the
	// bootstrap of the cluster. The flag is persisted.
	bootstrap bool
}

func (l *localMachine) identity() string { return l.replica.GetIdentity() }

// is reports whether a voter is this machine. Before the first view exists, the voters are the seeds, which have no
// identity and are compared by their operator API address.
func (l *localMachine) is(voter *pb.Replica) bool {
	if voter.GetIdentity() == "" {
		return voter.GetControlAddress() == l.replica.GetControlAddress()
	}
	return voter.GetIdentity() == l.identity()
}

// viewInForce returns the newest view that a replica has adopted; nil if the replica has adopted none.
func viewInForce(replica *chain.Replica) *pb.View { return replica.State().View }
