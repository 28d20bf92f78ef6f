package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestSilentAgentIsLoggedOnceAndItsReturnToo(t *testing.T) {
	logged, logs := observer.New(zap.DebugLevel)
	c := &contact{logger: zap.New(logged)}
	c.heard(time.Second)
	c.look(time.Second + silenceLimit)
	require.Zero(t, logs.Len())
	for second := range 4 {
		c.look(4*time.Second + time.Duration(second)*time.Second)
	}
	require.Len(t, logs.FilterMessage("agent silent").All(), 1)
	require.Equal(t, 6*time.Second, c.age(7*time.Second))

	c.heard(8 * time.Second)
	c.heard(9 * time.Second)
	lines := logs.FilterMessage("agent heard again").All()
	require.Len(t, lines, 1)
	require.Equal(t, 7*time.Second, lines[0].ContextMap()["after"])
	require.Zero(t, c.age(9*time.Second))
	require.Zero(t, c.age(8*time.Second), "an exchange came meanwhile")
}

func TestExchangesWithTheAgentAreCounted(t *testing.T) {
	r := startProcess(t, 1)
	r.process.contact.last.Store(int64(-time.Hour))
	r.status()
	require.Less(t, r.process.contact.age(r.process.now()), patience, "a status is an exchange")

	r.process.contact.last.Store(int64(-time.Hour))
	unusable := rigChange()
	unusable.Upserts[0].Body = []byte(`no object`)
	r.apply(&pb.ApplyRequest{Changes: []*pb.Change{unusable}})
	require.Less(t, r.process.contact.age(r.process.now()), patience)
	r.apply(&pb.ApplyRequest{Repair: wholeRepair(3, 9)})
	r.apply(&pb.ApplyRequest{Repair: wholeRepair(3, 9)})
	counted := r.process.counters
	require.EqualValues(t, 1, counted.leftOut.Load())
	require.EqualValues(t, 1, counted.repairs.Load())
	require.EqualValues(t, 1, counted.olderStates.Load())
	require.EqualValues(t, 3, counted.applies.Load())
	require.Positive(t, counted.applyLast.Load())
	require.GreaterOrEqual(t, counted.applyMax.Load(), counted.applyLast.Load())

	line := make(map[string]bool)
	for _, field := range r.process.counterFields() {
		line[field.Key] = true
	}
	for _, name := range []string{"repairs", "items-left-out", "applies", "apply-last", "apply-max", "violations", "agent-silence"} {
		require.True(t, line[name], name)
	}
}
