package quorum

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Timeouts and limits for changes of the set of voters.
const (
	// ReplacementTimeout is the time without contact after which a joiner replaces a voter. It is short, because until
	// the replacement the failure of another voter could leave no majority. A voter that was only partitioned can
	// rejoin. A machine is removed from the chain after the same time, so that one view change makes both changes.
	ReplacementTimeout = 1200 * time.Millisecond
	// GrowthDelay is how long joiners must have been in contact before one of them becomes an additional voter. It is
	// longer than ReplacementTimeout: a voter that had failed when the joiners arrived has been replaced by then.
	GrowthDelay = 2 * time.Second
	// EvenRemovalTimeout is the time without contact after which a voter is removed from an even number of voters: a
	// majority of the remaining voters needs one vote less.
	EvenRemovalTimeout = ReplacementTimeout
	// SuspicionTimeout is the time without contact with a voter after which no voter is added: the joiners wait, since
	// one of them may have to replace that voter.
	SuspicionTimeout = 700 * time.Millisecond
	// OddRemovalTimeout is the time without contact with two voters after which one of them is removed from an odd
	// number of voters.
	OddRemovalTimeout = 30 * time.Second
	// MinLiveVoters is the number of live voters below which no suspected voter is removed, and the number of voters
	// below which any joiner is added.
	MinLiveVoters = 3
)

// Peer is what a voter knows about another control machine, or about itself.
type Peer struct {
	Replica         *pb.Replica   // the machine
	SinceContact    time.Duration // time since the last message of the machine
	ContactDuration time.Duration // time for which messages have been received without a gap
	Live            bool          // not suspected to have failed
	// KnowsView is set if the machine advertises the view in force or the view before it, which shows that it also
	// receives messages from this machine.
	KnowsView bool
	// Leaving is set once the machine has announced its graceful shutdown.
	Leaving bool
	// Left is set once the machine has announced its graceful shutdown and is outside of the chain in force.
	Left bool
}

// NextVoters returns the voters that the view after the given view should have, and whether they differ from the
// present voters. At most one voter is added, replaced or removed. The keys of peers are identities. The view is not
// modified.
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

// firstLeftVoter returns the index of the first voter that has left, or NotFound.
func firstLeftVoter(voters []*pb.Replica, peers map[string]Peer) int {
	return slices.IndexFunc(voters, func(voter *pb.Replica) bool {
		return peers[voter.GetIdentity()].Left
	})
}

// longestSuspected returns the index of the suspected voter with the longest time since contact, and that time; or
// NotFound and 0 if all voters are live.
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
