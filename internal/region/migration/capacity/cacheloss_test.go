package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAddLostCachePrefill(t *testing.T) {
	nodes := []Node{
		{ID: "1", Kind: Server, Region: "west", Service: "lm", Capacity: Amount{Memory: 300}},
		{ID: "2", Kind: Server, Region: "west", Service: "lm", Capacity: Amount{Memory: 100}},
		{ID: "3", Kind: Server, Region: "east", Service: "lm", Capacity: Amount{Memory: 100}},
	}
	loads := []Load{
		{Region: "west", Group: service, Required: Amount{Prefill: 50}, CachedPrefill: 40},
		{Region: "east", Group: service, Required: Amount{Prefill: 50}, CachedPrefill: 40},
		{Region: "west", Group: service, HomeRegions: []string{"east"}, Required: Amount{Prefill: 50}, CachedPrefill: 40},
	}
	changed := AddLostCachePrefill(loads, nodes, nodes[1:2])
	require.InDelta(t, 60, changed[0].Required[Prefill], 1e-9)
	require.InDelta(t, 50, changed[1].Required[Prefill], 1e-9)
	require.InDelta(t, 50, changed[2].Required[Prefill], 1e-9)
	require.InDelta(t, 50, loads[0].Required[Prefill], 1e-9, "the argument is not modified")
	changed = AddLostCachePrefill(loads, nodes, nodes[2:])
	require.InDelta(t, 90, changed[1].Required[Prefill], 1e-9)
	require.InDelta(t, 90, changed[2].Required[Prefill], 1e-9)
}
