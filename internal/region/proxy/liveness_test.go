package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

func TestSilentAgentIsLoggedOnceAndItsReturnToo(t *testing.T) {
	logged, logs := observer.New(zap.DebugLevel)
	c := &agentLiveness{logger: zap.New(logged)}
	c.recordContact(time.Second)
	c.checkTimeout(time.Second + agentTimeout)
	require.Zero(t, logs.Len())
	for second := range 4 {
		c.checkTimeout(4*time.Second + time.Duration(second)*time.Second)
	}
	require.Len(t, logs.FilterMessage("agent timed out").All(), 1)
	require.Equal(t, 6*time.Second, c.sinceContact(7*time.Second))

	c.recordContact(8 * time.Second)
	c.recordContact(9 * time.Second)
	lines := logs.FilterMessage("agent contact restored").All()
	require.Len(t, lines, 1)
	require.Equal(t, 7*time.Second, lines[0].ContextMap()["since_contact"])
	require.Zero(t, c.sinceContact(9*time.Second))
	require.Zero(t, c.sinceContact(8*time.Second), "a contact after the given time counts as 0")
}

func TestExchangesWithTheAgentAreCounted(t *testing.T) {
	r := startProcess(t, 1)
	r.process.liveness.lastContact.Store(int64(-time.Hour))
	r.status()
	require.Less(t, r.process.liveness.sinceContact(r.process.now()), testTimeout, "a status call counts as contact")

	r.process.liveness.lastContact.Store(int64(-time.Hour))
	unusable := testChange()
	unusable.Upserts[0].Body = []byte(`no object`)
	r.apply(&pb.ApplyRequest{Changes: []*pb.Change{unusable}})
	require.Less(t, r.process.liveness.sinceContact(r.process.now()), testTimeout)
	r.apply(&pb.ApplyRequest{Repair: fullRepair(3, 9)})
	r.apply(&pb.ApplyRequest{Repair: fullRepair(3, 9)})
	counted := r.process.counters
	require.EqualValues(t, 1, counted.itemsRejected.Load())
	require.EqualValues(t, 1, counted.fullStates.Load())
	require.EqualValues(t, 1, counted.staleUpdates.Load())
	require.EqualValues(t, 3, counted.applies.Load())
	require.Positive(t, counted.applyLast.Load())
	require.GreaterOrEqual(t, counted.applyMax.Load(), counted.applyLast.Load())

	line := make(map[string]bool)
	for _, field := range r.process.counterFields() {
		line[field.Key] = true
	}
	for _, name := range []string{"full_states", "items_rejected", "items_partially_applied", "applies", "apply_last", "apply_max", "violations", "since_agent_contact"} {
		require.True(t, line[name], name)
	}
}

// Each item that is rejected or partially applied is logged with its name and the fault.
func TestInvalidItemsAreLogged(t *testing.T) {
	change := testChange()
	change.Upserts[0].Body = []byte(`no object`)
	change.Upserts = append(change.Upserts, &pb.Item{
		Kind: catalog.KindRoutes, Name: "odd", Body: []byte(`{"vhost":"h","path-prefix":"/odd/","backend":"s1","tries":-1}`),
	})
	logged, logs := observer.New(zap.DebugLevel)
	stream := &configStream{snapshots: newSnapshotStore(), counters: &counters{}, logger: zap.New(logged), lifecycle: &lifecycle{}}
	before := stream.snapshots.load()
	current, applied := stream.snapshots.apply(&pb.ApplyRequest{Changes: []*pb.Change{change}})
	stream.counters.countUpdate(applied)
	stream.logUpdate(before, current, applied)

	rejected := logs.FilterMessage("configuration item rejected").All()
	require.Len(t, rejected, 1)
	require.Contains(t, rejected[0].ContextMap()["error"], change.Upserts[0].GetName())
	partial := logs.FilterMessage("configuration item partially applied").All()
	require.Len(t, partial, 1)
	require.Contains(t, partial[0].ContextMap()["error"], `"odd"`)
	require.Contains(t, partial[0].ContextMap()["error"], "tries")
	require.EqualValues(t, 1, stream.counters.itemsRejected.Load())
	require.EqualValues(t, 1, stream.counters.itemsPartial.Load())
	_, found := current.table.Lookup("h", "/odd/x")
	require.True(t, found)
}
