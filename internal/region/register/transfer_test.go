package register

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func secondEpoch(before []string, voters ...string) Membership {
	return Membership{Epoch: 2, Voters: replicasOf(voters...), PreviousEpoch: 1, PreviousVoters: replicasOf(before...)}
}

func TestNewVoterHoldsWhatWasChosenBefore(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b")
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b", "c", "d")
	c.deliver("b", "c", "d")
	for _, identity := range []string{"b", "c", "d"} {
		require.True(t, c.members[identity].replica.IsActive(), identity)
	}
	c.members["d"].submit(numberCall(2))
	c.deliver("c", "d")
	assert.Equal(t, uint64(2), c.members["d"].result(t, 2).GetNumber())
}

func TestNoVoterTakesPartWithoutAMajorityOfThePreviousOnes(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b", "c")
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "c", "d")
	c.deliver("c", "d")
	assert.False(t, c.members["d"].replica.IsActive())
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b")
	c.advanceClock(maxTransferInterval)
	c.tick("d")
	c.deliver("b", "c", "d")
	assert.True(t, c.members["d"].replica.IsActive())
}

func TestNoVoterTakesPartWhileNoneHoldsThePreviousRegisters(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b", "c", "d")
	c.deliver("b", "c", "d")
	assert.False(t, c.members["d"].replica.IsActive())
}

func TestVoterThatNeverTookPartCountsForTheMajority(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b")
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b", "c", "d")
	c.deliver("b", "c", "d")
	require.True(t, c.members["d"].replica.IsActive())
	assert.Equal(t, uint64(1), c.members["d"].replica.localState("x").value.GetCounter().GetValue())
}

func TestVoterAcceptsNothingInAnEarlierEpoch(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b", "c", "d")
	c.deliver("a", "b", "c", "d")
	assert.Empty(t, c.members["a"].results)
	assert.Nil(t, c.members["b"].replica.localState("x").value)
}

func TestVoterOfAnOlderEpochGivesUpWhatItHolds(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c", "d"), "a", "b", "c", "d")
	c.members["d"].submit(numberCall(1))
	c.deliver("d") // only d is reachable, so no voter accepts
	c.members["d"].replica.register("x").accepted = &pb.RegisterPosition{Epoch: 1, Round: 99, Proposer: "d/1", Sequence: 1}
	c.members["a"].submit(numberCall(2))
	c.deliver("a", "b", "c")
	third := Membership{Epoch: 3, Voters: replicasOf("a", "b", "d"), PreviousEpoch: 2, PreviousVoters: replicasOf("a", "b", "c")}
	c.enter(secondEpoch([]string{"a", "b", "c", "d"}, "a", "b", "c"), "a", "b", "c")
	c.deliver("a", "b", "c")
	c.enter(third, "a", "b", "c", "d")
	c.deliver("a", "b", "c", "d")
	require.True(t, c.members["d"].replica.IsActive())
	assert.Equal(t, uint64(1), c.members["d"].replica.localState("x").value.GetCounter().GetValue())
}

func TestMachineWithRegistersDoesNotBeginEmpty(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	c.enter(Membership{Epoch: 7, Voters: replicasOf("a", "b", "c")}, "a")
	assert.False(t, c.members["a"].replica.IsActive())
	assert.NotNil(t, c.members["a"].replica.localState("x").value)
}

// The answer to a transfer request omits the registers that the request lists. The request must therefore not list a
// register that a restart may lose.
func TestTransferIsRequestedOnceWhatItListsIsDurable(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	c.members["b"].slowDisk = true
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b")
	assert.Empty(t, c.wire)
	c.members["b"].sync()
	assert.NotEmpty(t, c.wire)
}

func TestEpochIsTheSameWhileTheVotersAre(t *testing.T) {
	first := &pb.View{Number: 1, Voters: replicasOf("a", "b", "c")}
	AssignEpoch(first, nil)
	assert.Equal(t, Membership{Epoch: 1, Voters: first.GetVoters()}, MembershipOf(first))
	second := &pb.View{Number: 2, Voters: replicasOf("c", "b", "a")}
	AssignEpoch(second, first)
	assert.Equal(t, uint64(1), MembershipOf(second).Epoch)
	third := &pb.View{Number: 3, Voters: replicasOf("a", "b", "d")}
	AssignEpoch(third, second)
	assert.Equal(t, uint64(3), MembershipOf(third).Epoch)
	assert.Equal(t, uint64(1), MembershipOf(third).PreviousEpoch)
	assert.Equal(t, second.GetVoters(), MembershipOf(third).PreviousVoters)
	fourth := &pb.View{Number: 4, Voters: third.GetVoters()}
	AssignEpoch(fourth, third)
	assert.Equal(t, MembershipOf(third), MembershipOf(fourth))
	assert.Equal(t, Membership{}, MembershipOf(&pb.View{Number: 9, Voters: first.GetVoters()}))
}

func TestFullDiskQueuesNoTransfers(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b", "c")
	c.members["b"].fullDisk = true
	c.members["b"].slowDisk = true
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b", "c", "d")
	c.deliver("b", "c", "d")
	assert.Empty(t, c.members["b"].unsent)
}

// An earlier version requests without a limit, and answers with all registers and without the new fields.
func TestTransfersWithAnEarlierVersion(t *testing.T) {
	const groups, stateBytes = 8, 1 << 20
	c := newCluster("b", "c", "d")
	c.fill(1, groups, stateBytes, "b", "c")
	c.enter(firstEpoch("a", "b", "c"), "b", "c")
	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "b", "c")
	c.wire = nil
	request := &pb.RegisterTransferRequest{Epoch: 2}
	c.members["b"].replica.TransferRequested(replicasOf("d")[0], request)
	answer := c.wire[len(c.wire)-1].message.GetRegisterTransfer()
	require.Len(t, answer.GetRegisters(), groups)
	require.False(t, answer.GetPartial())

	c.enter(secondEpoch([]string{"a", "b", "c"}, "b", "c", "d"), "d")
	for _, identity := range []string{"b", "c"} {
		earlier := &pb.RegisterTransfer{Epoch: 2, ActiveEpoch: 1, Registers: answer.GetRegisters()}
		require.False(t, c.members["d"].replica.IsActive())
		c.members["d"].replica.TransferReceived(c.now, replicasOf(identity)[0], earlier)
	}
	require.True(t, c.members["d"].replica.IsActive())
	require.Equal(t, groups, c.members["d"].replica.Len())
}

// A restart loses what was collected. An answer to a request that the earlier run sent must not count then: it omits
// the registers that the earlier run had collected.
func TestAnswerToAnEarlierRunDoesNotCount(t *testing.T) {
	const groups, stateBytes = 8, 1 << 20
	second := secondEpoch([]string{"a", "b", "c"}, "b", "c", "d")
	c := newCluster("b", "c", "d")
	c.fill(1, groups, stateBytes, "b", "c")
	c.enter(firstEpoch("a", "b", "c"), "b", "c")
	c.enter(second, "b", "c", "d")
	var late []sentMessage // later answers to the first run, without the registers that it had by then
	for len(c.wire) > 0 {
		next := c.wire[0]
		c.wire = c.wire[1:]
		answer := next.message.GetRegisterTransfer()
		if next.to == "d" && answer.GetToken() != 0 && len(answer.GetRegisters()) == 0 {
			late = append(late, next)
		}
		isOfD := next.to == "d" || next.from == "d" // the others do not activate the epoch
		if to := c.members[next.to]; to != nil && isOfD {
			to.receive(&pb.Replica{Identity: next.from}, next.message)
		}
	}
	require.True(t, c.members["d"].replica.IsActive())
	require.NotEmpty(t, late)
	c.members["d"].records = nil // the write of the registers was lost, too
	restarted := c.members["d"].restart(second)
	for _, answer := range late {
		restarted.receive(&pb.Replica{Identity: answer.from}, answer.message)
	}
	// The third previous voter never took part, so that it would complete a majority.
	restarted.replica.TransferReceived(c.now, replicasOf("a")[0], &pb.RegisterTransfer{Epoch: 2})
	require.False(t, restarted.replica.IsActive())
	c.deliver("b", "c", "d")
	require.True(t, restarted.replica.IsActive())
	require.Equal(t, groups, restarted.replica.Len())
}

// A voter that activates the epoch while it is read is read once more, since its registers are complete by themselves
// only from then on.
func TestVoterThatActivatesWhileItIsReadIsReadAgain(t *testing.T) {
	source := &transferSource{voter: replicasOf("b")[0]}
	source.received(&pb.RegisterTransfer{ActiveEpoch: 1, Partial: true, Through: "g3"}, 2)
	require.Equal(t, "g3", source.after)
	source.received(&pb.RegisterTransfer{ActiveEpoch: 2, After: "g3"}, 2)
	require.Empty(t, source.after)
	require.False(t, source.complete)
	source.received(&pb.RegisterTransfer{ActiveEpoch: 2}, 2)
	require.True(t, source.complete)
}
