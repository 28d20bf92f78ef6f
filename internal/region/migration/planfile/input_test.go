package planfile

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

func TestInput(t *testing.T) {
	file, input := parseExampleFile(t)

	require.Len(t, input.Nodes, 8)
	require.Equal(t, plan.Core{Hosts: 1, Zones: 1, Voters: []plan.Voter{{ID: "core-1", Zone: "hall-a"}, {ID: "core-2", Zone: "hall-b"}, {ID: "core-3", Zone: "hall-c"}}}, input.Core)
	require.Equal(t, 21*time.Hour+30*time.Minute, input.Begin)
	require.Equal(t, 6*time.Hour, input.Window)
	require.Equal(t, map[plan.SurgePool]int{{Zone: "hall-a", Kind: capacity.Server}: 1}, input.SurgeCapacity)

	server := input.Replacements[0]
	require.Equal(t, "i-1", server.Old.ID)
	require.Equal(t, capacity.Amount{capacity.Slots: 64, capacity.Memory: 230413, capacity.Prefill: 38700, capacity.Connections: 360}, server.Old.Capacity)
	require.Equal(t, 96.0, server.New.Capacity[capacity.Slots])
	require.Equal(t, "west", server.New.Region)
	require.Equal(t, plan.Times{
		Start: 20 * time.Second, Warm: 3 * time.Second, Drain: 5 * time.Second, Linger: time.Second, Stop: 4800 * time.Millisecond,
	}, server.Times)
	require.Equal(t, "i-2", input.Replacements[1].Old.ID)
	require.Equal(t, 4*time.Second, input.Replacements[2].Times.Warm)
	require.Equal(t, 9*time.Second, input.Replacements[3].Times.Drain)
	require.Equal(t, 16*time.Second, input.Replacements[3].Times.Linger)

	late := input.Demand.Periods[1].Loads[0]
	require.Equal(t, capacity.Amount{capacity.Slots: 60, capacity.Memory: 1000}, late.Required, "the decode rate of the servers is unknown")

	file.Periods = nil
	input, err := file.Input(inventory(t))
	require.NoError(t, err)
	require.Equal(t, time.Duration(0), input.Demand.Cycle)

	file.Replacements[0].Old = "nowhere"
	_, err = file.Input(inventory(t))
	var inputError *plan.InputError
	require.True(t, errors.As(err, &inputError), "%v", err)
	require.Equal(t, "nowhere", inputError.Node)
}
