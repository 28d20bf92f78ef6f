package chain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// identities lists the identities of replicas, separated by spaces.
func identities(replicas []*pb.Replica) string {
	var list []string
	for _, replica := range replicas {
		list = append(list, replica.GetIdentity())
	}
	return strings.Join(list, " ")
}

var (
	good      = Candidate{Healthy: true, Synchronized: true, Stable: true}
	unhealthy = Candidate{Synchronized: true, Stable: true}
	lagging   = Candidate{Healthy: true, Stable: true}
	unstable  = Candidate{Healthy: true, Synchronized: true}
	leaving   = Candidate{Healthy: true, Synchronized: true, Stable: true, Leaving: true}
	diskFull  = Candidate{Reachable: true, Synchronized: true, Stable: true}
)

func TestNextChain(t *testing.T) {
	tests := []struct {
		name       string
		chain      string
		voters     string
		candidates map[string]Candidate
		want       string // empty: no chain
		change     Change
	}{
		{
			name: "all members are healthy: no change", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": good, "b": good, "c": good},
			want:       "a b c",
		},
		{
			name: "an unreachable head is removed", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"b": good, "c": good},
			want:       "b c", change: Change{Removal: true},
		},
		{
			name: "an unhealthy member in the middle is removed", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": good, "b": unhealthy, "c": good},
			want:       "a c", change: Change{Removal: true},
		},
		{
			name: "the head must be synchronized", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"b": lagging, "c": good},
			want:       "c b", change: Change{Removal: true},
		},
		{
			name: "there is no chain if no member is synchronized", chain: "a b c", voters: "a b c d",
			candidates: map[string]Candidate{"b": lagging, "d": good},
		},
		{
			name: "a learner is added if it is stable and synchronized", chain: "a b", voters: "a b c d e",
			candidates: map[string]Candidate{"a": good, "b": good, "c": good, "d": unstable, "e": lagging},
			want:       "a b c", change: Change{Addition: true},
		},
		{
			name: "any healthy voter is added to a chain that lacks redundancy", chain: "a b", voters: "a b c",
			candidates: map[string]Candidate{"a": good, "c": lagging},
			want:       "a c", change: Change{Removal: true, Addition: true},
		},
		{
			name: "the chain does not exceed MaxLength", chain: "a b c d e", voters: "a b c d e f",
			candidates: map[string]Candidate{"a": good, "b": good, "c": good, "d": good, "e": good, "f": good},
			want:       "a b c d e",
		},
		{
			name: "a member whose disk rejects writes is removed", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": diskFull, "b": good, "c": good},
			want:       "b c", change: Change{Removal: true},
		},
		{
			name: "a member whose disk rejects writes stays until the others are redundant", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": diskFull, "b": good, "c": lagging},
			want:       "b c a",
		},
		{
			name: "a lagging voter is added before a member whose disk rejects writes", chain: "a b", voters: "a b c",
			candidates: map[string]Candidate{"a": diskFull, "b": good, "c": lagging},
			want:       "b c a", change: Change{Addition: true},
		},
		{
			name: "an unreachable member is removed even if the others are not redundant", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": {}, "b": good, "c": lagging},
			want:       "b c", change: Change{Removal: true},
		},
		{
			name: "there is no chain if no healthy member is synchronized", chain: "a b", voters: "a b c",
			candidates: map[string]Candidate{"a": diskFull, "b": lagging, "c": lagging},
		},
		{
			name: "a leaving member is removed", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": leaving, "b": good, "c": good},
			want:       "b c", change: Change{Removal: true},
		},
		{
			name: "a leaving member stays until the others are redundant", chain: "a b c", voters: "a b c",
			candidates: map[string]Candidate{"a": leaving, "b": good, "c": lagging},
			want:       "a b c",
		},
		{
			name: "a lagging voter is added while a leaving member stays", chain: "a b", voters: "a b c",
			candidates: map[string]Candidate{"a": leaving, "b": good, "c": lagging},
			want:       "a b c", change: Change{Addition: true},
		},
		{
			name: "a leaving member with the only copy stays", chain: "a", voters: "a b c",
			candidates: map[string]Candidate{"a": leaving, "b": lagging},
			want:       "a b", change: Change{Addition: true},
		},
		{
			name: "a leaving voter is not added", chain: "a b", voters: "a b c",
			candidates: map[string]Candidate{"a": good, "b": good, "c": leaving},
			want:       "a b",
		},
		{
			name: "a member that is no longer a voter is removed", chain: "a b c", voters: "a b d",
			candidates: map[string]Candidate{"a": good, "b": good, "c": good, "d": lagging},
			want:       "a b", change: Change{Removal: true},
		},
	}
	required := Requirement{Replicas: 2, Zones: 2}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := &pb.View{Chain: replicasNamed(strings.Fields(test.chain)...)}
			voters := replicasNamed(strings.Fields(test.voters)...)
			next, change := NextChain(view, voters, test.candidates, required)
			require.Equal(t, test.want, identities(next))
			require.Equal(t, test.change, change)
		})
	}
}

func TestInitialChainIsSpreadAndOrderedByFailureDomain(t *testing.T) {
	var voters []*pb.Replica
	for index, zone := range []string{"z2", "z1", "z1", "z1", "z3", "z1", "z2"} {
		voters = append(voters, &pb.Replica{
			Host:     string(rune('a' + index)),
			Identity: string(rune('a' + index)),
			Zone:     zone,
			Region:   "r" + zone,
		})
	}
	require.Equal(t, "b c a g e", identities(InitialChain(voters, Requirement{Replicas: 2, Zones: 2})))
}

func TestRequirement(t *testing.T) {
	inZones := func(zones ...string) []*pb.Replica {
		var replicas []*pb.Replica
		for _, zone := range zones {
			replicas = append(replicas, &pb.Replica{Zone: zone})
		}
		return replicas
	}
	required := Requirement{Replicas: 2, Zones: 2}
	require.True(t, required.MetBy(inZones("x", "y"), inZones("x", "y", "z")))
	require.False(t, required.MetBy(inZones("x", "x"), inZones("x", "x", "z")))
	require.False(t, required.MetBy(inZones("x"), inZones("x", "y", "z")))
	require.True(t, required.MetBy(inZones("x", "x"), inZones("x", "x", "x")), "there is only one zone")
}

func TestRequirementOfRegions(t *testing.T) {
	near := &pb.Replica{Zone: "x", Region: "one"}
	alsoNear := &pb.Replica{Zone: "y", Region: "one"}
	far := &pb.Replica{Zone: "z", Region: "two"}
	required := Requirement{Replicas: 2, Zones: 2, Regions: 2}
	voters := []*pb.Replica{near, alsoNear, far}
	require.False(t, required.MetBy([]*pb.Replica{near, alsoNear}, voters), "the loss of one region would lose all replicas")
	require.True(t, required.MetBy([]*pb.Replica{near, far}, voters))
	require.True(t, required.MetBy([]*pb.Replica{near, alsoNear}, []*pb.Replica{near, alsoNear}), "there is only one region")
}

// inZones returns replicas and healthy candidates for them. The first letter of a name is the region, the first two
// letters are the zone.
func inZones(names ...string) ([]*pb.Replica, map[string]Candidate) {
	candidates := make(map[string]Candidate, len(names))
	var replicas []*pb.Replica
	for _, name := range names {
		replicas = append(replicas, &pb.Replica{Host: name, Identity: name, Region: name[:1], Zone: name[:2]})
		candidates[name] = good
	}
	return replicas, candidates
}

func TestChainIsSpreadOverRegionsIfItMustSurviveTheLossOfOne(t *testing.T) {
	voters, candidates := inZones("aa1", "ab1", "ac1", "ba1", "ca1")
	view := &pb.View{Chain: voters[:1]}
	candidates["ca1"] = Candidate{}
	near, _ := NextChain(view, voters, candidates, Requirement{Replicas: 2, Zones: 2, Regions: 1})
	require.Equal(t, "aa1 ab1 ac1 ba1", identities(near), "spread by zone, in the order of the voters")
	far, _ := NextChain(view, voters, candidates, Requirement{Replicas: 2, Zones: 2, Regions: 2})
	require.Equal(t, "aa1 ba1 ab1 ac1", identities(far))
	require.Equal(t, "aa1 ab1 ac1 ba1 ca1", identities(InitialChain(voters, Requirement{Replicas: 2, Zones: 2, Regions: 2})))
}

func TestInitialChainPrefersRegionsOnlyIfItMustSurviveTheLossOfOne(t *testing.T) {
	voters, _ := inZones("aa1", "ab1", "ac1", "ad1", "ae1", "ba1")
	require.Equal(t, "aa1 ab1 ac1 ad1 ae1", identities(InitialChain(voters, Requirement{Replicas: 2, Zones: 2, Regions: 1})))
	require.Equal(t, "aa1 ab1 ac1 ad1 ba1", identities(InitialChain(voters, Requirement{Replicas: 2, Zones: 2, Regions: 2})))
}

func TestMemberOfFullChainIsEvictedForNewFailureDomain(t *testing.T) {
	voters, candidates := inZones("aa1", "aa2", "aa3", "ab1", "ab2", "ba1")
	required := Requirement{Replicas: 2, Zones: 3, Regions: 2}
	view := &pb.View{Chain: voters[:5]}
	next, change := NextChain(view, voters, candidates, required)
	require.Equal(t, "aa1 aa2 aa3 ab1 ba1", identities(next))
	require.Equal(t, Change{Removal: true, Addition: true}, change)
	candidates["ba1"] = Candidate{}
	next, change = NextChain(view, voters, candidates, required)
	require.Equal(t, "aa1 aa2 aa3 ab1 ab2", identities(next), "no voter in another failure domain is healthy")
	require.Equal(t, Change{}, change)
}
