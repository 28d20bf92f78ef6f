package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/packing"
)

// Guards against agents that request the state from every machine that has it: agents that start at once without state
// must load the links no more than if each of them received the state twice.
func TestStartingAgentsDoNotRequestTheStateFromEveryMachine(t *testing.T) {
	const slack = 2
	for seed := range uint64(environment("AGENT_NARROW", 3)) {
		m := newStartWithoutState(seed)
		require.True(t, m.runUntil(time.Minute, m.converged))
		key := packing.Key{Sequence: m.newestSequence(), Complete: true}
		completeState := m.controls[coreMachines-1].compressor.Compressed(key, func() *pb.StateUpdate {
			return &pb.StateUpdate{Repair: m.committedStates[m.newestSequence()].RepairFor(nil)}
		})
		idealBytes := float64(edgeMachines * proto.Size(completeState))
		t.Logf("seed %d: %.1f MB transferred, %.1f MB if each agent received the state once", seed, m.links.carried/1e6, idealBytes/1e6)
		require.Less(t, m.links.carried, slack*idealBytes, "seed %d", seed)
	}
}
