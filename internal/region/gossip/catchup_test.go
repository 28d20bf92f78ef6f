package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/shuffle"
)

// lagDistances are numbers of changes to catch up with, up to twelve times the length of the history.
var lagDistances = []uint64{1, catalog.HistoryMaxChanges, catalog.HistoryMaxChanges + 1, 1000, 3000}

// pair simulates two members that have only each other as neighbours.
type pair struct {
	machines map[string]*Machine
	compared int                       // number of comparisons
	alter    func(*pb.CompareResponse) // injected fault in the responses; nil: none
}

func newPair(behind, ahead uint64) *pair {
	p := &pair{machines: make(map[string]*Machine)}
	for host, sequence := range map[string]uint64{"behind": behind, "ahead": ahead} {
		other := "ahead"
		if host == "ahead" {
			other = "behind"
		}
		replica := NewReplica()
		replica.ApplyChanges(changes(1, sequence))
		view := fixedView{{Host: other, Address: other}}
		p.machines[host] = New(replica, view, rand.New(rand.NewPCG(ahead, 1)))
	}
	return p
}

// execute executes the comparisons among the actions of a member, and the comparisons that follow from them.
func (p *pair) execute(now time.Duration, host string, actions []Action) {
	for _, action := range actions {
		compare, isCompare := action.(Compare)
		if !isCompare {
			continue
		}
		p.compared++
		from := shuffle.Neighbour{Host: host, Address: host}
		request := CompareRequested{From: from, Digests: compare.Digests, List: compare.List}
		for _, answer := range p.machines[compare.To.Host].Step(now, request) {
			if reply, isReply := answer.(CompareReply); isReply {
				if p.alter != nil {
					p.alter(reply.Response)
				}
				p.execute(now, host, p.machines[host].Step(now, CompareAnswered{Request: compare, Response: reply.Response}))
			}
		}
	}
}

func (p *pair) sequence(host string) uint64 { return p.machines[host].replica.Sequence() }

// runUntilCaughtUp advances the time until the lagging member has reached the target sequence, and returns that time,
// or the limit if it has not.
func (p *pair) runUntilCaughtUp(limit time.Duration, target uint64) time.Duration {
	for now := time.Duration(0); now < limit; now += 200 * time.Millisecond {
		for host, machine := range p.machines {
			p.execute(now, host, machine.Step(now, Tick{}))
		}
		if p.sequence("behind") == target {
			return now
		}
	}
	return limit
}

// Guards against a lagging member that does not catch up with its first comparison: it gets changes if the neighbour's
// history reaches back far enough, else the ranges that differ.
func TestMemberFarBehindCatchesUpWithOneNeighbour(t *testing.T) {
	for _, distance := range lagDistances {
		t.Run(fmt.Sprint(distance), func(t *testing.T) {
			members := newPair(10, 10+distance)
			caughtUp := members.runUntilCaughtUp(2*CompareInterval, 10+distance)
			require.Less(t, caughtUp, 2*CompareInterval)
			require.LessOrEqual(t, members.compared, 4, "two comparisons by versions and those by digests that follow")
			require.EqualValues(t, 10+distance, members.sequence("ahead"), "the member that is ahead must not apply anything older")
			require.Equal(t, stateAt(10+distance).Digests().GetDigests(), members.machines["behind"].replica.Snapshot().Digests().GetDigests())
		})
	}
}

func TestComparisonWithoutStateLeavesAMemberBehind(t *testing.T) {
	members := newPair(10, 1010)
	members.alter = func(response *pb.CompareResponse) { response.Changes, response.Repair = nil, nil }
	require.Equal(t, 2*CompareInterval, members.runUntilCaughtUp(2*CompareInterval, 1010))
}

// Guards against a replica that goes back: a late repair, or one from an earlier incarnation of a neighbour, must be
// ignored.
func TestRepairsOfEarlierIncarnationsAreIgnored(t *testing.T) {
	replica := NewReplica()
	replica.ApplyChanges(changes(1, 900))
	machine := New(replica, fixedView{}, rand.New(rand.NewPCG(1, 1)))
	base := stateAt(10)
	for _, sequence := range []uint64{11, 300, 899, 900} {
		late := Compare{To: shuffle.Neighbour{Host: "edge-1"}, Digests: base.Digests(), Base: base}
		response := &pb.CompareResponse{Sequence: sequence, Repair: stateAt(sequence).RepairFor(base.Digests())}
		require.Empty(t, machine.Step(time.Second, CompareAnswered{Request: late, Response: response}))
		require.Empty(t, machine.Step(time.Second, UpdateReceived{Repair: stateAt(sequence).RepairFor(nil)}))
		require.EqualValues(t, 900, replica.Sequence())
	}
	require.Zero(t, machine.MalformedRepairs())
}
