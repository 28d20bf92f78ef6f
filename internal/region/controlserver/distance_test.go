package controlserver

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/gossip"
)

// lags are numbers of changes to catch up with, up to twelve times the length of the history.
var lags = []uint64{1, catalog.HistoryMaxChanges, catalog.HistoryMaxChanges + 1, 1000, 3000}

// laggingAgent is an agent with a replica of the control state, which it updates by calls to one control machine.
type laggingAgent struct {
	t       *testing.T
	process *process
	replica *gossip.Replica
	digests bool                    // the last response requested digests
	fault   func(*pb.WatchResponse) // injected fault in the responses; nil: none
}

// call makes one call and applies its response. between is called after the request has been created, before it is
// sent.
func (a *laggingAgent) call(between func()) *pb.WatchResponse {
	request := current(a.process)
	request.HoldMs = 0
	request.Sequence = a.replica.Sequence()
	base := a.replica.Snapshot()
	if a.digests {
		request.Digests = base.Digests()
	}
	between()
	got := watch(a.process, request)
	require.NoError(a.t, got.err)
	if a.fault != nil {
		a.fault(got.response)
	}
	before := a.replica.Sequence()
	a.replica.ApplyChanges(got.response.GetChanges())
	if repair := got.response.GetRepair(); repair != nil {
		if !a.digests {
			base = nil
		}
		_, err := a.replica.Restore(base, repair)
		require.NoError(a.t, err)
	}
	a.digests = got.response.GetNeedDigests()
	require.GreaterOrEqual(a.t, a.replica.Sequence(), before)
	return got.response
}

func (a *laggingAgent) isUpToDate() bool {
	return proto.Equal(a.replica.Snapshot().Digests(), a.process.node.Status().Committed.Digests())
}

// newLaggingAgent returns an agent that lags behind a machine by the given number of changes. If restarted is set, the
// machine has lost its history.
func newLaggingAgent(t *testing.T, distance uint64, restarted bool) (*laggingAgent, *fakeNode) {
	p, node := newTestProcess(t)
	replace(t, node, 0, 1)
	agent := &laggingAgent{t: t, process: p, replica: gossip.NewReplica()}
	agent.call(func() {})
	require.True(t, agent.isUpToDate())
	for generation := uint64(1); generation <= distance; generation++ {
		amend(t, node, generation)
	}
	if restarted {
		node.clearHistory()
	}
	return agent, node
}

// amend changes one of 40 services.
func amend(t *testing.T, node *fakeNode, base uint64) {
	t.Helper()
	body := fmt.Sprintf(`{"gen":%d,"upsert":{"backends":[{"name":"far-%d","made-by":%d}]}}`, base+1, base%40, base)
	result := node.Submit(t.Context(), &pb.Order{Kind: pb.Order_KIND_AMEND, Base: base, Body: []byte(body)})
	require.EqualValues(t, 200, result.GetStatus())
}

// Guards against an agent that does not catch up: it must have the newest state after two responses, and after the
// first one if the history reaches back far enough.
func TestAgentFarBehindCatchesUpWithTwoAnswers(t *testing.T) {
	for _, distance := range lags {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprint(distance, " restarted ", restarted), func(t *testing.T) {
				agent, _ := newLaggingAgent(t, distance, restarted)
				agent.call(func() {})
				if restarted || distance > catalog.HistoryMaxChanges {
					require.False(t, agent.isUpToDate())
					agent.call(func() {})
				}
				require.True(t, agent.isUpToDate())
			})
		}
	}
}

// Guards against a replica that goes back or diverges: changes are committed between an agent's call and its response,
// the machine loses its history, and the machine has an older state than the agent.
func TestAgentFarBehindWhileChangesGoOn(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		agent, node := newLaggingAgent(t, 1+random.Uint64N(600), random.IntN(2) == 0)
		var older []*catalog.Snapshot
		for range 40 {
			older = append(older, node.Status().Committed)
			agent.call(func() {
				for range random.IntN(30) {
					amend(t, node, node.Status().Committed.Generation())
				}
				if random.IntN(5) == 0 {
					node.clearHistory()
				}
			})
			agent.callOlder(node, older[random.IntN(len(older))])
		}
		agent.call(func() {})
		agent.call(func() {})
		require.True(t, agent.isUpToDate(), "seed %d", seed)
	}
}

// callOlder makes a call while the machine has an older state, which must not change a newer replica.
func (a *laggingAgent) callOlder(node *fakeNode, older *catalog.Snapshot) {
	newest := node.Status().Committed
	digests := a.digests
	before := a.replica.Snapshot()
	node.updateStatus(func(status *control.Status) { status.Committed = older })
	answer := a.call(func() {})
	if older.Sequence() <= before.Sequence() {
		require.Same(a.t, before, a.replica.Snapshot())
		require.Nil(a.t, answer.GetRepair())
		require.Empty(a.t, answer.GetChanges())
	}
	node.updateStatus(func(status *control.Status) { status.Committed = newest })
	a.digests = digests
}

func TestAnswersWithoutStateLeaveAnAgentBehind(t *testing.T) {
	agent, _ := newLaggingAgent(t, 1000, false)
	agent.fault = func(answer *pb.WatchResponse) { answer.Changes, answer.Repair = nil, nil }
	agent.call(func() {})
	agent.call(func() {})
	require.False(t, agent.isUpToDate())
}
