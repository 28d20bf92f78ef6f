package quorum

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Bounds of the changes of voters.
const (
	// ReplaceSilence is how long a voter must have been silent before a joiner takes its place. It is short:
	// until then the loss of another voter could leave no majority. A voter that was only cut off joins again.
	ReplaceSilence = 1500 * time.Millisecond
	// EvenDropSilence is how long a voter of an even number must have been silent before it is dropped: the
	// others then need one vote less.
	EvenDropSilence = 2500 * time.Millisecond
	// OddDropSilence is how long two voters of an odd number must have been silent before one is dropped.
	OddDropSilence = 30 * time.Second
	// FewestLive is the number of live voters below which none is dropped.
	FewestLive = 3
)

// Peer is what a voter knows of another control machine, or of itself.
type Peer struct {
	Replica *pb.Replica
	Silence time.Duration // since it was last heard
	Live    bool          // heard lately
	// HoldsView: it has told that it holds the view in force, so it hears this machine's side too.
	HoldsView bool
	// Left: it was told to end, and the chain goes on without it.
	Left bool
}

// NextVoters returns the voters that the view after this one should have, and whether they differ from the
// present ones: at most one is added, replaced or dropped. Peers are by identity.
func NextVoters(view *pb.View, peers map[string]Peer) ([]*pb.Replica, bool) {
	voters := slices.Clone(view.GetVoters())
	if joiner := firstJoiner(voters, peers); joiner != nil {
		return admit(voters, peers, joiner)
	}
	if index := dispensable(voters, peers); index != NotFound {
		return slices.Delete(voters, index, index+1), true
	}
	return voters, false
}

// firstJoiner picks the waiting machine with the smallest identity, so that all voters pick the same.
func firstJoiner(voters []*pb.Replica, peers map[string]Peer) *pb.Replica {
	var first *pb.Replica
	for identity, peer := range peers {
		if !peer.Live || !peer.HoldsView || peer.Left || IndexOf(voters, identity) != NotFound {
			continue
		}
		if first == nil || identity < first.GetIdentity() {
			first = peer.Replica
		}
	}
	return first
}

func admit(voters []*pb.Replica, peers map[string]Peer, joiner *pb.Replica) ([]*pb.Replica, bool) {
	sameHost := slices.IndexFunc(voters, func(voter *pb.Replica) bool {
		return voter.GetHost() == joiner.GetHost()
	})
	if sameHost != NotFound {
		voters[sameHost] = joiner
		return voters, true
	}
	if index := firstLeft(voters, peers); index != NotFound {
		voters[index] = joiner
		return voters, true
	}
	if index, silence := longestSilent(voters, peers); index != NotFound && silence >= ReplaceSilence {
		voters[index] = joiner
		return voters, true
	}
	if len(voters) >= MaxVoters {
		return voters, false
	}
	return append(voters, joiner), true
}

// dispensable returns the index of a voter that the others are better off without, or NotFound.
func dispensable(voters []*pb.Replica, peers map[string]Peer) int {
	if index := firstLeft(voters, peers); index != NotFound && mayLoseLeaver(voters, peers) {
		return index
	}
	live := 0
	longSilent := 0
	for _, voter := range voters {
		peer := peers[voter.GetIdentity()]
		if peer.Live {
			live++
		} else if peer.Silence >= OddDropSilence {
			longSilent++
		}
	}
	if live < FewestLive {
		return NotFound
	}
	index, silence := longestSilent(voters, peers)
	even := len(voters)%2 == 0
	if even && silence >= EvenDropSilence {
		return index
	}
	if !even && longSilent >= 2 {
		return index
	}
	return NotFound
}

// firstLeft returns the first voter that has left, or NotFound.
func firstLeft(voters []*pb.Replica, peers map[string]Peer) int {
	return slices.IndexFunc(voters, func(voter *pb.Replica) bool {
		return peers[voter.GetIdentity()].Left
	})
}

// mayLoseLeaver reports whether a voter that has left is dropped. Out of an even number it is: the others need one
// vote less. Out of an odd number it keeps its vote, as nothing is won: it may come back.
func mayLoseLeaver(voters []*pb.Replica, peers map[string]Peer) bool {
	others := len(voters) - 1
	if len(voters)%2 != 0 || others < FewestLive {
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

// longestSilent returns the voter that was not heard for the longest time, or NotFound if all are live.
func longestSilent(voters []*pb.Replica, peers map[string]Peer) (int, time.Duration) {
	found := NotFound
	var longest time.Duration
	for index, voter := range voters {
		peer := peers[voter.GetIdentity()]
		if !peer.Live && (found == NotFound || peer.Silence > longest) {
			found = index
			longest = peer.Silence
		}
	}
	return found, longest
}
