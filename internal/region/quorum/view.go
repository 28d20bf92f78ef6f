package quorum

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// MaxVoters is the highest number of voters in a view.
const MaxVoters = 9

// NotFound is the index of a replica that is not in a list.
const NotFound = -1

// BootstrapView returns view 0. Its voters are the seeds, identified by the ip:port of their operator API.
func BootstrapView(seeds []string) *pb.View {
	view := &pb.View{}
	for _, seed := range seeds {
		view.Voters = append(view.Voters, &pb.Replica{ControlAddress: seed})
	}
	return view
}

// VoterIndex returns the index of a replica among the voters of a view, or NotFound. In view 0 a voter is identified by
// the address of its operator API. In later views it is identified by its identity: a machine that lost its disk has
// lost its promises too, and must not count as the voter of its earlier identity.
func VoterIndex(view *pb.View, replica *pb.Replica) int {
	if view.GetNumber() > 0 {
		return IndexOf(view.GetVoters(), replica.GetIdentity())
	}
	return slices.IndexFunc(view.GetVoters(), func(voter *pb.Replica) bool {
		return voter.GetControlAddress() == replica.GetControlAddress()
	})
}

// IndexOf returns the index of an identity in a list of replicas, or NotFound.
func IndexOf(replicas []*pb.Replica, identity string) int {
	return slices.IndexFunc(replicas, func(replica *pb.Replica) bool {
		return replica.GetIdentity() == identity
	})
}

// Majority returns the smallest number of voters that is more than half of the voters of a view. Any two majorities
// share a voter.
func Majority(view *pb.View) int { return len(view.GetVoters())/2 + 1 }
