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

// live returns a live peer that has been in contact for longer than GrowthDelay.
func live(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, ContactDuration: time.Minute}
}

// fresh returns a live peer that has been in contact for less than GrowthDelay.
func fresh(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, ContactDuration: GrowthDelay - 1}
}

// suspected returns a peer that is not live.
func suspected(name string, sinceContact time.Duration) Peer {
	return Peer{Replica: replica(name), SinceContact: sinceContact}
}

// left returns a peer that has announced its graceful shutdown and is outside of the chain.
func left(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, Leaving: true, Left: true}
}

// leaving returns a peer that has announced its graceful shutdown.
func leaving(name string) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, Leaving: true}
}

// contactedBefore returns a live peer that was last in contact the given time ago.
func contactedBefore(name string, sinceContact time.Duration) Peer {
	return Peer{Replica: replica(name), Live: true, KnowsView: true, SinceContact: sinceContact}
}

// established returns the peer with a contact duration longer than GrowthDelay.
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
			name:   "a joiner waits for GrowthDelay: the failure of a voter may not have been detected yet",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), fresh("e")},
		},
		{
			name:   "two joiners wait too while one of them has been in contact for less than GrowthDelay",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), fresh("e")},
		},
		{
			name:   "a single joiner that would make an odd number even stays a standby",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d")},
		},
		{
			name:   "a joiner is added to fewer than MinLiveVoters voters",
			voters: "a",
			peers:  []Peer{live("a"), live("b")},
			want:   "a b",
		},
		{
			name:   "a joiner is added if a voter is leaving: a machine may have to take over its state",
			voters: "a b c",
			peers:  []Peer{live("a"), leaving("b"), live("c"), live("d")},
			want:   "a b c d",
		},
		{
			name:   "joiners are added one at a time, in order of identity",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), live("e"), live("d")},
			want:   "a b c d",
		},
		{
			name:   "a machine that does not know the view is not eligible",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), {Replica: replica("d"), Live: true}},
		},
		{
			name:   "a joiner replaces the voter that is an earlier identity of its host",
			voters: "a b c",
			peers:  []Peer{live("a"), suspected("b", time.Second), live("c"), onHost(live("d"), "host-b")},
			want:   "a d c",
		},
		{
			name:   "an earlier identity of a voter's host does not replace that voter",
			voters: "a b c",
			peers:  []Peer{live("a"), live("b"), live("c"), onHost(contactedBefore("d", time.Second), "host-b")},
		},
		{
			name:   "an earlier identity of a voter's host is not added",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), onHost(established(contactedBefore("e", time.Second)), "host-c")},
		},
		{
			name:   "a suspected voter is removed if its machine votes under a later identity",
			voters: "a b c d e",
			peers:  []Peer{live("a"), suspected("b", 2*time.Second), live("c"), onHost(live("d"), "host-b"), live("e")},
			want:   "a c d e",
		},
		{
			name:   "a joiner replaces the voter that has been out of contact longest",
			voters: "a b c d e",
			peers: []Peer{
				live("a"), suspected("b", 2*time.Second), suspected("c", 4*time.Second), live("d"), live("e"), live("f"),
			},
			want: "a b f d e",
		},
		{
			name:   "a joiner does not replace a voter that was in contact within ReplacementTimeout",
			voters: "a b c",
			peers:  []Peer{live("a"), suspected("b", ReplacementTimeout-1), live("c"), live("d")},
		},
		{
			name:   "a joiner is not added while a voter is out of contact for SuspicionTimeout",
			voters: "a b c d",
			peers:  []Peer{live("a"), contactedBefore("b", SuspicionTimeout), live("c"), live("d"), live("e")},
		},
		{
			name:   "a joiner is added if every voter was in contact within SuspicionTimeout",
			voters: "a b c d",
			peers:  []Peer{live("a"), contactedBefore("b", SuspicionTimeout-1), live("c"), live("d"), live("e")},
			want:   "a b c d e",
		},
		{
			name:   "of several joiners, one of the zone with the fewest voters is chosen",
			voters: "a b c",
			peers: []Peer{
				inZone(live("a"), "x"), inZone(suspected("b", time.Hour), "y"), inZone(live("c"), "z"),
				inZone(live("d"), "x"), inZone(live("e"), "y"),
			},
			want: "a e c",
		},
		{
			name:   "a joiner replaces a voter whose zone has two voters more",
			voters: "a b c",
			peers: []Peer{
				inZone(live("a"), "x"), inZone(live("b"), "x"), inZone(live("c"), "z"), inZone(live("d"), "y"),
			},
			want: "d b c",
		},
		{
			name:   "a joiner does not replace a voter whose zone has one voter more",
			voters: "a b c",
			peers: []Peer{
				inZone(live("a"), "x"), inZone(live("b"), "x"), inZone(live("c"), "z"), inZone(live("d"), "z"),
			},
		},
		{
			name:   "the number of voters does not exceed MaxVoters",
			voters: "a b c d e f g h i",
			peers: []Peer{
				live("a"), live("b"), live("c"), live("d"), live("e"), live("f"), live("g"), live("h"), live("i"),
				live("j"),
			},
		},
		{
			name:   "a voter out of contact for EvenRemovalTimeout is removed from an even number",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), suspected("d", EvenRemovalTimeout)},
			want:   "a b c",
		},
		{
			name:   "a voter out of contact for less than EvenRemovalTimeout is kept",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), live("c"), suspected("d", EvenRemovalTimeout-1)},
		},
		{
			name:   "no voter is removed while fewer than MinLiveVoters are live",
			voters: "a b c d",
			peers:  []Peer{live("a"), live("b"), suspected("c", time.Hour), suspected("d", time.Hour)},
		},
		{
			name:   "one suspected voter of an odd number is kept: without it a majority is as large",
			voters: "a b c d e",
			peers:  []Peer{live("a"), live("b"), live("c"), live("d"), suspected("e", time.Hour)},
		},
		{
			name:   "of two voters of an odd number out of contact for OddRemovalTimeout, one is removed",
			voters: "a b c d e",
			peers: []Peer{
				live("a"), live("b"), live("c"), suspected("d", OddRemovalTimeout), suspected("e", OddRemovalTimeout+1),
			},
			want: "a b c d",
		},
		{
			name:   "a voter that has left is removed from an even number at once",
			voters: "a b c d",
			peers:  []Peer{live("a"), left("b"), live("c"), live("d")},
			want:   "a c d",
		},
		{
			name:   "a voter that has left is removed despite a suspected one if the rest is a majority",
			voters: "a b c d",
			peers:  []Peer{live("a"), left("b"), live("c"), suspected("d", time.Second)},
			want:   "a c d",
		},
		{
			name:   "a voter that has left is kept if the rest would not be a majority",
			voters: "a b c d",
			peers:  []Peer{live("a"), left("b"), suspected("c", time.Second), suspected("d", time.Second)},
		},
		{
			name:   "a voter that has left is kept in an odd number",
			voters: "a b c",
			peers:  []Peer{live("a"), left("b"), live("c")},
		},
		{
			name:   "a voter that has left is removed from two voters",
			voters: "a b",
			peers:  []Peer{live("a"), left("b")},
			want:   "a",
		},
		{
			name:   "a joiner replaces a voter that has left",
			voters: "a b c",
			peers:  []Peer{live("a"), left("b"), live("c"), live("d")},
			want:   "a d c",
		},
		{
			name:   "a machine that has left is not eligible",
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
			require.Equal(t, before, names(view.GetVoters()), "the view is not modified")
		})
	}
}

func TestVoterOutsideOfTheChainIsReplacedFirst(t *testing.T) {
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
