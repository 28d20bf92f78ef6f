package chain

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// builder puts a chain together, member by member.
type builder struct {
	voters     []*pb.Replica
	candidates map[string]Candidate
	required   Requirement
	chain      []*pb.Replica
	// waiting are members whose disks refuse. They stay behind the others until these hold enough copies: they may
	// have the only ones that outlive the next loss.
	diskFaulty []*pb.Replica
}

func (b *builder) candidate(replica *pb.Replica) Candidate {
	return b.candidates[replica.GetIdentity()]
}

// begin takes over the members that are fit; it reports whether one of them holds the state and can be the head.
func (b *builder) keepMembers(members []*pb.Replica) bool {
	survivors := b.votingMembers(members, func(candidate Candidate) bool { return candidate.Healthy })
	if staying := b.withoutLeaving(survivors); b.required.MetBy(b.synchronizedOnly(staying), b.voters) {
		survivors = staying
	} else if !b.required.MetBy(b.synchronizedOnly(survivors), b.voters) {
		b.diskFaulty = b.votingMembers(members, func(candidate Candidate) bool { return candidate.Reachable && !candidate.Healthy })
	}
	head := slices.IndexFunc(survivors, func(member *pb.Replica) bool { return b.candidate(member).Synchronized })
	if head < 0 {
		return false
	}
	b.chain = append(b.chain, survivors[head])
	b.chain = append(b.chain, slices.Delete(survivors, head, head+1)...)
	return true
}

// voting are the members that vote and are as asked for.
func (b *builder) votingMembers(members []*pb.Replica, wanted func(Candidate) bool) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(members), func(member *pb.Replica) bool {
		votes := quorum.IndexOf(b.voters, member.GetIdentity()) != quorum.NotFound
		return !votes || !wanted(b.candidate(member))
	})
}

// staying are the replicas that were not told to end.
func (b *builder) withoutLeaving(replicas []*pb.Replica) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(replica *pb.Replica) bool {
		return b.candidate(replica).Leaving
	})
}

func (b *builder) synchronizedOnly(replicas []*pb.Replica) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(replica *pb.Replica) bool {
		return !b.candidate(replica).Synchronized
	})
}

// lacksRedundancy reports whether the chain lacks replicas or places once those that were told to end are gone.
func (b *builder) lacksRedundancy() bool {
	return !b.required.MetBy(b.withoutLeaving(b.chain), b.voters)
}

// extend adds voters up to the highest length. While the chain is short, any fit voter will do.
func (b *builder) addMembers() {
	for len(b.chain)+len(b.diskFaulty) < MaxLength {
		added := b.bestAddition(b.lacksRedundancy())
		if added == nil {
			return
		}
		b.chain = append(b.chain, added)
	}
}

// evictForDomain drops a member of a full chain that lies in too few places, if a voter in another place is fit and
// the chain lies in as many places without the member.
func (b *builder) evictForDomain() {
	if len(b.chain) < MaxLength || !b.lacksRedundancy() {
		return
	}
	added := b.bestAddition(true)
	if added == nil || !b.addsDomain(added) {
		return
	}
	for index := len(b.chain) - 1; index > 0; index-- {
		without := slices.Delete(slices.Clone(b.chain), index, index+1)
		if countDomains(without, (*pb.Replica).GetZone) == countDomains(b.chain, (*pb.Replica).GetZone) &&
			countDomains(without, (*pb.Replica).GetRegion) == countDomains(b.chain, (*pb.Replica).GetRegion) {
			b.chain = without
			return
		}
	}
}

func (b *builder) addsDomain(replica *pb.Replica) bool {
	newRegion := b.required.Regions > 1 && countInDomain(b.chain, replica, (*pb.Replica).GetRegion) == 0
	return newRegion || countInDomain(b.chain, replica, (*pb.Replica).GetZone) == 0
}

// bestAddition picks a voter for the end of the chain, from the place that has the fewest members; nil if there
// is none.
func (b *builder) bestAddition(urgent bool) *pb.Replica {
	var best *pb.Replica
	for _, voter := range b.voters {
		if !b.isEligible(voter, urgent) {
			continue
		}
		if best == nil || b.spreadsBetter(voter, best) {
			best = voter
		}
	}
	return best
}

func (b *builder) isEligible(voter *pb.Replica, urgent bool) bool {
	candidate := b.candidate(voter)
	if !candidate.Healthy || candidate.Leaving || quorum.IndexOf(b.chain, voter.GetIdentity()) != quorum.NotFound {
		return false
	}
	return urgent || (candidate.Stable && candidate.Synchronized)
}

// spreadsBetter reports whether a lies in a place with fewer members than that of other. Regions come first where
// the loss of one has to be borne; elsewhere links between regions are left out if they can be.
func (b *builder) spreadsBetter(a, other *pb.Replica) bool {
	if b.required.Regions > 1 {
		inRegion := countInDomain(b.chain, a, (*pb.Replica).GetRegion)
		inOther := countInDomain(b.chain, other, (*pb.Replica).GetRegion)
		if inRegion != inOther {
			return inRegion < inOther
		}
	}
	return countInDomain(b.chain, a, (*pb.Replica).GetZone) < countInDomain(b.chain, other, (*pb.Replica).GetZone)
}

// countInDomain is the number of members that lie in the place of a replica.
func countInDomain(members []*pb.Replica, replica *pb.Replica, domainOf func(*pb.Replica) string) int {
	count := 0
	for _, member := range members {
		if domainOf(member) == domainOf(replica) {
			count++
		}
	}
	return count
}
