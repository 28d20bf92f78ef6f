package chain

import (
	"cmp"
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
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
func spans(chain, voters []*pb.Replica, required int, place func(*pb.Replica) string) bool {
	return countPlaces(chain, place) >= min(required, countPlaces(voters, place))
}

func countPlaces(replicas []*pb.Replica, place func(*pb.Replica) string) int {
	places := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		places[place(replica)] = true
	}
	return len(places)
}

// Candidate is what is known of a voter that may be in the next chain.
type Candidate struct {
	Fit    bool // heard lately, and its disk works
	Holds  bool // as Published.Holds, in the view in force
	Steady bool // may be added to the chain without need
}

// Next returns the chain that should follow that of the view, among the next voters; removal and addition tell
// how it differs. It returns nil when no live replica holds the state.
func Next(view *pb.View, voters []*pb.Replica, candidates map[string]Candidate, required Requirement) (chain []*pb.Replica, change Change) {
	survivors := fitMembers(view.GetChain(), voters, candidates)
	head := slices.IndexFunc(survivors, func(replica *pb.Replica) bool {
		return candidates[replica.GetIdentity()].Holds
	})
	if head < 0 {
		return nil, Change{}
	}
	chain = headFirst(survivors, head)
	change.Removal = len(chain) < len(view.GetChain())
	for len(chain) < MaxLength {
		added := bestAddition(chain, voters, candidates, !required.MetBy(chain, voters))
		if added == nil {
			break
		}
		chain = append(chain, added)
		change.Addition = true
	}
	return chain, change
}

// Change tells how a chain differs from the one before.
type Change struct {
	Removal  bool // a member is gone
	Addition bool // a member is new
}

func fitMembers(members, voters []*pb.Replica, candidates map[string]Candidate) []*pb.Replica {
	var fit []*pb.Replica
	for _, member := range members {
		votes := quorum.IndexOf(voters, member.GetIdentity()) != quorum.NotFound
		if votes && candidates[member.GetIdentity()].Fit {
			fit = append(fit, member)
		}
	}
	return fit
}

func headFirst(replicas []*pb.Replica, head int) []*pb.Replica {
	ordered := []*pb.Replica{replicas[head]}
	for index, replica := range replicas {
		if index != head {
			ordered = append(ordered, replica)
		}
	}
	return ordered
}

// bestAddition picks a voter for the end of the chain, from the zone that has the fewest members; nil if there
// is none. When the chain is too short, any fit voter will do.
func bestAddition(chain, voters []*pb.Replica, candidates map[string]Candidate, urgent bool) *pb.Replica {
	var best *pb.Replica
	for _, voter := range voters {
		candidate := candidates[voter.GetIdentity()]
		allowed := candidate.Fit && (urgent || (candidate.Steady && candidate.Holds))
		if !allowed || quorum.IndexOf(chain, voter.GetIdentity()) != quorum.NotFound {
			continue
		}
		if best == nil || inZone(chain, voter) < inZone(chain, best) {
			best = voter
		}
	}
	return best
}

func inZone(chain []*pb.Replica, replica *pb.Replica) int {
	count := 0
	for _, member := range chain {
		if member.GetZone() == replica.GetZone() {
			count++
		}
	}
	return count
}

// First returns the chain of the first view: spread over zones, ordered by region and zone.
func First(voters []*pb.Replica) []*pb.Replica {
	candidates := make(map[string]Candidate, len(voters))
	for _, voter := range voters {
		candidates[voter.GetIdentity()] = Candidate{Fit: true}
	}
	ordered := slices.Clone(voters)
	slices.SortFunc(ordered, byPlace)
	var chain []*pb.Replica
	for len(chain) < MaxLength {
		added := bestAddition(chain, ordered, candidates, true)
		if added == nil {
			break
		}
		chain = append(chain, added)
	}
	slices.SortFunc(chain, byPlace)
	return chain
}

func byPlace(a, b *pb.Replica) int {
	return cmp.Or(
		cmp.Compare(a.GetRegion(), b.GetRegion()),
		cmp.Compare(a.GetZone(), b.GetZone()),
		cmp.Compare(a.GetHost(), b.GetHost()),
	)
}
