package control

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/ring"
)

// viewOfFive is a view with five voters, all of them in the chain.
func viewOfFive() *pb.View {
	view := &pb.View{Number: 1, Cluster: "cluster"}
	for index := range 5 {
		name := strconv.Itoa(index)
		replica := &pb.Replica{Host: "core-" + name, Identity: "id-" + name, Address: "10.0.0." + name + ":7660", Zone: "zone-" + name}
		view.Voters = append(view.Voters, replica)
		view.Chain = append(view.Chain, replica)
	}
	return view
}

// newRestartedMachine starts the first machine of a view of five on a disk that holds that view, and returns it and the
// other voters.
func newRestartedMachine(t *testing.T) (*Machine, []*pb.Replica) {
	t.Helper()
	return newRestartedMachineIn(t, viewOfFive())
}

// newRestartedMachineIn starts the first voter of a view on a disk that holds that view, and returns it and the other
// voters.
func newRestartedMachineIn(t *testing.T, view *pb.View) (*Machine, []*pb.Replica) {
	t.Helper()
	machine, err := NewMachine(Config{
		Self:        view.Voters[0],
		Requirement: chain.Requirement{Replicas: 2, Zones: 2},
		PeerAddress: func(control string) string { return control },
		Random:      rand.New(rand.NewPCG(1, 2)),
	}, &ring.Recovered{Records: []ring.Record{
		identityRecord(view.Voters[0].GetIdentity(), true),
		writeRecord(chain.Write{View: view, SynchronizedView: 1}),
	}})
	require.NoError(t, err)
	machine.Step(0, Started{})
	return machine, view.GetVoters()[1:]
}

// receiveHeartbeatOf passes a heartbeat of a machine that holds the view.
func receiveHeartbeatOf(machine *Machine, now time.Duration, from *pb.Replica) {
	machine.Step(now, Received{Message: &pb.Message{
		From: from, ToIdentity: machine.Self().GetIdentity(), Cluster: "cluster",
		Body: &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{ViewNumber: 1, StorageHealthy: true, Synchronised: true}},
	}})
}

// firstProposal advances the time, with heartbeats of some machines, and returns when a later view was first proposed.
func firstProposal(machine *Machine, senders []*pb.Replica, limit time.Duration) (time.Duration, bool) {
	for now := TickInterval; now <= limit; now += TickInterval {
		for _, other := range senders {
			receiveHeartbeatOf(machine, now, other)
		}
		for _, action := range machine.Step(now, Tick{}) {
			if send, isSend := action.(Send); isSend && send.Message.GetPrepare() != nil {
				return now, true
			}
		}
	}
	return 0, false
}

func TestAMachineThatJustStartedWaitsForHeartbeats(t *testing.T) {
	machine, others := newRestartedMachine(t)
	_, proposed := firstProposal(machine, others[:3], FailureTimeout)
	require.False(t, proposed, "the silent machine may have started at the same time as this one")
}

func TestAMachineThatJustStartedRemovesSilentPeers(t *testing.T) {
	machine, others := newRestartedMachine(t)
	after, proposed := firstProposal(machine, others[:3], 2*FailureTimeout)
	require.True(t, proposed)
	require.Greater(t, after, FailureTimeout)
}
