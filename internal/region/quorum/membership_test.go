package quorum

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// names lists the identities of voters, separated by spaces.
func names(voters []*pb.Replica) string {
	var list []string
	for _, voter := range voters {
		list = append(list, voter.GetIdentity())
	}
	return strings.Join(list, " ")
}

// live is a peer that has been in contact for long.
func live(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, ContactDuration: time.Minute}
}

// fresh is a live peer that has been in contact for less than GrowthDelay.
func fresh(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, ContactDuration: GrowthDelay - 1}
}

// suspected is a peer that is not live.
func suspected(name string, sinceContact time.Duration) Peer {
	return Peer{Replica: replica(name), SinceContact: sinceContact}
}

// left has announced its graceful shutdown, and the chain goes on without it.
func left(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, Leaving: true, Left: true}
}

// leaving has announced its graceful shutdown.
func leaving(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, Leaving: true}
}

// contactedBefore is a live peer whose last message is some time old.
func contactedBefore(name string, sinceContact time.Duration) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, SinceContact: sinceContact}
}

// established is a peer that has been in contact for long.
func established(peer Peer) Peer {
	peer.ContactDuration = time.Minute
	return peer
}

func inZone(peer Peer, zone string) Peer {
	peer.Replica.Zone = zone
	return peer
}

func onHost(peer Peer, host string) Peer {
	peer.Replica.Host = host
	return peer
}

func TestNextVoters(t *testing.T) {
	tests := []struct {
		name   string
		voters string
		peers  []Peer
		want   string // empty: no change
	}{
		{
			name:   "all live: no change",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c")},
		},
		{
			name:   "a joiner makes an even number odd",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), live("e")},
			want:   "a b c d e",
		},
		{
			name:   "not at once: a voter that has just been lost may not be missed yet",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), fresh("e")},
		},
		{
			name:   "two joiners wait as well",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), fresh("e")},
		},
		{
			name:   "a single joiner stands by where it would make an odd number even",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d")},
		},
		{
			name:   "not where few vote",
			voters: "a",
			peers:  []Peer{live("a"), live("b")},
			want:   "a b",
		},
		{
			name:   "not where one is on its way out: its state may have to be taken",
			voters: "a b c",
			peers:  []Peer{live("a"), leaving("b"), live("c"), live("d")},
			want:   "a b c d",
		},
		{
			name:   "one joiner at a time, by identity",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), live("e"), live("d")},
			want:   "a b c d",
		},
		{
			name:   "a machine that does not know the view is no joiner yet",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), {Replica: replica("d"), Live: true}},
		},
		{
			name:   "a joiner on a voter's host takes its place",
			voters: "a b c",
			peers:  []Peer{live("a"), suspected("b", time.Second), live("c"), onHost(live("d"), "host-b")},
			want:   "a d c",
		},
		{
			name:   "what a voter on the host was before does not take its place",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), onHost(contactedBefore("d", time.Second), "host-b")},
		},
		{
			name:   "nor does it get a vote of its own",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), onHost(established(contactedBefore("e", time.Second)), "host-c")},
		},
		{
			name:   "a silent voter goes whose machine votes by a later identity",
			voters: "a b c d e",
			peers:  []Peer{live("a"), suspected("b", 2*time.Second), live("c"), onHost(live("d"), "host-b"), live("e")},
			want:   "a c d e",
		},
		{
			name:   "a joiner takes the place of the longest silent voter",
			voters: "a b c d e",
			peers: []Peer{
				live("a"), suspected("b", 2*time.Second), suspected("c", 4*time.Second), live("d"), live("e"), live("f"),
			},
			want: "a b f d e",
		},
		{
			name:   "a joiner does not take the place of a voter that was heard lately",
			voters: "a b c",
			peers:  []Peer{live("a"), suspected("b", ReplacementTimeout-1), live("c"), live("d")},
		},
		{
			name:   "it waits for that place, where it could have a vote of its own",
			voters: "a b c d",
			peers:  []Peer{live("a"), contactedBefore("b", SuspicionTimeout), live("c"), live("d"), live("e")},
		},
		{
			name:   "a voter that was heard within moments is not waited for",
			voters: "a b c d",
			peers:  []Peer{live("a"), contactedBefore("b", SuspicionTimeout-1), live("c"), live("d"), live("e")},
			want:   "a b c d e",
		},
		{
			name:   "of several, the joiner from the zone with the fewest votes",
			voters: "a b c",
			peers: []Peer{
				inZone(live("a"), "x"), inZone(suspected("b", time.Hour), "y"), inZone(live("c"), "z"),
				inZone(live("d"), "x"), inZone(live("e"), "y"),
			},
			want: "a e c",
		},
		{
			name:   "a joiner takes the place of a voter whose zone has two votes more",
			voters: "a b c",
			peers: []Peer{
				inZone(live("a"), "x"), inZone(live("b"), "x"), inZone(live("c"), "z"), inZone(live("d"), "y"),
			},
			want: "d b c",
		},
		{
			name:   "not of one whose zone has one vote more",
			voters: "a b c",
			peers: []Peer{
				inZone(live("a"), "x"), inZone(live("b"), "x"), inZone(live("c"), "z"), inZone(live("d"), "z"),
			},
		},
		{
			name:   "no more than nine",
			voters: "a b c d e f g h i",
			peers: []Peer{
				live("a"), live("b"), live("c"), live("d"), live("e"), live("f"), live("g"), live("h"), live("i"),
				live("j"),
			},
		},
		{
			name:   "a silent one of an even number is dropped",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), suspected("d", EvenRemovalTimeout)},
			want:   "a b c",
		},
		{
			name:   "not at once",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), suspected("d", EvenRemovalTimeout-1)},
		},
		{
			name:   "not when too few live",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), suspected("c", time.Hour), suspected("d", time.Hour)},
		},
		{
			name:   "a silent one of an odd number is kept: without it the others need as many votes",
			voters: "a b c d e",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), suspected("e", time.Hour)},
		},
		{
			name:   "two long silent ones of an odd number go, one after the other",
			voters: "a b c d e",
			peers: []Peer{
				live("a"), live("b"), live("c"), suspected("d", OddRemovalTimeout), suspected("e", OddRemovalTimeout+1),
			},
			want: "a b c d",
		},
		{
			name:   "one that has left an even number is dropped at once",
			voters: "a b c d",
			peers:  []Peer{live("a"), left("b"), live("c"), live("d")},
			want:   "a c d",
		},
		{
			name:   "also when another one is leaving or silent, as long as the rest is a majority then",
			voters: "a b c d",
			peers:  []Peer{live("a"), left("b"), live("c"), suspected("d", time.Second)},
			want:   "a c d",
		},
		{
			name:   "not when the rest would be no majority",
			voters: "a b c d",
			peers:  []Peer{live("a"), left("b"), suspected("c", time.Second), suspected("d", time.Second)},
		},
		{
			name:   "one that has left an odd number keeps its vote",
			voters: "a b c",
			peers:  []Peer{live("a"), left("b"), live("c")},
		},
		{
			name:   "one of two hands over to the other",
			voters: "a b",
			peers:  []Peer{live("a"), left("b")},
			want:   "a",
		},
		{
			name:   "a joiner takes the place of one that has left",
			voters: "a b c",
			peers:  []Peer{live("a"), left("b"), live("c"), live("d")},
			want:   "a d c",
		},
		{
			name:   "one that has left does not join",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), left("d")},
		},
		{
			name:   "a voter that was never in contact counts as suspected",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), suspected("d", time.Minute), suspected("x", time.Minute)},
			want:   "a b c",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := viewOf(3, strings.Fields(test.voters)...)
			peers := make(map[string]Peer)
			for _, peer := range test.peers {
				peers[peer.Replica.GetIdentity()] = peer
			}
			for index, voter := range view.GetVoters() {
				if known, found := peers[voter.GetIdentity()]; found {
					view.Voters[index] = known.Replica
				}
			}
			before := names(view.GetVoters())
			voters, changed := NextVoters(view, peers)
			require.Equal(t, test.want != "", changed)
			if changed {
				require.Equal(t, test.want, names(voters))
			}
			require.Equal(t, before, names(view.GetVoters()), "the view itself stays as it is")
		})
	}
}

func TestVoterOutsideOfTheChainGivesItsPlaceFirst(t *testing.T) {
	view := viewOf(3, "a", "b", "c")
	peers := make(map[string]Peer)
	for index, zone := range []string{"x", "x", "z"} {
		view.Voters[index].Zone = zone
		identity := view.Voters[index].Identity
		peers[identity] = Peer{Replica: view.Voters[index], Live: true, KnowsView: true}
	}
	peers["d"] = inZone(live("d"), "y")
	for chain, want := range map[string]string{"a": "a d c", "b": "d b c", "a b": "a d c", "b a": "d b c"} {
		view.Chain = nil
		for _, name := range strings.Fields(chain) {
			view.Chain = append(view.Chain, replica(name))
		}
		voters, changed := NextVoters(view, peers)
		require.True(t, changed)
		require.Equal(t, want, names(voters), "chain %s", chain)
	}
}
