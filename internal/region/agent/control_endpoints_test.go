package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func newTestEndpoints(seeds ...string) controlEndpoints {
	return newControlEndpoints("zone-a", "region-a", seeds, rand.New(rand.NewPCG(1, 1)))
}

func voter(address, zone, region string) *pb.Replica {
	return &pb.Replica{Address: address, Zone: zone, Region: region}
}

func TestChooseReturnsTheNearestUsable(t *testing.T) {
	known := newTestEndpoints("seed:1", "near:1")
	known.voters = []*pb.Replica{
		voter("far:1", "zone-c", "region-b"),
		voter("near:1", "zone-a", "region-a"),
		voter("region:1", "zone-b", "region-a"),
	}
	now := time.Minute
	for _, want := range []string{"near:1", "region:1", "far:1", "seed:1"} {
		require.Equal(t, want, known.choose(now, ""))
		known.recordFailure(now, want)
		now += time.Millisecond
	}
	require.Equal(t, "near:1", known.choose(now, ""), "its last failure is the oldest")
	require.Equal(t, "region:1", known.choose(now, "near:1"))
	require.Equal(t, "near:1", known.choose(now+failureCooldown, ""))
}

func TestChooseSpreadsOverEquals(t *testing.T) {
	known := newTestEndpoints("a:1", "b:1", "c:1")
	chosen := make(map[string]int)
	for range 300 {
		chosen[known.choose(0, "")]++
	}
	require.Len(t, chosen, 3)
	for address, count := range chosen {
		require.Greater(t, count, 60, address)
	}
}

func TestChooseWithOneOrNone(t *testing.T) {
	known := newTestEndpoints()
	require.Empty(t, known.choose(0, ""))
	known.seeds = []string{"a:1"}
	require.Equal(t, "a:1", known.choose(0, "a:1"), "no other machine is known")
	known.recordFailure(0, "a:1")
	require.Equal(t, "a:1", known.choose(0, "a:1"))
	require.Empty(t, chooseWithoutEndpoints("gone:1"), "the excluded machine is no longer known")
}

func chooseWithoutEndpoints(except string) string {
	known := newTestEndpoints()
	return known.choose(0, except)
}

func TestNearerMachineReturnsAfterItsCooldown(t *testing.T) {
	known := newTestEndpoints()
	known.voters = []*pb.Replica{voter("far:1", "zone-c", "region-b"), voter("near:1", "zone-a", "region-a")}
	require.Equal(t, "near:1", known.nearer(0, "far:1"))
	require.Empty(t, known.nearer(0, "near:1"))
	known.recordFailure(0, "near:1")
	require.Empty(t, known.nearer(failbackCooldown-1, "far:1"))
	require.Equal(t, "near:1", known.nearer(failbackCooldown, "far:1"))
}

func TestFailuresAreBounded(t *testing.T) {
	known := newTestEndpoints()
	for i := range 10 * maxRecordedFailures {
		known.recordFailure(0, string(rune(i)))
		require.LessOrEqual(t, len(known.failures), maxRecordedFailures)
	}
}
