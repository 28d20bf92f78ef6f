package agent

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/shuffle"
	"fieldrelay/internal/testkit/digesttest"
)

var update = flag.Bool("update", false, "update the recorded digests of the seeded runs")

// A change of the code that keeps the behaviour must leave all calls of all agents in seeded runs, to proxies, control
// machines and other agents, exactly as recorded.
func TestStormsHaveTheRecordedDigests(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		name := fmt.Sprintf("storm-%d", seed)
		t.Run(name, func(t *testing.T) {
			digesttest.Compare(t, name, *update, func() *digesttest.Recorder {
				recorder := digesttest.New(time.Second)
				m := newModel(seed, 3, 6)
				m.observe = func(agent *modelAgent, received event, actions []action) {
					recordResponses(recorder, agent, received)
					for _, call := range actions {
						recordCall(recorder, agent, call)
					}
				}
				require.True(t, m.commitAndWait(changesBeforeAbsence))
				m.injectFaults(m.now + 8*time.Second)
				require.True(t, m.commitAndWait(300))
				for _, agent := range m.agents[:2] {
					agent.deliver(shutdownRequested{})
				}
				m.runUntil(5*time.Second, func() bool { return false })
				require.Empty(t, m.failures)
				for _, agent := range m.agents {
					recorder.Entry(m.now, "end").Number(agent.proxy.replica.Sequence()).Message(agent.proxy.replica.Snapshot().Digests())
				}
				return recorder
			})
		})
	}
}

func recordNeighbours(entry *digesttest.Recorder, neighbours ...shuffle.Neighbour) {
	entry.Number(uint64(len(neighbours)))
	for _, neighbour := range neighbours {
		entry.Text(neighbour.Host).Text(neighbour.Address).Text(neighbour.Zone).Text(neighbour.Region).Number(uint64(neighbour.Age))
	}
}

func recordCall(recorder *digesttest.Recorder, agent *modelAgent, call action) {
	begin := func(label string) *digesttest.Recorder {
		return recorder.Entry(agent.model.now, label).Text(agent.self.Host).Number(agent.incarnation)
	}
	switch call := call.(type) {
	case watchCall:
		label := map[watchKind]string{watchLongPoll: "watch", watchNotice: "notice", watchProbe: "probe"}[call.kind]
		begin(label).Number(call.id).Text(call.address).Message(call.request).
			Time(call.started).Time(call.dialTimeout).Time(call.timeout)
	case proxyCall:
		begin("feed").Message(call.apply)
	case shuffleCall:
		entry := begin("shuffle")
		recordNeighbours(entry, call.To, call.From)
		recordNeighbours(entry, call.Sample...)
	case pushCall:
		entry := begin("push").Number(uint64(len(call.Changes)))
		for _, change := range call.Changes {
			entry.Message(change)
		}
		recordNeighbours(entry.Message(call.List), call.To)
	case compareCall:
		recordNeighbours(begin("compare").Message(call.Digests).Message(call.List), call.To)
	default:
		agent.model.fail("an action of a type that the digests do not cover")
	}
}

// recordResponses records requests received from other agents and the results of calls to them. It does not read the
// response to a received request, which stays in its channel for the caller.
func recordResponses(recorder *digesttest.Recorder, agent *modelAgent, received event) {
	begin := func(label string) *digesttest.Recorder {
		return recorder.Entry(agent.model.now, label).Text(agent.self.Host).Number(agent.incarnation)
	}
	switch received := received.(type) {
	case shuffleRequested:
		begin("shuffle-asked").Message(received.request)
	case pushRequested:
		begin("push-asked").Message(received.request).Number(agent.core.replica.Sequence())
	case compareRequested:
		begin("compare-asked").Message(received.request)
	case compareDone:
		begin("compare-done").Flag(received.err != nil).Message(received.response)
	case shuffleDone:
		begin("shuffle-done").Flag(received.err != nil).Message(received.response)
	case pushDone:
		begin("push-done").Flag(received.err != nil).Message(received.response)
	}
}
