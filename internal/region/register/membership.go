package register

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Membership lists the voters of one epoch and of the epoch before it.
type Membership struct {
	Epoch          uint64 // number of the epoch; 0 if no epoch is known
	Voters         []*pb.Replica
	PreviousEpoch  uint64
	PreviousVoters []*pb.Replica // voters of PreviousEpoch; empty in the first epoch
}

// MembershipOf returns the membership that a view defines. It is the zero Membership for a nil view and for a view
// written by an earlier version of this program that had no registers.
func MembershipOf(view *pb.View) Membership {
	if view.GetVotersEpoch() == 0 {
		return Membership{}
	}
	return Membership{
		Epoch:          view.GetVotersEpoch(),
		Voters:         view.GetVoters(),
		PreviousEpoch:  view.GetPreviousEpoch(),
		PreviousVoters: view.GetPreviousVoters(),
	}
}

// AssignEpoch sets the epoch fields of next, the view that follows previous. The epoch stays the same as long as the
// voters do.
func AssignEpoch(next, previous *pb.View) {
	current := MembershipOf(previous)
	if current.Epoch > 0 && sameReplicas(next.GetVoters(), current.Voters) {
		next.VotersEpoch = current.Epoch
		next.PreviousEpoch = current.PreviousEpoch
		next.PreviousVoters = current.PreviousVoters
		return
	}
	next.VotersEpoch = next.GetNumber()
	next.PreviousEpoch = current.Epoch
	next.PreviousVoters = current.Voters
}

func sameReplicas(a, b []*pb.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(replica *pb.Replica) bool { return !contains(b, replica.GetIdentity()) })
}

// Majority returns the smallest number of voters that is more than half of them.
func (m Membership) Majority() int { return len(m.Voters)/2 + 1 }

func (m Membership) previousMajority() int { return len(m.PreviousVoters)/2 + 1 }

// includes reports whether a machine votes in this epoch.
func (m Membership) includes(identity string) bool { return contains(m.Voters, identity) }

func (m Membership) votedBefore(identity string) bool { return contains(m.PreviousVoters, identity) }

func contains(replicas []*pb.Replica, identity string) bool {
	return slices.ContainsFunc(replicas, func(replica *pb.Replica) bool { return replica.GetIdentity() == identity })
}
