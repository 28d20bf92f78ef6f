package chain

import (
	"cmp"
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// MaxLength is the highest number of replicas in a chain.
const MaxLength = 5

// Requirement is what a chain must have so that orders may be acknowledged.
type Requirement struct {
	Replicas int
	Zones    int
	Regions  int
}

// MetBy reports whether a chain is enough. Where the voters lie in fewer zones or regions than required, all
// of those are enough.
func (q Requirement) MetBy(chain, voters []*pb.Replica) bool {
	if len(chain) < q.Replicas {
		return false
	}
	return spans(chain, voters, q.Zones, (*pb.Replica).GetZone) &&
		spans(chain, voters, q.Regions, (*pb.Replica).GetRegion)
}

// spans reports whether a chain lies in as many places as required, or in all where the voters are.
func spans(chain, voters []*pb.Replica, required int, domainOf func(*pb.Replica) string) bool {
	return countDomains(chain, domainOf) >= min(required, countDomains(voters, domainOf))
}

func countDomains(replicas []*pb.Replica, domainOf func(*pb.Replica) string) int {
	domains := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		domains[domainOf(replica)] = true
	}
	return len(domains)
}

// Candidate is what is known of a voter that may be in the next chain.
type Candidate struct {
	Healthy      bool // heard lately, and its disk works
	Reachable    bool // heard lately, whether its disk works or not
	Synchronized bool // as Published.Holds, in the view in force
	Stable       bool // may be added to the chain without need
	Leaving      bool // was told to end: it stays only as long as the others do not hold enough copies
}

// Change tells how a chain differs from the one before.
type Change struct {
	Removal  bool // a member is gone
	Addition bool // a member is new
}

// NextChain returns the chain that should follow that of the view, among the next voters, and how it differs. It
// returns nil when no live replica holds the state.
func NextChain(view *pb.View, voters []*pb.Replica, candidates map[string]Candidate, required Requirement) ([]*pb.Replica, Change) {
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

// InitialChain returns the chain of the first view: spread over places, ordered by region and zone.
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

func byDomain(a, b *pb.Replica) int {
	return cmp.Or(
		cmp.Compare(a.GetRegion(), b.GetRegion()),
		cmp.Compare(a.GetZone(), b.GetZone()),
		cmp.Compare(a.GetHost(), b.GetHost()),
	)
}
