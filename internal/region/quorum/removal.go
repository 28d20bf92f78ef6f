package quorum

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// removableVoter returns the index of a voter that should be removed without a replacement, or NotFound.
func removableVoter(voters []*pb.Replica, peers map[string]Peer) int {
	if index := firstLeftVoter(voters, peers); index != NotFound && mayRemoveLeft(voters, peers) {
		return index
	}
	if index := earlierIdentity(voters, peers); index != NotFound {
		return index
	}
	live := 0
	pastOddTimeout := 0
	for _, voter := range voters {
		peer := peers[voter.GetIdentity()]
		if peer.Live {
			live++
		} else if peer.SinceContact >= OddRemovalTimeout {
			pastOddTimeout++
		}
	}
	if live < MinLiveVoters {
		return NotFound
	}
	index, sinceContact := longestSuspected(voters, peers)
	even := len(voters)%2 == 0
	if even && sinceContact >= EvenRemovalTimeout {
		return index
	}
	if !even && pastOddTimeout >= 2 {
		return index
	}
	return NotFound
}

// earlierIdentity returns the index of a suspected voter on whose host another voter is live, or NotFound. The machine
// has lost its disk, so the suspected identity will not return.
func earlierIdentity(voters []*pb.Replica, peers map[string]Peer) int {
	return slices.IndexFunc(voters, func(suspected *pb.Replica) bool {
		return !peers[suspected.GetIdentity()].Live && slices.ContainsFunc(voters, func(voter *pb.Replica) bool {
			return voter.GetHost() == suspected.GetHost() && peers[voter.GetIdentity()].Live
		})
	})
}

// mayRemoveLeft reports whether a voter that has left may be removed. It may be removed from an even
// number of voters if a majority of the other voters stays: that majority then needs one vote less. It is not removed
// from an odd number of voters, since the removal does not lower the majority, and the voter may return.
func mayRemoveLeft(voters []*pb.Replica, peers map[string]Peer) bool {
	others := len(voters) - 1
	if len(voters)%2 != 0 {
		return false
	}
	staying := 0
	for _, voter := range voters {
		if peer := peers[voter.GetIdentity()]; peer.Live && !peer.Left {
			staying++
		}
	}
	return staying > others/2
}
