package chain

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// encodedOrderBytes is the size of one executed order in a repair.
const encodedOrderBytes = 24

// executeOrders has the head execute a number of orders.
func (c *cluster) executeOrders(head string, count int, names ...string) {
	for range count {
		newest := c.replicas[head].Newest()
		base := newest.Generation()
		change, err := catalog.PrepareReplace(newest, base, fmt.Appendf(nil, `{"gen":%d}`, base+1))
		require.NoError(c.t, err)
		require.True(c.t, c.replicas[head].AcceptsProposals())
		output, err := c.replicas[head].Propose(change)
		require.NoError(c.t, err)
		c.collect(head, output)
		c.runUntilQuiet(names...)
	}
}

// recordRepairs records the executed orders of the repairs that the replicas send from then on.
func (c *cluster) recordRepairs() *[]*pb.ExecutedOrders {
	var seen []*pb.ExecutedOrders
	c.holdBack = func(message *pb.Message) bool {
		if repair := message.GetSyncResponse().GetRepair(); repair != nil {
			seen = append(seen, repair.GetExecutedOrders())
		}
		return false
	}
	return &seen
}

func (c *cluster) requireSameState(names ...string) {
	for _, name := range names {
		require.True(c.t, c.replicas[names[0]].Newest().Equal(c.replicas[name].Newest()), name)
		require.True(c.t, c.replicas[names[0]].Newest().Equal(c.disk(name).Newest), "disk of %s", name)
	}
}

// Guards against repairs that send more of the record of executed orders than needed: a member that was partitioned
// receives only the chunks that it lacks.
func TestRepairsBringTheOrdersThatAreLacking(t *testing.T) {
	c := newRunningCluster(t)
	c.executeOrders("a", 1000, three...)
	c.requireSameState(three...)
	c.partitioned["c"] = true
	c.adopt(viewNamed(2, three, "a", "b"), "a", "b")
	c.runUntilQuiet("a", "b")
	c.executeOrders("a", 300, "a", "b")
	c.partitioned["c"] = false
	repairs := c.recordRepairs()
	c.adopt(viewNamed(3, three, "a", "b", "c"), three...)
	c.runUntilQuiet(three...)
	c.tick(8, three...)
	c.requireSameState(three...)
	require.NotEmpty(t, *repairs)
	for _, repair := range *repairs {
		require.LessOrEqual(t, len(repair.GetOrders()), (300+64)*encodedOrderBytes)
	}
}

// A learner receives each executed order with its change. A new learner receives the whole record.
func TestLearnersHoldTheOrders(t *testing.T) {
	c := newRunningCluster(t)
	c.executeOrders("a", 10, three...)
	c.adopt(viewNamed(2, three, "a", "b"), three...)
	c.runUntilQuiet(three...)
	c.tick(8, three...)
	c.executeOrders("a", 10, three...)
	c.requireSameState(three...)
	require.EqualValues(t, 20, c.replicas["c"].Committed().Generation())
	c.disks["c"] = nil
	c.restart("c", 99_000)
	c.adopt(viewNamed(2, three, "a", "b"), "c")
	c.runUntilQuiet(three...)
	c.tick(8, three...)
	c.requireSameState(three...)
}

// A new head holds the executed orders of its predecessor as the head. A change that only the old head had is discarded
// together with its order.
func TestTheNextHeadKnowsTheOrders(t *testing.T) {
	c := newRunningCluster(t)
	c.executeOrders("a", 100, three...)
	c.partitioned["a"] = true
	change, err := catalog.PrepareReplace(c.replicas["a"].Newest(), 100, []byte(`{"gen":101,"only":"a"}`))
	require.NoError(t, err)
	output, err := c.replicas["a"].Propose(change)
	require.NoError(t, err)
	c.collect("a", output)
	c.runUntilQuiet(three...)
	c.adopt(viewNamed(2, three, "b", "c"), "b", "c")
	c.runUntilQuiet("b", "c")
	c.executeOrders("b", 5, "b", "c")
	c.partitioned["a"] = false
	c.adopt(viewNamed(2, three, "b", "c"), "a")
	c.runUntilQuiet(three...)
	c.tick(8, three...)
	c.requireSameState("b", "c", "a")
	var executed *catalog.AlreadyExecutedError
	var conflict *catalog.ConflictError
	_, err = catalog.PrepareReplace(c.replicas["a"].Newest(), 0, []byte(`{"gen":1}`))
	require.ErrorAs(t, err, &executed)
	_, err = catalog.PrepareReplace(c.replicas["a"].Newest(), 100, []byte(`{"gen":101,"only":"a"}`))
	require.ErrorAs(t, err, &conflict)
}

// A member whose record of executed orders differs is repaired even if its items and its sequence are the same.
func TestAMemberThatLacksOnlyTheOrdersGetsThem(t *testing.T) {
	c := newRunningCluster(t)
	c.executeOrders("a", 10, three...)
	for index, write := range c.disks["c"] {
		if write.Change != nil {
			c.disks["c"][index].Change = catalog.ForAgents(write.Change)
		}
	}
	c.restart("c", 99_000)
	require.False(t, c.replicas["c"].Newest().Equal(c.replicas["a"].Newest()))
	c.adopt(viewNamed(2, three, "a", "b", "c"), three...)
	c.runUntilQuiet(three...)
	c.tick(8, three...)
	c.requireSameState(three...)
}
