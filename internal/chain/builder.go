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
	waiting []*pb.Replica
}

func (b *builder) candidate(replica *pb.Replica) Candidate {
	return b.candidates[replica.GetIdentity()]
}

// begin takes over the members that are fit; it reports whether one of them holds the state and can be the head.
func (b *builder) begin(members []*pb.Replica) bool {
	survivors := b.voting(members, func(candidate Candidate) bool { return candidate.Healthy })
	if staying := b.staying(survivors); b.required.MetBy(b.holding(staying), b.voters) {
		survivors = staying
	} else if !b.required.MetBy(b.holding(survivors), b.voters) {
		b.waiting = b.voting(members, func(candidate Candidate) bool { return candidate.Reachable && !candidate.Healthy })
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
func (b *builder) voting(members []*pb.Replica, wanted func(Candidate) bool) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(members), func(member *pb.Replica) bool {
		votes := quorum.IndexOf(b.voters, member.GetIdentity()) != quorum.NotFound
		return !votes || !wanted(b.candidate(member))
	})
}

// staying are the replicas that were not told to end.
func (b *builder) staying(replicas []*pb.Replica) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(replica *pb.Replica) bool {
		return b.candidate(replica).Leaving
	})
}

func (b *builder) holding(replicas []*pb.Replica) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(replica *pb.Replica) bool {
		return !b.candidate(replica).Synchronized
	})
}

// isShort reports whether the chain lacks replicas or places once those that were told to end are gone.
func (b *builder) isShort() bool { return !b.required.MetBy(b.staying(b.chain), b.voters) }

// extend adds voters up to the highest length. While the chain is short, any fit voter will do.
func (b *builder) extend() {
	for len(b.chain)+len(b.waiting) < MaxLength {
		added := b.bestAddition(b.isShort())
		if added == nil {
			return
		}
		b.chain = append(b.chain, added)
	}
}

// makeRoom drops a member of a full chain that lies in too few places, if a voter in another place is fit and
// the chain lies in as many places without the member.
func (b *builder) makeRoom() {
	if len(b.chain) < MaxLength || !b.isShort() {
		return
	}
	added := b.bestAddition(true)
	if added == nil || !b.isNewPlace(added) {
		return
	}
	for index := len(b.chain) - 1; index > 0; index-- {
		without := slices.Delete(slices.Clone(b.chain), index, index+1)
		if countPlaces(without, (*pb.Replica).GetZone) == countPlaces(b.chain, (*pb.Replica).GetZone) &&
			countPlaces(without, (*pb.Replica).GetRegion) == countPlaces(b.chain, (*pb.Replica).GetRegion) {
			b.chain = without
			return
		}
	}
}

func (b *builder) isNewPlace(replica *pb.Replica) bool {
	newRegion := b.required.Regions > 1 && countIn(b.chain, replica, (*pb.Replica).GetRegion) == 0
	return newRegion || countIn(b.chain, replica, (*pb.Replica).GetZone) == 0
}

// bestAddition picks a voter for the end of the chain, from the place that has the fewest members; nil if there
// is none.
func (b *builder) bestAddition(urgent bool) *pb.Replica {
	var best *pb.Replica
	for _, voter := range b.voters {
		if !b.mayBeAdded(voter, urgent) {
			continue
		}
		if best == nil || b.spreadsBetter(voter, best) {
			best = voter
		}
	}
	return best
}

func (b *builder) mayBeAdded(voter *pb.Replica, urgent bool) bool {
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
		inRegion := countIn(b.chain, a, (*pb.Replica).GetRegion)
		inOther := countIn(b.chain, other, (*pb.Replica).GetRegion)
		if inRegion != inOther {
			return inRegion < inOther
		}
	}
	return countIn(b.chain, a, (*pb.Replica).GetZone) < countIn(b.chain, other, (*pb.Replica).GetZone)
}

// countIn is the number of members that lie in the place of a replica.
func countIn(members []*pb.Replica, replica *pb.Replica, place func(*pb.Replica) string) int {
	count := 0
	for _, member := range members {
		if place(member) == place(replica) {
			count++
		}
	}
	return count
}
