package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A machine that lost its disk has become a voter under a new identity. Its earlier identity, silent for less than
// FailureTimeout, must not replace it as a voter.
func TestMachineThatLostItsDiskIsNotReplacedByItsEarlierIdentity(t *testing.T) {
	view := viewOfEpoch()
	machine, others := newRestartedMachineIn(t, view)
	machine.Step(TickInterval, Persisted{Token: machine.disk.lastToken})
	now := TickInterval
	letTimePass := func(ticks int, senders ...*pb.Replica) {
		for range ticks {
			now += TickInterval
			for _, sender := range senders {
				receiveEpochOf(machine, now, sender, 2)
			}
			machine.Step(now, Tick{})
		}
	}
	letTimePass(20, others...)
	earlier := others[0]
	admitted := &pb.Replica{Host: earlier.GetHost(), Identity: "another", Address: earlier.GetAddress(), Zone: earlier.GetZone()}
	next := &pb.View{
		Number: 2, Cluster: "cluster", Voters: []*pb.Replica{view.Voters[0], admitted, others[1], others[2], others[3]},
		Chain: view.Voters[:1], VotersEpoch: 2, PreviousEpoch: 1, PreviousVoters: view.Voters,
	}
	machine.Step(now, Received{Message: &pb.Message{
		From: others[1], ToIdentity: machine.Self().GetIdentity(), Cluster: "cluster",
		Body: &pb.Message_Decided{Decided: &pb.Decided{View: next}},
	}})
	for silence := time.Duration(0); silence < FailureTimeout; silence += TickInterval {
		require.True(t, machine.planner.majorityHoldsRegisters())
		voters, changed := machine.planner.nextVoters()
		require.False(t, changed, "%v after the view: %v", silence, voters)
		letTimePass(1, others[1:]...)
	}
}
