package quorum

import (
	"cmp"
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Bounds of the changes of voters.
const (
	// ReplacementTimeout is how long a voter must have been silent before a joiner takes its place. It is short:
	// until then the loss of another voter could leave no majority. A voter that was only cut off joins again.
	// It is the silence that takes a machine out of the chain, so that one view does both.
	ReplacementTimeout = 1200 * time.Millisecond
	// GrowthDelay is how long joiners must have been heard before one of them gets a vote of its own: had one of the voters
	// been lost when they came, they would stand for that one by now.
	GrowthDelay = 2 * time.Second
	// EvenRemovalTimeout is how long a voter of an even number must have been silent before it is dropped: the
	// others then need one vote less.
	EvenRemovalTimeout = ReplacementTimeout
	// SuspicionTimeout is how long a voter must not have been heard for a joiner to wait for its place.
	SuspicionTimeout = 700 * time.Millisecond
	// OddRemovalTimeout is how long two voters of an odd number must have been silent before one is dropped.
	OddRemovalTimeout = 30 * time.Second
	// MinLiveVoters is the number of live voters below which none is dropped, and up to which all machines vote.
	MinLiveVoters = 3
)

// Peer is what a voter knows of another control machine, or of itself.
type Peer struct {
	Replica         *pb.Replica
	SinceContact    time.Duration // since it was last heard
	ContactDuration time.Duration // since when it has been heard without a pause
	Live            bool          // heard lately
	// KnowsView: it has told that it holds the view in force or the one before, so it hears this machine's side too.
	KnowsView bool
	// Leaving: it was told to end.
	Leaving bool
	// Left: it was told to end, and the chain goes on without it.
	Left bool
}

// NextVoters returns the voters that the view after this one should have, and whether they differ from the
// present ones: at most one is added, replaced or dropped. Peers are by identity.
func NextVoters(view *pb.View, peers map[string]Peer) ([]*pb.Replica, bool) {
	voters := slices.Clone(view.GetVoters())
	if joiners := eligibleJoiners(voters, peers); len(joiners) > 0 {
		if next, changed := admitJoiner(view, peers, joiners); changed {
			return next, true
		}
	}
	if index := removableVoter(voters, peers); index != NotFound {
		return slices.Delete(voters, index, index+1), true
	}
	return voters, false
}

// joiners are the waiting machines by identity, so that all voters take them in the same order.
func eligibleJoiners(voters []*pb.Replica, peers map[string]Peer) []*pb.Replica {
	var joiners []*pb.Replica
	for identity, peer := range peers {
		if peer.Live && peer.KnowsView && !peer.Leaving && IndexOf(voters, identity) == NotFound {
			joiners = append(joiners, peer.Replica)
		}
	}
	slices.SortFunc(joiners, func(a, b *pb.Replica) int {
		return strings.Compare(a.GetIdentity(), b.GetIdentity())
	})
	return joiners
}

// admit gives a joiner the vote of the machine that it stands for, of one that has left, or of one that is silent;
// or a vote of its own, if that is of use; or that of one whose zone has too many.
func admitJoiner(view *pb.View, peers map[string]Peer, joiners []*pb.Replica) ([]*pb.Replica, bool) {
	voters := slices.Clone(view.GetVoters())
	for _, joiner := range joiners {
		sameHost := slices.IndexFunc(voters, func(voter *pb.Replica) bool {
			return voter.GetHost() == joiner.GetHost()
		})
		if sameHost != NotFound {
			voters[sameHost] = joiner
			return voters, true
		}
	}
	if index := replaceableVoter(voters, peers); index != NotFound {
		others := slices.Delete(slices.Clone(voters), index, index+1)
		voters[index] = joinerOfSmallestZone(joiners, others)
		return voters, true
	}
	if !allInContact(voters, peers) {
		return voters, false // joiners wait for the place of the one that is unheard
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

// joinerOfSmallestZone picks the joiner whose zone has the fewest of the voters.
func joinerOfSmallestZone(joiners, voters []*pb.Replica) *pb.Replica {
	return slices.MinFunc(joiners, func(a, b *pb.Replica) int {
		return cmp.Compare(countInZone(a, voters), countInZone(b, voters))
	})
}

func countInZone(replica *pb.Replica, voters []*pb.Replica) int {
	count := 0
	for _, voter := range voters {
		if voter.GetZone() == replica.GetZone() {
			count++
		}
	}
	return count
}

// overrepresentedVoter returns the index of a voter whose zone has so many more votes than the joiner's that the votes are spread
// better with the joiner in its place, or NotFound. Voters outside of the chain come first, its head last.
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

// chainPosition is a voter's place in the chain, or a later one than all of those.
func chainPosition(view *pb.View, voter *pb.Replica) int {
	if place := IndexOf(view.GetChain(), voter.GetIdentity()); place != NotFound {
		return place
	}
	return len(view.GetChain())
}

// replaceable returns the index of a voter whose place a joiner may take, or NotFound.
func replaceableVoter(voters []*pb.Replica, peers map[string]Peer) int {
	if index := firstLeftVoter(voters, peers); index != NotFound {
		return index
	}
	if index, sinceContact := longestSuspected(voters, peers); sinceContact >= ReplacementTimeout {
		return index
	}
	return NotFound
}

// allInContact reports whether no voter has been unheard for long enough to make joiners wait for its place.
func allInContact(voters []*pb.Replica, peers map[string]Peer) bool {
	return !slices.ContainsFunc(voters, func(voter *pb.Replica) bool {
		peer := peers[voter.GetIdentity()]
		return !peer.Live || peer.SinceContact >= SuspicionTimeout
	})
}

// mayGrow reports whether one more voter is of use. Out of an odd number it is not, as the others would need one vote
// more: the joiner stands by until a voter leaves, falls silent or is replaced, unless two wait, few vote, or one of
// the voters is on its way out and may need somebody to take its state.
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

// dispensable returns the index of a voter that the others are better off without, or NotFound.
func removableVoter(voters []*pb.Replica, peers map[string]Peer) int {
	if index := firstLeftVoter(voters, peers); index != NotFound && mayRemoveLeft(voters, peers) {
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

// firstLeftVoter returns the first voter that has left, or NotFound.
func firstLeftVoter(voters []*pb.Replica, peers map[string]Peer) int {
	return slices.IndexFunc(voters, func(voter *pb.Replica) bool {
		return peers[voter.GetIdentity()].Left
	})
}

// mayRemoveLeft reports whether a voter that has left is dropped. Out of an even number it is: the others need one
// vote less. Out of an odd number it keeps its vote, as nothing is won: it may come back.
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

// longestSuspected returns the voter that was not heard for the longest time, or NotFound if all are live.
func longestSuspected(voters []*pb.Replica, peers map[string]Peer) (int, time.Duration) {
	found := NotFound
	var longest time.Duration
	for index, voter := range voters {
		peer := peers[voter.GetIdentity()]
		if !peer.Live && (found == NotFound || peer.SinceContact > longest) {
			found = index
			longest = peer.SinceContact
		}
	}
	return found, longest
}
