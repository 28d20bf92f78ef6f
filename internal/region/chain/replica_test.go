package chain

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

var three = []string{"a", "b", "c"}

// newRunningCluster returns three replicas in view 1, with a as the head and c as the tail.
func newRunningCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, three...)
	c.adopt(viewNamed(1, three, three...), three...)
	c.runUntilQuiet(three...)
	require.True(t, c.replicas["a"].AcceptsProposals())
	return c
}

func TestChangeIsCommittedWhenAllHaveIt(t *testing.T) {
	c := newRunningCluster(t)
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	c.requireCommitted("1 x", three...)
	require.True(t, c.replicas["a"].AcceptsProposals())
}

func TestChangeIsNotCommittedWhileOneLacksIt(t *testing.T) {
	for _, missing := range []string{"b", "c"} {
		c := newRunningCluster(t)
		c.partitioned[missing] = true
		c.propose("a", "x")
		c.runUntilQuiet(three...)
		c.requireCommitted("0", "a", "b", "c")
		require.False(t, c.replicas["a"].AcceptsProposals(), "one change at a time")
		c.partitioned[missing] = false
		c.tick(minRetryTicks, three...)
		c.requireCommitted("1 x", three...)
	}
}

func TestNothingLeavesBeforeItIsOnDisk(t *testing.T) {
	c := newRunningCluster(t)
	c.propose("a", "x")
	require.Empty(t, c.messages, "the head has not persisted it")
	c.persist("a")
	require.Len(t, c.messages, 1)
	c.deliver("b", c.messages[0].Message)
	require.Len(t, c.messages, 1, "b has not persisted it")
	require.Equal(t, uint64(0), c.replicas["b"].Advertised().Sequence)
	c.persist("b")
	require.Len(t, c.messages, 2)
	require.Equal(t, uint64(1), c.replicas["b"].Advertised().Sequence)
}

func TestLearnerFollowsTheTail(t *testing.T) {
	four := []string{"a", "b", "c", "d"}
	c := newCluster(t, four...)
	c.adopt(viewNamed(1, four, three...), four...)
	c.runUntilQuiet(four...)
	c.propose("a", "x")
	c.runUntilQuiet(four...)
	c.requireCommitted("1 x", four...)
	c.partitioned["d"] = true
	c.propose("a", "y")
	c.runUntilQuiet(four...)
	c.requireCommitted("1 x", "d")
	c.partitioned["d"] = false
	for range 2 { // heartbeats
		c.collect("d", c.replicas["d"].ObserveHeartbeat(replicaNamed("c"), &pb.Heartbeat{ViewNumber: 1, Sequence: 2}))
	}
	c.runUntilQuiet(four...)
	c.requireCommitted("2 x y", "d")
}

// A standby, which is not a voter, receives changes at the same time as the voters outside of the chain.
func TestStandbyFollowsTheTail(t *testing.T) {
	four := []string{"a", "b", "c", "d"}
	c := newCluster(t, four...)
	c.adopt(viewNamed(1, three, three...), four...)
	c.runUntilQuiet(four...)
	c.tick(maxSyncRetryTicks, four...)
	c.runUntilQuiet(four...)
	for change := range 3 {
		c.propose("a", fmt.Sprintf("x%d", change))
		c.runUntilQuiet(four...)
		require.EqualValues(t, change+1, c.replicas["d"].Committed().Sequence())
		require.True(t, c.replicas["d"].KnowsCommitted())
	}
	require.Len(t, c.replicas["c"].standbys, 1)
	c.adopt(viewNamed(2, four, three...), four...)
	c.runUntilQuiet(four...)
	c.propose("a", "y")
	require.Len(t, c.replicas["c"].learners(), 1, "the new voter receives each change once")
}

func TestNewChainTakesTheStateOfItsHead(t *testing.T) {
	c := newRunningCluster(t)
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	c.partitioned["c"] = true
	c.propose("a", "y") // reaches b but is not committed
	c.runUntilQuiet(three...)
	c.partitioned["a"] = true
	c.partitioned["c"] = false
	c.adopt(viewNamed(2, three, "b", "c"), "b", "c")
	c.runUntilQuiet("b", "c")
	c.requireCommitted("2 x y", "b", "c")
	require.True(t, c.replicas["b"].AcceptsProposals())
}

func TestReplicaDropsWhatItsPredecessorDoesNotHold(t *testing.T) {
	c := newRunningCluster(t)
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	c.partitioned["a"] = true
	c.propose("a", "lost")
	c.runUntilQuiet(three...)
	c.requireNewest("2 lost x", "a")
	c.adopt(viewNamed(2, three, "b", "c"), "b", "c")
	c.runUntilQuiet("b", "c")
	c.propose("b", "y")
	c.runUntilQuiet("b", "c")
	c.partitioned["a"] = false
	c.adopt(viewNamed(2, three, "b", "c"), "a")
	c.runUntilQuiet(three...)
	c.requireCommitted("2 x y", three...)
	c.requireNewest("2 x y", "a")
	require.Equal(t, "2 x y", describe(c.disk("a").Newest))
}

func TestOldHeadIsFencedBySuccessorInLaterView(t *testing.T) {
	c := newRunningCluster(t)
	c.adopt(viewNamed(2, three, "b", "c"), "b")
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	c.requireCommitted("0", "a", "c")
	c.requireNewest("0", "b", "c")
}

// Guards against accepting an append of an earlier view that arrives late, from a machine that has become the
// predecessor again.
func TestAppendOfAnEarlierViewIsRefused(t *testing.T) {
	c := newRunningCluster(t)
	c.holdBack = func(message *pb.Message) bool { return message.GetAppend() != nil }
	c.propose("a", "lost")
	c.runUntilQuiet(three...)
	require.Len(t, c.heldBack, 1)
	old := c.heldBack[0]
	c.holdBack = nil
	c.adopt(viewNamed(2, three, "b", "a", "c"), three...)
	c.runUntilQuiet(three...)
	c.requireNewest("0", three...)
	c.adopt(viewNamed(3, three, "a", "b", "c"), three...)
	c.runUntilQuiet(three...)
	c.deliver("b", old)
	c.runUntilQuiet(three...)
	c.requireNewest("0", three...)
}

// Guards against committing a change by a late acknowledgement of an earlier view, which was for a change with the same
// sequence that has been discarded.
func TestAcknowledgementOfAnEarlierViewIsRefused(t *testing.T) {
	c := newCluster(t, "a", "b")
	two := []string{"a", "b"}
	c.adopt(viewNamed(1, two, two...), two...)
	c.runUntilQuiet(two...)
	old := &pb.Acknowledge{ViewNumber: 1, Sequence: 1}
	c.adopt(viewNamed(2, two, two...), two...)
	c.runUntilQuiet(two...)
	c.partitioned["b"] = true
	c.propose("a", "x")
	c.runUntilQuiet(two...)
	c.collect("a", c.replicas["a"].Acknowledged(replicaNamed("b"), old))
	c.requireCommitted("0", "a")
}

func TestAnswerToAnEarlierSyncRequestIsNotTaken(t *testing.T) {
	c := newRunningCluster(t)
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	c.holdBack = func(message *pb.Message) bool { return message.GetSyncResponse() != nil }
	c.adopt(viewNamed(2, three, "a", "b"), "a", "b", "c")
	c.runUntilQuiet(three...)
	old := c.heldBack
	require.NotEmpty(t, old)
	c.restart("b", 77_000)
	c.holdBack = func(message *pb.Message) bool { return message.GetSyncRequest() != nil }
	c.collect("b", c.replicas["b"].Tick())
	require.NotNil(t, c.replicas["b"].request, "this run has a pending request too")
	c.holdBack = nil
	for _, message := range old {
		c.deliver("b", message)
	}
	require.False(t, c.replicas["b"].FullyCommitted())
	require.Empty(t, c.unpersisted["b"], "the response was to a request of an earlier run")
	c.tick(8, three...)
	require.True(t, c.replicas["b"].FullyCommitted())
	c.deliver("b", old[0])
	require.Empty(t, c.unpersisted["b"])
}

func TestEarlySyncRequestIsAnsweredLater(t *testing.T) {
	c := newRunningCluster(t)
	c.adopt(viewNamed(2, three, three...), "b", "c")
	c.runUntilQuiet("b", "c") // a has not adopted the view
	require.False(t, c.replicas["b"].FullyCommitted())
	c.adopt(viewNamed(2, three, three...), "a")
	c.runUntilQuiet(three...)
	require.True(t, c.replicas["a"].AcceptsProposals(), "no tick was needed")
}

func TestRestartedReplicasKnowWhatIsCommittedAgain(t *testing.T) {
	c := newRunningCluster(t)
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	for index, name := range three {
		c.restart(name, uint64(index+1)*5000)
		require.Nil(t, c.replicas[name].Committed())
	}
	c.tick(2, three...)
	c.requireCommitted("1 x", three...)
	require.True(t, c.replicas["a"].AcceptsProposals())
}

func TestRestartedHeadCommitsAnUncommittedChange(t *testing.T) {
	c := newRunningCluster(t)
	c.partitioned["b"] = true
	c.propose("a", "x")
	c.runUntilQuiet(three...)
	c.restart("a", 5000)
	c.partitioned["b"] = false
	for range 3 {
		c.collect("b", c.replicas["b"].ObserveHeartbeat(replicaNamed("a"), &pb.Heartbeat{ViewNumber: 1, Sequence: 1}))
	}
	c.tick(3, three...)
	c.requireCommitted("1 x", three...)
}

func TestAdvertisedSynchronized(t *testing.T) {
	tests := []struct {
		name string
		run  func(c *cluster)
		want map[string]bool // Advertised.Synchronized
	}{
		{
			name: "all members of a chain that has synchronized are",
			run:  func(*cluster) {},
			want: map[string]bool{"a": true, "b": true, "c": true},
		},
		{
			name: "members that have not restored the state are if nothing can have been committed without them",
			run: func(c *cluster) {
				c.partitioned["a"] = true
				c.adopt(viewNamed(2, three, "a", "b", "c"), "b", "c")
				c.runUntilQuiet("b", "c")
			},
			want: map[string]bool{"b": true, "c": true},
		},
		{
			name: "members that have not restored the state are after two changes of view",
			run: func(c *cluster) {
				c.partitioned["a"] = true
				c.adopt(viewNamed(2, three, "a", "b", "c"), "b", "c")
				c.runUntilQuiet("b", "c")
				c.adopt(viewNamed(3, three, "a", "b", "c"), "b", "c")
				c.runUntilQuiet("b", "c")
			},
			want: map[string]bool{"b": true, "c": true},
		},
		{
			name: "a member that was outside of the chain for a view is not",
			run: func(c *cluster) {
				c.partitioned["c"] = true
				c.adopt(viewNamed(2, three, "a", "b"), three...)
				c.runUntilQuiet(three...)
				c.adopt(viewNamed(3, three, "a", "b", "c"), three...)
				c.runUntilQuiet(three...)
			},
			want: map[string]bool{"a": true, "b": true, "c": false},
		},
		{
			name: "a member that leaves a view whose state it never had is not",
			run: func(c *cluster) {
				c.partitioned["c"] = true
				c.adopt(viewNamed(2, three, "a", "b"), three...)
				c.runUntilQuiet(three...)
				c.adopt(viewNamed(3, three, "a", "b", "c"), three...)
				c.runUntilQuiet(three...)
				c.adopt(viewNamed(4, three, "a", "b", "c"), three...)
				c.runUntilQuiet(three...)
			},
			want: map[string]bool{"a": true, "b": true, "c": false},
		},
		{
			name: "a member that has missed a view is not",
			run: func(c *cluster) {
				c.adopt(viewNamed(2, three, "a", "b", "c"), "a", "b")
				c.runUntilQuiet("a", "b")
				c.partitioned["a"] = true
				c.adopt(viewNamed(3, three, "a", "b", "c"), "b", "c")
				c.runUntilQuiet("b", "c")
			},
			want: map[string]bool{"b": true, "c": false},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newRunningCluster(t)
			test.run(c)
			for name, want := range test.want {
				require.Equal(t, want, c.replicas[name].Advertised().Synchronized, name)
				c.restart(name, 9000)
				require.Equal(t, want, c.replicas[name].Advertised().Synchronized, "%s after a restart", name)
			}
		})
	}
}

func TestStateRefusesWritesThatDoNotFit(t *testing.T) {
	state := EmptyState()
	require.Error(t, state.Apply(Write{Change: &pb.Change{Sequence: 4}}))
	require.Error(t, state.Apply(Write{Repair: &pb.Repair{Ranges: []*pb.Range{{Index: 99}}}}))
	require.NoError(t, state.Apply(Write{SynchronizedView: 3}))
	require.EqualValues(t, 3, state.SynchronizedView)
}
