package register

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	ok          = pb.CoordinationResult_OUTCOME_OK
	mismatch    = pb.CoordinationResult_OUTCOME_REVISION_MISMATCH
	busy        = pb.CoordinationResult_OUTCOME_BUSY
	unavailable = pb.CoordinationResult_OUTCOME_UNAVAILABLE
	unknown     = pb.CoordinationResult_OUTCOME_UNKNOWN
)

func newActiveCluster(identities ...string) *cluster {
	c := newCluster(identities...)
	c.enter(firstEpoch(identities...), identities...)
	return c
}

func TestNumbersRiseAcrossProposers(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	for id, proposer := range []string{"a", "b", "c", "a", "a"} {
		c.members[proposer].submit(numberCall(uint64(id)))
		c.deliver("a", "b", "c")
		require.Equal(t, uint64(id)+1, c.members[proposer].result(t, uint64(id)).GetNumber())
	}
}

func TestCallsInOneRoundSeeEachOther(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1), numberCall(2), readCall(3))
	c.deliver("a", "b", "c")
	assert.Equal(t, uint64(1), c.members["a"].result(t, 1).GetNumber())
	assert.Equal(t, uint64(2), c.members["a"].result(t, 2).GetNumber())
	assert.Equal(t, uint64(2), c.members["a"].result(t, 3).GetNumber())
}

func TestNothingIsAnsweredWithoutAMajority(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a")
	assert.Empty(t, c.members["a"].results)
	c.advanceClock(phaseTimeout)
	c.tick("a")
	assert.Equal(t, unavailable, c.members["a"].result(t, 1).GetOutcome())
}

func TestValueThatMayBeChosenIsTakenOver(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b")
	c.members["c"].submit(numberCall(2))
	c.deliver("a", "c")
	assert.Equal(t, uint64(2), c.members["c"].result(t, 2).GetNumber())
}

func TestSupersededProposerReadsTheNewerValue(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	c.members["b"].submit(numberCall(2))
	c.deliver("b", "c")
	c.members["a"].submit(readCall(3))
	c.deliver("a", "b", "c")
	assert.Equal(t, uint64(2), c.members["a"].result(t, 3).GetNumber())
}

func TestProposerThatIsSupersededTwiceInAShortTimeGivesItsCallsBack(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	for id := uint64(2); id <= 3; id++ {
		c.members["b"].submit(numberCall(10 + id))
		c.deliver("b", "c")
		c.members["a"].submit(numberCall(id))
		c.deliver("a", "b", "c")
	}
	assert.Equal(t, ok, c.members["a"].result(t, 2).GetOutcome())
	assert.Equal(t, unknown, c.members["a"].result(t, 3).GetOutcome())
}

func TestRejectionOnAnUnwrittenRegisterStandsAgainstEarlierProposals(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	first := c.members["a"]
	first.submit(numberCall(1), conditionalCall(2, 1))
	prepare := c.wire[0].message
	c.wire = nil
	c.members["b"].receive(first.self, prepare)
	promise := c.wire[0].message
	c.wire = nil
	first.receive(c.members["b"].self, promise) // a also accepts its own batch, which no other machine receives
	require.Equal(t, uint64(101), first.replica.localState("x").value.GetCounter().GetValue())
	c.wire = nil

	c.members["b"].submit(conditionalCall(3, 1))
	c.deliver("b", "c")
	require.Equal(t, mismatch, c.members["b"].result(t, 3).GetOutcome())
	c.members["c"].submit(readCall(4))
	c.deliver("a", "c")
	assert.Zero(t, c.members["c"].result(t, 4).GetNumber())
}

func TestPromiseSurvivesARestart(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	c.members["c"].submit(numberCall(2))
	c.deliver("a", "b", "c")
	restarted := c.members["b"].restart(firstEpoch("a", "b", "c"))
	stale := &pb.RegisterPosition{Epoch: 1, Round: 1, Proposer: "a/1", Sequence: 9}
	restarted.receive(replicasOf("a")[0], &pb.Message{Body: &pb.Message_RegisterAccept{RegisterAccept: &pb.RegisterAccept{
		Name: "x", Position: stale, Change: wholeChange(&pb.RegisterValue{}),
	}}})
	answer := c.wire[len(c.wire)-1].message.GetRegisterAccepted()
	assert.Equal(t, pb.RegisterAccepted_OUTCOME_SUPERSEDED, answer.GetOutcome())
	assert.Equal(t, uint64(2), restarted.replica.localState("x").value.GetCounter().GetValue())
}

func TestRecordsRestoreAnEqualReplica(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	for id := range uint64(5) {
		c.members["a"].submit(eventCall(id, string(rune('u'+id))))
		c.deliver("a", "b", "c")
	}
	before := c.members["b"].replica
	for name, records := range map[string][]*pb.RegisterRecord{"log": c.members["b"].records, "snapshot": before.Records()} {
		restored := NewReplica(testConfig("b"), c.members["b"])
		for _, record := range records {
			restored.Restore(record)
		}
		restored.FinishRestore(c.now)
		assert.Equal(t, before.ActiveEpoch(), restored.ActiveEpoch(), name)
		require.Len(t, restored.Records(), len(before.Records()), name)
		for index, record := range restored.Records() {
			assert.Equal(t, before.Records()[index].String(), record.String(), name)
		}
	}
}

func TestAnswerLeavesOnlyWhenItIsDurable(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["b"].slowDisk = true
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b")
	require.Empty(t, c.members["a"].results)
	c.members["b"].sync() // the promise
	c.deliver("a", "b")
	require.Empty(t, c.members["a"].results)
	c.members["b"].sync() // the value
	c.deliver("a", "b")
	assert.Equal(t, ok, c.members["a"].result(t, 1).GetOutcome())
}

func TestFullDiskPromisesNothing(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["b"].fullDisk = true
	c.members["c"].fullDisk = true
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	require.Empty(t, c.members["a"].results)
	c.members["c"].fullDisk = false
	c.advanceClock(resendInterval)
	c.tick("a")
	c.deliver("a", "b", "c")
	assert.Equal(t, ok, c.members["a"].result(t, 1).GetOutcome())
}

func TestVoterThatMissedAChangeIsSentTheWholeValue(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	for id := range uint64(4) {
		c.members["a"].submit(eventCall(id, string(rune('u'+id))))
		if id == 1 {
			c.deliver("a", "b")
		} else {
			c.deliver("a", "b", "c")
		}
	}
	assert.Equal(t, uint64(4), c.members["c"].replica.localState("x").value.GetGroup().GetRevision())
	assert.Len(t, c.members["c"].replica.localState("x").value.GetGroup().GetEvents(), 4)
}

func TestOldEventsAreDroppedWithoutFurtherWrites(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(eventCall(1, "u"))
	c.deliver("a", "b", "c")
	c.advanceClock(testRetention + time.Second)
	for id := uint64(2); id <= 3; id++ {
		c.members["a"].submit(readCall(id))
		c.deliver("a", "b", "c")
	}
	assert.Empty(t, c.members["a"].result(t, 3).GetEvents())
}

func TestEventThatReplacesAnUnchosenOneIsKeptAsLongAsAnyOther(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	for id, among := range [][]string{{"a", "b", "c"}, {"a"}} {
		c.members["a"].submit(eventCall(uint64(id), []string{"chosen", "unchosen"}[id]))
		c.deliver(among...)
	}
	c.advanceClock(testRetention + time.Second)
	c.members["b"].submit(eventCall(5, "other"))
	c.deliver("b", "c")
	c.members["b"].submit(readCall(6))
	c.deliver("a", "b", "c")
	c.members["b"].submit(eventCall(7, "next"))
	c.deliver("a", "b", "c")
	events := c.members["a"].replica.localState("x").value.GetGroup().GetEvents()
	require.Len(t, events, 2)
	assert.Equal(t, "other", events[0].GetValue())
}

func TestQueueIsBounded(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	for id := range uint64(maxQueuedCalls + 1) {
		c.members["a"].submit(numberCall(id))
	}
	assert.Equal(t, busy, c.members["a"].result(t, maxQueuedCalls).GetOutcome())
	c.deliver("a", "b", "c")
	assert.Equal(t, uint64(maxQueuedCalls), c.members["a"].result(t, maxQueuedCalls-1).GetNumber())
}

func TestWatchersAreBounded(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	for id := range uint64(maxWatchers + 1) {
		c.members["a"].submit(watchCall(id))
		c.deliver("a", "b", "c")
	}
	assert.Equal(t, busy, c.members["a"].result(t, maxWatchers).GetOutcome())
	assert.Len(t, c.members["a"].results, 1)
	c.advanceClock(time.Second)
	c.tick("a")
	assert.Len(t, c.members["a"].results, maxWatchers+1)
}

func TestCallThatComesAgainIsExecutedOnceWhileItIsUnderWay(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1), numberCall(1))
	c.deliver("a", "b", "c")
	require.Len(t, c.members["a"].results, 1)
	c.members["a"].submit(numberCall(2))
	c.members["a"].submit(numberCall(2))
	c.deliver("a", "b", "c")
	assert.Len(t, c.members["a"].results, 2)
	assert.Equal(t, uint64(2), c.members["a"].result(t, 2).GetNumber())
}

func TestCallWhoseCallerHasGivenUpIsNotExecuted(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a")
	c.advanceClock(callLifetime + time.Millisecond)
	c.tick("a")
	c.deliver("a", "b", "c")
	assert.Equal(t, unavailable, c.members["a"].result(t, 1).GetOutcome())
	assert.Nil(t, c.members["a"].replica.localState("x").value)
}

func TestStoppedProposerAnswersAllCalls(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	a := c.members["a"]
	a.submit(numberCall(0))
	c.deliver("a", "b", "c")
	a.submit(watchCall(1))
	c.deliver("a", "b", "c")
	a.submit(numberCall(2))
	a.submit(numberCall(3))
	a.proposers.Stop()
	assert.Equal(t, unavailable, a.result(t, 1).GetOutcome())
	assert.Equal(t, unknown, a.result(t, 2).GetOutcome())
	assert.Equal(t, unavailable, a.result(t, 3).GetOutcome())
	assert.Zero(t, a.proposers.Len())
}

func TestProposerWithoutCallsIsForgotten(t *testing.T) {
	c := newActiveCluster("a", "b", "c")
	c.members["a"].submit(numberCall(1))
	c.deliver("a", "b", "c")
	c.advanceClock(idleTimeout)
	c.tick("a")
	assert.Equal(t, 1, c.members["a"].proposers.Len())
	c.advanceClock(time.Second)
	c.tick("a")
	assert.Zero(t, c.members["a"].proposers.Len())
}

func TestMachineThatDoesNotVoteProposesNothing(t *testing.T) {
	c := newCluster("a", "b", "c", "d")
	c.enter(firstEpoch("a", "b", "c"), "a", "b", "c", "d")
	c.members["d"].submit(numberCall(1))
	assert.Equal(t, unavailable, c.members["d"].result(t, 1).GetOutcome())
}
