package coordination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// Short names for the outcomes in this package's tests.
const (
	outcomeOK        = pb.CoordinationResult_OUTCOME_OK
	outcomeHeld      = pb.CoordinationResult_OUTCOME_HELD_BY_OTHER
	outcomeMismatch  = pb.CoordinationResult_OUTCOME_REVISION_MISMATCH
	outcomeNotFound  = pb.CoordinationResult_OUTCOME_NOT_FOUND
	outcomeCompacted = pb.CoordinationResult_OUTCOME_COMPACTED
	outcomeBusy      = pb.CoordinationResult_OUTCOME_BUSY
)

// testRegister executes calls on the value of one register.
type testRegister struct {
	value      *pb.RegisterValue
	lastID     uint64
	executions int
}

// execute executes a new call while the holder's lease has the given remaining time.
func (o *testRegister) execute(left time.Duration, call *pb.CoordinationCall) register.Outcome {
	o.lastID++
	call.Id = o.lastID
	call.Origin = "m/1"
	return o.executeAgain(left, call)
}

// executeAgain executes a call that may have been executed before.
func (o *testRegister) executeAgain(left time.Duration, call *pb.CoordinationCall) register.Outcome {
	o.executions++
	outcome := Execute(o.value, call, o.conditions(left))
	o.value = register.ApplyChange(o.value, outcome.Change)
	return outcome
}

func acquireCall(holder string, hold time.Duration) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Acquire{Acquire: &pb.AcquireLock{Name: "l", Holder: holder, HoldMs: uint32(hold.Milliseconds())}}}
}

func renewCall(holder string, fence uint64, hold time.Duration) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Renew{Renew: &pb.RenewLock{
		Name: "l", Holder: holder, Fence: fence, HoldMs: uint32(hold.Milliseconds()),
	}}}
}

func releaseCall(holder string, fence uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Release{Release: &pb.ReleaseLock{Name: "l", Holder: holder, Fence: fence}}}
}

func requireOutcome(t *testing.T, want pb.CoordinationResult_Outcome, outcome register.Outcome) {
	t.Helper()
	require.Equal(t, want.String(), outcome.Result.GetOutcome().String())
}

const hold = 3 * time.Second

func TestLockIsGivenToOneHolderAtATime(t *testing.T) {
	lock := &testRegister{}
	first := lock.execute(0, acquireCall("a", hold))
	requireOutcome(t, outcomeOK, first)
	assert.Equal(t, uint64(1), first.Result.GetFence())
	assert.Equal(t, hold, first.LeaseDuration)
	requireOutcome(t, outcomeHeld, lock.execute(time.Millisecond, acquireCall("b", hold)))
	second := lock.execute(0, acquireCall("b", hold))
	requireOutcome(t, outcomeOK, second)
	assert.Equal(t, uint64(2), second.Result.GetFence())
}

func TestAcquisitionThatIsExecutedAgainHasTheSameFence(t *testing.T) {
	lock := &testRegister{}
	call := acquireCall("a", hold)
	lock.execute(0, call)
	again := lock.executeAgain(time.Second, call)
	assert.Equal(t, uint64(1), again.Result.GetFence())
	assert.Nil(t, again.Change)
}

func TestHolderThatAcquiresAgainGetsAHigherFence(t *testing.T) {
	lock := &testRegister{}
	lock.execute(0, acquireCall("a", hold))
	again := lock.execute(time.Second, acquireCall("a", hold))
	requireOutcome(t, outcomeOK, again)
	assert.Equal(t, uint64(2), again.Result.GetFence())
	requireOutcome(t, outcomeOK, lock.execute(time.Second, releaseCall("a", 1)))
	requireOutcome(t, outcomeHeld, lock.execute(time.Second, acquireCall("b", hold)))
}

func TestGrantThatIsShorterDoesNotShortenTheTimeOfTheHolder(t *testing.T) {
	for name, shorter := range map[string]*pb.CoordinationCall{
		"acquire": acquireCall("a", time.Second),
		"renew":   renewCall("a", 1, time.Second),
	} {
		lock := &testRegister{}
		lock.execute(0, acquireCall("a", hold))
		outcome := lock.execute(2*time.Second, shorter)
		assert.Equal(t, 2*time.Second, outcome.LeaseDuration, name)
		assert.GreaterOrEqual(t, lock.value.GetLock().GetHoldMs(), uint32(2000), name)
	}
}

// A renewal that is executed again must be a separate grant. For a replica that accepted the first execution, the
// lease begins at that time, but the lease granted by the second execution begins at the second.
func TestRenewalThatIsExecutedAgainIsAnotherGrant(t *testing.T) {
	lock := &testRegister{}
	lock.execute(0, acquireCall("a", hold))
	call := renewCall("a", 1, time.Second)
	lock.execute(2*time.Second, call)
	first := lock.value.GetLock().GetGrantedBy()
	lock.executeAgain(1500*time.Millisecond, call)
	assert.NotEqual(t, first, lock.value.GetLock().GetGrantedBy())
}

func TestRenewalNeedsAFenceOfTheHolder(t *testing.T) {
	lock := &testRegister{}
	lock.execute(0, acquireCall("a", hold))
	lock.execute(0, acquireCall("b", hold))           // fence 2
	lock.execute(time.Second, acquireCall("b", hold)) // fence 3
	requireOutcome(t, outcomeOK, lock.execute(1, renewCall("b", 3, hold)))
	requireOutcome(t, outcomeOK, lock.execute(1, renewCall("b", 2, hold)))
	requireOutcome(t, outcomeHeld, lock.execute(1, renewCall("b", 1, hold)))
	requireOutcome(t, outcomeHeld, lock.execute(1, renewCall("b", 4, hold)))
	requireOutcome(t, outcomeHeld, lock.execute(1, renewCall("a", 1, hold)))
	requireOutcome(t, outcomeHeld, lock.execute(0, renewCall("b", 3, hold)))
}

func TestRenewalOfALockThatNobodyHoldsFails(t *testing.T) {
	lock := &testRegister{}
	requireOutcome(t, outcomeHeld, lock.execute(hold, renewCall("a", 0, hold)))
	requireOutcome(t, outcomeHeld, lock.execute(hold, renewCall("", 0, hold)))
}

func TestReleaseEndsTheHoldOfItsFenceAlone(t *testing.T) {
	lock := &testRegister{}
	lock.execute(0, acquireCall("a", hold))
	for _, call := range []*pb.CoordinationCall{releaseCall("b", 1), releaseCall("a", 0), releaseCall("a", 2)} {
		outcome := lock.execute(time.Second, call)
		requireOutcome(t, outcomeOK, outcome)
		assert.Nil(t, outcome.Change)
	}
	requireOutcome(t, outcomeOK, lock.execute(time.Second, releaseCall("a", 1)))
	next := lock.execute(time.Second, acquireCall("b", hold))
	requireOutcome(t, outcomeOK, next)
	assert.Equal(t, uint64(2), next.Result.GetFence())
}

func TestHolderAfterItsTimeBeginsAnew(t *testing.T) {
	lock := &testRegister{}
	lock.execute(0, acquireCall("a", hold))
	lock.execute(0, acquireCall("a", hold))
	requireOutcome(t, outcomeHeld, lock.execute(time.Second, renewCall("a", 1, hold)))
	requireOutcome(t, outcomeOK, lock.execute(time.Second, renewCall("a", 2, hold)))
}

// The caller of an acquisition that is executed again has released the lock already. A second grant would have no one
// to release it.
func TestAcquisitionExecutedAgainAfterItsReleaseHoldsNothing(t *testing.T) {
	lock := &testRegister{}
	call := acquireCall("a", hold)
	lock.execute(0, call)
	requireOutcome(t, outcomeOK, lock.execute(hold, releaseCall("a", 1)))
	assert.Nil(t, lock.executeAgain(hold, call).Change)
	next := lock.execute(hold, acquireCall("b", hold))
	requireOutcome(t, outcomeOK, next)
	assert.Equal(t, uint64(2), next.Result.GetFence())
}
