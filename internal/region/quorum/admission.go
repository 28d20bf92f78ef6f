package quorum

import (
	"cmp"
	"slices"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// eligibleJoiners returns the machines that may become voters, sorted by identity, so that all voters choose the same
// machine.
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

// hasLaterIdentity reports whether a voter on the same host was in contact at least as recently as a peer. The peer is
// then an earlier identity of that host, from before it lost its disk.
func hasLaterIdentity(peer Peer, voters []*pb.Replica, peers map[string]Peer) bool {
	return slices.ContainsFunc(voters, func(voter *pb.Replica) bool {
		return voter.GetHost() == peer.Replica.GetHost() && peers[voter.GetIdentity()].SinceContact <= peer.SinceContact
	})
}

// admitJoiner makes one of the joiners a voter. In order of preference the joiner replaces an earlier identity of its
// host, replaces a voter that has left or is suspected, is added if mayGrow allows it, or replaces a voter of an
// overrepresented zone.
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
		return voters, false // the joiners wait: one of them may have to replace the voter that is out of contact
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

// replaceEarlierIdentity replaces a voter, in place, by a joiner on the same host: a machine that lost its disk gets a
// new identity. Of two identities on one host, the identity that was in contact last is the new one.
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

// allInContact reports whether every voter is live and was in contact within SuspicionTimeout.
func allInContact(voters []*pb.Replica, peers map[string]Peer) bool {
	return !slices.ContainsFunc(voters, func(voter *pb.Replica) bool {
		peer := peers[voter.GetIdentity()]
		return !peer.Live || peer.SinceContact >= SuspicionTimeout
	})
}

// mayGrow reports whether a voter may be added. An odd number of voters does not grow by one, since a majority would
// then need one vote more: the joiner stays a standby until a voter leaves, fails or is replaced. There are three
// exceptions: two joiners wait, there are fewer than MinLiveVoters voters, or a voter is leaving and a machine may be
// needed to take over its state.
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

// joinerOfSmallestZone returns the joiner whose zone has the fewest voters; among several such joiners, the first.
func joinerOfSmallestZone(joiners, voters []*pb.Replica) *pb.Replica {
	return slices.MinFunc(joiners, func(a, b *pb.Replica) int {
		return cmp.Compare(countInZone(a, voters), countInZone(b, voters))
	})
}

// overrepresentedVoter returns the index of a voter whose zone has at least two voters more than the joiner's, or
// NotFound. Replacing that voter by the joiner spreads the voters more evenly over the zones. Voters outside of the
// chain are preferred, then those late in the chain: replacing the head costs most.
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

// countInZone returns the number of voters in the zone of a replica.
func countInZone(replica *pb.Replica, voters []*pb.Replica) int {
	count := 0
	for _, voter := range voters {
		if voter.GetZone() == replica.GetZone() {
			count++
		}
	}
	return count
}

// chainPosition returns a voter's position in the chain. For a voter outside of the chain, the result is the length
// of the chain, so the voter sorts after the tail.
func chainPosition(view *pb.View, voter *pb.Replica) int {
	if position := IndexOf(view.GetChain(), voter.GetIdentity()); position != NotFound {
		return position
	}
	return len(view.GetChain())
}
