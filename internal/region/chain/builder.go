package chain

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// builder assembles a chain, member by member.
type builder struct {
	voters     []*pb.Replica        // voters of the next view
	candidates map[string]Candidate // state of the voters, by identity
	required   Requirement          // redundancy that the chain needs
	chain      []*pb.Replica        // members chosen so far, the head first
	// diskFaulty holds the members whose disks reject writes. They stay at the end of the chain until the other members
	// meet the requirement: the copies on their disks may be the only copies that survive the next failure.
	diskFaulty []*pb.Replica
}

func (b *builder) candidate(replica *pb.Replica) Candidate {
	return b.candidates[replica.GetIdentity()]
}

// keepMembers starts the chain with the healthy members of the previous chain. It reports whether one of them is
// synchronized and can therefore be the head.
func (b *builder) keepMembers(members []*pb.Replica) bool {
	survivors := b.votingMembers(members, func(candidate Candidate) bool { return candidate.Healthy })
	if staying := b.withoutLeaving(survivors); b.required.MetBy(b.synchronizedOnly(staying), b.voters) {
		survivors = staying
	} else if !b.required.MetBy(b.synchronizedOnly(survivors), b.voters) {
		isDiskFaulty := func(candidate Candidate) bool { return candidate.Reachable && !candidate.Healthy }
		b.diskFaulty = b.votingMembers(members, isDiskFaulty)
	}
	head := slices.IndexFunc(survivors, func(member *pb.Replica) bool { return b.candidate(member).Synchronized })
	if head < 0 {
		return false
	}
	b.chain = append(b.chain, survivors[head])
	b.chain = append(b.chain, slices.Delete(survivors, head, head+1)...)
	return true
}

// votingMembers returns the members that are voters and satisfy a condition.
func (b *builder) votingMembers(members []*pb.Replica, condition func(Candidate) bool) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(members), func(member *pb.Replica) bool {
		votes := quorum.IndexOf(b.voters, member.GetIdentity()) != quorum.NotFound
		return !votes || !condition(b.candidate(member))
	})
}

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

// lacksRedundancy reports whether the chain, without the members that are leaving, fails to meet the requirement.
func (b *builder) lacksRedundancy() bool {
	return !b.required.MetBy(b.withoutLeaving(b.chain), b.voters)
}

// addMembers adds voters up to MaxLength. While the chain lacks redundancy, any healthy voter that is not leaving is
// eligible.
func (b *builder) addMembers() {
	for len(b.chain)+len(b.diskFaulty) < MaxLength {
		added := b.bestAddition(b.lacksRedundancy())
		if added == nil {
			return
		}
		b.chain = append(b.chain, added)
	}
}

// evictForDomain removes a member of a full chain that lacks redundancy if a voter in a new failure domain can be added
// and the chain spans as many domains without the member. The head is never removed.
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

// addsDomain reports whether a replica is in a failure domain that has no member in the chain.
func (b *builder) addsDomain(replica *pb.Replica) bool {
	newRegion := b.required.Regions > 1 && countInDomain(b.chain, replica, (*pb.Replica).GetRegion) == 0
	return newRegion || countInDomain(b.chain, replica, (*pb.Replica).GetZone) == 0
}

// bestAddition returns a voter for the end of the chain, from the failure domain with the fewest members; nil if no
// voter is eligible.
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

// isEligible reports whether a voter may be added to the chain. If urgent is set, the voter need not be stable or
// synchronized.
func (b *builder) isEligible(voter *pb.Replica, urgent bool) bool {
	candidate := b.candidate(voter)
	if !candidate.Healthy || candidate.Leaving || quorum.IndexOf(b.chain, voter.GetIdentity()) != quorum.NotFound {
		return false
	}
	return urgent || (candidate.Stable && candidate.Synchronized)
}

// spreadsBetter reports whether the failure domain of a has fewer members than the failure domain of other. Regions are
// compared first if the chain must survive the loss of a region. Otherwise only zones are compared, so that links
// between regions are avoided where possible.
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
