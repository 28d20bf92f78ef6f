package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/shuffle"
)

// farDistances reach from what history keeps to twelve times that.
var farDistances = []uint64{1, catalog.HistoryMaxChanges, catalog.HistoryMaxChanges + 1, 1000, 3000}

// meeting are two members that know only each other.
type pair struct {
	machines map[string]*Machine
	compared int                       // comparisons made
	alter    func(*pb.CompareResponse) // a planted fault
}

func newPair(behind, ahead uint64) *pair {
	made := &pair{machines: make(map[string]*Machine)}
	for host, sequence := range map[string]uint64{"behind": behind, "ahead": ahead} {
		other := "ahead"
		if host == "ahead" {
			other = "behind"
		}
		replica := NewReplica()
		replica.ApplyChanges(changes(1, sequence))
		view := fixedView{{Host: other, Address: other}}
		made.machines[host] = New(replica, view, rand.New(rand.NewPCG(ahead, 1)))
	}
	return made
}

// carry carries out the comparisons that a member wants, and those that follow from them.
func (m *pair) execute(now time.Duration, host string, actions []Action) {
	for _, action := range actions {
		compare, wanted := action.(Compare)
		if !wanted {
			continue
		}
		m.compared++
		from := shuffle.Neighbour{Host: host, Address: host}
		asked := CompareRequested{From: from, Digests: compare.Digests, List: compare.List}
		for _, answer := range m.machines[compare.To.Host].Step(now, asked) {
			if reply, isReply := answer.(CompareReply); isReply {
				if m.alter != nil {
					m.alter(reply.Response)
				}
				m.execute(now, host, m.machines[host].Step(now, Compared{Request: compare, Response: reply.Response}))
			}
		}
	}
}

func (m *pair) sequence(host string) uint64 { return m.machines[host].replica.Sequence() }

// let lets time pass until the member that is behind has caught up, and returns when that was.
func (m *pair) runUntilCaughtUp(limit time.Duration, target uint64) time.Duration {
	for now := time.Duration(0); now < limit; now += 200 * time.Millisecond {
		for host, machine := range m.machines {
			m.execute(now, host, machine.Step(now, Tick{}))
		}
		if m.sequence("behind") == target {
			return now
		}
	}
	return limit
}

// A member that is any number of changes behind has caught up after the first comparison with one that is not: at
// once while history reaches, else with the ranges that differ.
func TestMemberFarBehindCatchesUpWithOneNeighbour(t *testing.T) {
	for _, distance := range farDistances {
		t.Run(fmt.Sprint(distance), func(t *testing.T) {
			met := newPair(10, 10+distance)
			caught := met.runUntilCaughtUp(2*CompareInterval, 10+distance)
			require.Less(t, caught, 2*CompareInterval)
			require.LessOrEqual(t, met.compared, 4, "two for versions, one of them with digests behind it")
			require.EqualValues(t, 10+distance, met.sequence("ahead"), "it takes nothing older")
			require.Equal(t, stateAt(10+distance).Digests().GetDigests(), met.machines["behind"].replica.Snapshot().Digests().GetDigests())
		})
	}
}

func TestComparisonWithoutStateLeavesAMemberBehind(t *testing.T) {
	met := newPair(10, 1010)
	met.alter = func(response *pb.CompareResponse) { response.Changes, response.Repair = nil, nil }
	require.Equal(t, 2*CompareInterval, met.runUntilCaughtUp(2*CompareInterval, 1010))
}

// A repair that comes late, or from an earlier life of a neighbour, changes nothing.
func TestRepairsOfEarlierLivesAreLeft(t *testing.T) {
	replica := NewReplica()
	replica.ApplyChanges(changes(1, 900))
	machine := New(replica, fixedView{}, rand.New(rand.NewPCG(1, 1)))
	base := stateAt(10)
	for _, sequence := range []uint64{11, 300, 899, 900} {
		late := Compare{To: shuffle.Neighbour{Host: "edge-1"}, Digests: base.Digests(), Base: base}
		response := &pb.CompareResponse{Sequence: sequence, Repair: stateAt(sequence).RepairFor(base.Digests())}
		require.Empty(t, machine.Step(time.Second, Compared{Request: late, Response: response}))
		require.Empty(t, machine.Step(time.Second, UpdateReceived{Repair: stateAt(sequence).RepairFor(nil)}))
		require.EqualValues(t, 900, replica.Sequence())
	}
	require.Zero(t, machine.Malformed())
}
