package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func nextNumberCall() *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{Name: "n"}}}
}

// submitCall passes a call to the machine.
func (l *singleMachine) submitCall(call *pb.CoordinationCall) {
	l.lastRequest++
	l.step(CallSubmitted{Request: l.lastRequest, Call: call})
}

// number returns the next number of the name n. The call must be answered at once.
func (l *singleMachine) number() uint64 {
	l.t.Helper()
	l.callReplies = nil
	l.submitCall(nextNumberCall())
	require.Len(l.t, l.callReplies, 1)
	require.Equal(l.t, pb.CoordinationResult_OUTCOME_OK, l.callReplies[0].GetOutcome())
	return l.callReplies[0].GetNumber()
}

// releaseOne persists the oldest held write.
func (l *singleMachine) releaseOne() {
	write := l.heldWrites[0]
	l.heldWrites = l.heldWrites[1:]
	if write.Snapshot != nil {
		l.snapshot = write.Snapshot
		l.records = nil
	} else {
		l.records = append(l.records, write.Records...)
	}
	l.step(Persisted{Token: write.Token})
}

func TestNoCallIsAnsweredBeforeItIsOnDisk(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	l.submitCall(nextNumberCall())
	for len(l.callReplies) == 0 {
		require.NotEmpty(t, l.heldWrites, "the call has neither an answer nor a pending write")
		l.releaseOne()
	}
	require.EqualValues(t, 1, l.callReplies[0].GetNumber())
	l.heldWrites = nil
	l.holdWrites = false
	l.restart()
	require.EqualValues(t, 2, l.number())
}

func TestNumbersOfBeforeARestartAreNotGivenAgain(t *testing.T) {
	l := newSingleMachine(t)
	last := uint64(0)
	for range 3 { // more records than are written between two snapshots
		for range 4 {
			next := l.number()
			require.Greater(t, next, last)
			last = next
		}
		l.restart()
	}
	require.Greater(t, l.number(), last)
}

func TestCallsGetNoClearAnswerWhileTheDiskHangs(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	l.submitCall(nextNumberCall())
	l.tick(7)
	require.Len(t, l.callReplies, 1)
	require.Equal(t, pb.CoordinationResult_OUTCOME_UNKNOWN, l.callReplies[0].GetOutcome())
}

func TestCallsAreRejectedRightAfterAStall(t *testing.T) {
	l := newSingleMachine(t)
	l.now += time.Second
	l.submitCall(nextNumberCall())
	require.Len(t, l.callReplies, 1)
	require.Equal(t, pb.CoordinationResult_OUTCOME_UNAVAILABLE, l.callReplies[0].GetOutcome())
	l.tick(5)
	require.EqualValues(t, 1, l.number())
}

// advertisedEpoch is the epoch of registers that a heartbeat sent now would carry.
func advertisedEpoch(machine *Machine) uint64 {
	return machine.heartbeat.message().GetHeartbeat().GetRegisterEpoch()
}

func TestEpochIsNotAdvertisedBeforeItsRegistersAreOnDisk(t *testing.T) {
	l := &singleMachine{t: t, holdWrites: true}
	l.restart()
	holdsEpoch := func() bool { return l.machine.coordination.engine.ActiveEpoch() > 0 }
	for !holdsEpoch() {
		require.NotEmpty(t, l.heldWrites, "no epoch is active, and no write is pending")
		require.Zero(t, advertisedEpoch(l.machine))
		l.releaseOne()
		l.tick(1)
	}
	require.Zero(t, advertisedEpoch(l.machine))
	for advertisedEpoch(l.machine) == 0 {
		require.NotEmpty(t, l.heldWrites)
		l.releaseOne()
	}
	require.Equal(t, l.machine.View().GetVotersEpoch(), advertisedEpoch(l.machine))
	recovered, err := recoverState(l.recovered())
	require.NoError(t, err)
	require.Equal(t, advertisedEpoch(l.machine), recovered.registers[len(recovered.registers)-1].GetActiveEpoch())
}

// viewOfEpoch is viewOfFive with the registers of the first epoch.
func viewOfEpoch() *pb.View {
	view := viewOfFive()
	view.VotersEpoch = 1
	return view
}

// receiveEpochOf passes a heartbeat of a machine that holds the view and the registers of an epoch.
func receiveEpochOf(machine *Machine, now time.Duration, from *pb.Replica, epoch uint64) {
	machine.Step(now, Received{Message: &pb.Message{
		From: from, ToIdentity: machine.Self().GetIdentity(), Cluster: "cluster",
		Body: &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{
			ViewNumber: 1, StorageHealthy: true, Synchronised: true, RegisterEpoch: epoch,
		}},
	}})
}

func TestOthersLearnAtOnceThatTheRegistersAreOnDisk(t *testing.T) {
	machine, _ := newRestartedMachineIn(t, viewOfEpoch())
	var advertised []uint64
	for _, action := range machine.Step(TickInterval, Persisted{Token: machine.disk.lastToken}) {
		if send, isSend := action.(Send); isSend && send.Message.GetHeartbeat() != nil {
			advertised = append(advertised, send.Message.GetHeartbeat().GetRegisterEpoch())
		}
	}
	require.Equal(t, []uint64{1, 1, 1, 1}, advertised)
}

// The voters must not change while fewer than a majority holds the registers: after two further failures, no machine
// would be left that holds the registers of a replaced voter.
func TestVotersStayUntilAMajorityHoldsTheRegisters(t *testing.T) {
	view := viewOfEpoch()
	machine, others := newRestartedMachineIn(t, view)
	machine.Step(TickInterval, Persisted{Token: machine.disk.lastToken})
	joiner := &pb.Replica{Host: "core-9", Identity: "id-9", Address: "10.0.0.9:7660", Zone: "zone-9"}
	failed, live := others[3], others[:3]
	now := TickInterval
	holders := 0
	letTimePass := func() {
		for range 40 {
			now += TickInterval
			for index, other := range live {
				epoch := uint64(0)
				if index < holders {
					epoch = 1
				}
				receiveEpochOf(machine, now, other, epoch)
			}
			receiveEpochOf(machine, now, joiner, 0)
			machine.Step(now, Tick{})
		}
	}
	letTimePass()
	for holders = range 2 {
		letTimePass()
		voters, changed := machine.planner.nextVoters()
		require.False(t, changed, "%d other voters and this machine hold the registers", holders)
		require.Equal(t, view.GetVoters(), voters)
	}
	holders = 2
	letTimePass()
	voters, changed := machine.planner.nextVoters()
	require.True(t, changed)
	require.Contains(t, voters, joiner)
	require.NotContains(t, voters, failed)
}

func TestWritesOfRegistersAndPromisesAboutViewsDoNotBlockOneAnother(t *testing.T) {
	l := newSingleMachine(t)
	disk := l.machine.disk
	for range maxUnpersistedRegisterWrites {
		require.True(t, disk.acceptsRegisters())
		disk.enqueue(nil, pendingWrite{forRegisters: true})
	}
	require.False(t, disk.acceptsRegisters(), "pending writes of registers must be bounded")
	for range maxUnpersistedWrites {
		require.True(t, disk.acceptsPromises())
		disk.enqueue(nil, pendingWrite{})
	}
	require.False(t, disk.acceptsPromises(), "other pending writes must be bounded")
	for range maxUnpersistedRegisterWrites {
		disk.next(disk.lastToken)
	}
	require.True(t, disk.acceptsRegisters())
	require.False(t, disk.acceptsPromises())
}

func TestNothingIsPromisedWithoutRoomForItsRecord(t *testing.T) {
	l := newSingleMachine(t)
	require.EqualValues(t, 1, l.number())
	l.holdWrites = true
	for range maxUnpersistedRegisterWrites {
		l.machine.disk.enqueue(nil, pendingWrite{forRegisters: true})
	}
	l.callReplies = nil
	l.submitCall(nextNumberCall())
	l.tick(7)
	require.Len(t, l.callReplies, 1)
	require.NotEqual(t, pb.CoordinationResult_OUTCOME_OK, l.callReplies[0].GetOutcome())
	require.Len(t, l.machine.disk.pending, maxUnpersistedRegisterWrites)
}
