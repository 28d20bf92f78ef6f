package proxy

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/route"
)

// At a server, too, a request goes before those of lower ranks, and only before those, whatever the lengths of their
// prompts are.
func TestServersAreToldTheRanksOfTheOperator(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		priorityOf := func(label string) (rank, priority int) {
			rank = rapid.IntRange(0, lowestPriority).Draw(rt, label+"'s rank")
			tokens := rapid.IntRange(0, 50_000).Draw(rt, label+"'s prompt")
			x := &exchange{
				handler: &handler{}, route: &route.Route{Priority: rank},
				placement: placement.Request{PromptTokens: tokens},
			}
			return rank, x.serverPriority()
		}
		rank, priority := priorityOf("one")
		otherRank, otherPriority := priorityOf("the other")
		require.Equal(rt, rank < otherRank, priority < otherPriority)
		require.Equal(rt, rank == otherRank, priority == otherPriority)
	})
}

// Ranks beyond those that the header has are the lowest it has.
func TestPriorityStaysInItsRange(t *testing.T) {
	require.Equal(t, lowestPriority, serverPriority(lowestPriority+1))
	require.Equal(t, lowestPriority, serverPriority(1000))
	require.Equal(t, 0, serverPriority(-1))
}

// The header reaches the server.
func TestThePriorityIsSent(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := newTestProxy(t, server)
	response, _ := r.get("/m/x")
	require.Equal(t, http.StatusOK, response.StatusCode)
	found, _ := r.handler.snapshots.load().table.Lookup("h.example", "/m/x")
	require.Equal(t, strconv.Itoa(found.Priority), server.requests()[0].header.Get(headerPriority))
}
