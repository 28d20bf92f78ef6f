package chain

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// MaxLength is the maximum number of replicas in a chain.
const MaxLength = 5

// Candidate is what is known of a voter that may be a member of the next chain.
type Candidate struct {
	Healthy      bool // the voter is reachable, and its disk works
	Reachable    bool // the voter is not suspected to have failed, whether its disk works or not
	Synchronized bool // the voter advertises that it is synchronized in the view in force
	Stable       bool // the voter has run without a failure for long enough to be added to a chain that is already redundant
	Leaving      bool // the voter has announced its graceful shutdown: it stays only until the others are redundant enough
}

// Change describes how a chain differs from the previous one.
type Change struct {
	Removal  bool // a member was removed
	Addition bool // a member was added
}

// NextChain returns the chain that should follow the chain of the view, chosen among the next voters, and how the two
// differ. It returns nil if no healthy member is synchronized: with any other head, committed changes could be lost.
func NextChain(
	view *pb.View, voters []*pb.Replica, candidates map[string]Candidate, required Requirement,
) ([]*pb.Replica, Change) {
	next := builder{voters: voters, candidates: candidates, required: required}
	if !next.keepMembers(view.GetChain()) {
		return nil, Change{}
	}
	next.evictForDomain()
	removal := len(next.chain)+len(next.diskFaulty) < len(view.GetChain())
	kept := len(next.chain)
	next.addMembers()
	change := Change{Removal: removal, Addition: len(next.chain) > kept}
	return append(next.chain, next.diskFaulty...), change
}

// InitialChain returns the chain of the first view, spread over failure domains and ordered by region, zone and host.
func InitialChain(voters []*pb.Replica, required Requirement) []*pb.Replica {
	ordered := slices.Clone(voters)
	slices.SortFunc(ordered, byDomain)
	first := builder{voters: ordered, candidates: make(map[string]Candidate, len(voters)), required: required}
	for _, voter := range voters {
		first.candidates[voter.GetIdentity()] = Candidate{Healthy: true, Synchronized: true, Stable: true}
	}
	first.addMembers()
	slices.SortFunc(first.chain, byDomain)
	return first.chain
}
