package quorum

import (
	"cmp"
	"slices"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// eligibleJoiners are the machines that may get a vote, sorted by identity, so that all voters prefer the same one.
func eligibleJoiners(voters []*pb.Replica, peers map[string]Peer) []*pb.Replica {
	var joiners []*pb.Replica
	for identity, peer := range peers {
		isPresent := peer.Live && peer.KnowsView && !peer.Leaving
		if isPresent && IndexOf(voters, identity) == NotFound && !hasLaterIdentity(peer, voters, peers) {
			joiners = append(joiners, peer.Replica)
		}
	}
	slices.SortFunc(joiners, func(a, b *pb.Replica) int {
		return strings.Compare(a.GetIdentity(), b.GetIdentity())
	})
	return joiners
}

// hasLaterIdentity reports whether a voter on the host of a peer was received from after it: the peer is what that machine
// was before it lost its disk.
func hasLaterIdentity(peer Peer, voters []*pb.Replica, peers map[string]Peer) bool {
	return slices.ContainsFunc(voters, func(voter *pb.Replica) bool {
		return voter.GetHost() == peer.Replica.GetHost() && peers[voter.GetIdentity()].SinceContact <= peer.SinceContact
	})
}

// admitJoiner gives one of the joiners a vote: that of an earlier identity of its host; that of a voter that has left
// or is suspected; a vote of its own, if that is of use; or that of a voter whose zone has too many.
func admitJoiner(view *pb.View, peers map[string]Peer, joiners []*pb.Replica) ([]*pb.Replica, bool) {
	voters := slices.Clone(view.GetVoters())
	if replaceEarlierIdentity(voters, joiners, peers) {
		return voters, true
	}
	if index := replaceableVoter(voters, peers); index != NotFound {
		others := slices.Delete(slices.Clone(voters), index, index+1)
		voters[index] = joinerOfSmallestZone(joiners, others)
		return voters, true
	}
	if !allInContact(voters, peers) {
		return voters, false // the joiners wait to replace the voter that may have failed
	}
	joiner := joinerOfSmallestZone(joiners, voters)
	if mayGrow(voters, peers, joiners) {
		return append(voters, joiner), true
	}
	if index := overrepresentedVoter(view, joiner); index != NotFound {
		voters[index] = joiner
		return voters, true
	}
	return voters, false
}

// replaceEarlierIdentity replaces a voter, in place, by a joiner on the same host: a machine that lost its disk has a
// new identity. That is the one of the two that was received from last.
func replaceEarlierIdentity(voters, joiners []*pb.Replica, peers map[string]Peer) bool {
	for _, joiner := range joiners {
		sinceContact := peers[joiner.GetIdentity()].SinceContact
		index := slices.IndexFunc(voters, func(voter *pb.Replica) bool {
			return voter.GetHost() == joiner.GetHost() && sinceContact < peers[voter.GetIdentity()].SinceContact
		})
		if index != NotFound {
			voters[index] = joiner
			return true
		}
	}
	return false
}

// replaceableVoter returns the index of a voter that a joiner may replace, or NotFound.
func replaceableVoter(voters []*pb.Replica, peers map[string]Peer) int {
	if index := firstLeftVoter(voters, peers); index != NotFound {
		return index
	}
	if index, sinceContact := longestSuspected(voters, peers); sinceContact >= ReplacementTimeout {
		return index
	}
	return NotFound
}

// allInContact reports whether no voter has been out of contact for so long that joiners wait to replace it.
func allInContact(voters []*pb.Replica, peers map[string]Peer) bool {
	return !slices.ContainsFunc(voters, func(voter *pb.Replica) bool {
		peer := peers[voter.GetIdentity()]
		return !peer.Live || peer.SinceContact >= SuspicionTimeout
	})
}

// mayGrow reports whether one more voter is of use. To an odd number it is not, since the others would need one vote
// more: the joiner stays a standby until a voter leaves, fails or is replaced. The exceptions: two joiners wait, there
// are few voters, or a voter is leaving and a machine may be needed to take over its state.
func mayGrow(voters []*pb.Replica, peers map[string]Peer, joiners []*pb.Replica) bool {
	if len(voters) >= MaxVoters {
		return false
	}
	isLeaving := func(voter *pb.Replica) bool { return peers[voter.GetIdentity()].Leaving }
	if len(voters) < MinLiveVoters || slices.ContainsFunc(voters, isLeaving) {
		return true
	}
	established := 0
	for _, joiner := range joiners {
		if peers[joiner.GetIdentity()].ContactDuration >= GrowthDelay {
			established++
		}
	}
	return established > 1 || (established == 1 && len(voters)%2 == 0)
}

// joinerOfSmallestZone returns the joiner whose zone has the fewest of the voters; of several, the first.
func joinerOfSmallestZone(joiners, voters []*pb.Replica) *pb.Replica {
	return slices.MinFunc(joiners, func(a, b *pb.Replica) int {
		return cmp.Compare(countInZone(a, voters), countInZone(b, voters))
	})
}

// overrepresentedVoter returns the index of a voter whose zone has at least two votes more than the joiner's, so that
// the votes are spread better with the joiner in its place, or NotFound. Voters outside of the chain are preferred,
// then the later ones of the chain: replacing the head costs most.
func overrepresentedVoter(view *pb.View, joiner *pb.Replica) int {
	voters := view.GetVoters()
	limit := countInZone(joiner, voters) + 1
	found := NotFound
	for index, voter := range voters {
		if countInZone(voter, voters) <= limit {
			continue
		}
		if found == NotFound || chainPosition(view, voter) > chainPosition(view, voters[found]) {
			found = index
		}
	}
	return found
}

// countInZone is the number of voters in the zone of a replica.
func countInZone(replica *pb.Replica, voters []*pb.Replica) int {
	count := 0
	for _, voter := range voters {
		if voter.GetZone() == replica.GetZone() {
			count++
		}
	}
	return count
}

// chainPosition is a voter's position in the chain, or one behind the tail if it is not a member.
func chainPosition(view *pb.View, voter *pb.Replica) int {
	if position := IndexOf(view.GetChain(), voter.GetIdentity()); position != NotFound {
		return position
	}
	return len(view.GetChain())
}
