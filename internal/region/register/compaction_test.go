package register

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Guards against ticks whose cost grows with the number of registers: each of them examined all of them.
func TestTickExaminesABoundedNumberOfGroups(t *testing.T) {
	const mostPerTick = MaxRegisters / 16
	replica := NewReplica(testConfig("b"), nil)
	for index := range MaxRegisters {
		replica.Restore(putRecords(fmt.Sprint("g", index), 1, 1)[0])
	}
	replica.FinishRestore(0)
	withEvents := func() int {
		count := 0
		for _, found := range replica.registers {
			count += min(1, len(found.value.GetGroup().GetEvents()))
		}
		return count
	}
	replica.Tick(2 * testRetention)
	require.GreaterOrEqual(t, withEvents(), MaxRegisters-mostPerTick)
	for tick := range MaxRegisters {
		if withEvents() == 0 {
			break
		}
		replica.Tick(2*testRetention + time.Duration(tick)*testTick)
	}
	assert.Zero(t, withEvents(), "every group has its turn")
}

// Each event expires by the time at which it was accepted, also if the whole group was received since.
func TestEventsOfAWholeGroupKeepTheirTimes(t *testing.T) {
	replica := NewReplica(testConfig("b"), nil)
	found := replica.register("g")
	first := &pb.KeyEvent{Name: "g.a", Value: "1", Revision: 1}
	replaced := &pb.KeyEvent{Name: "g.a", Value: "not chosen", Revision: 2}
	replica.apply(0, found, &pb.RegisterRecord{Accepted: positionOf(1), Change: EventsChange(first, replaced)})
	received := groupValue(AppendEvents(nil, []*pb.KeyEvent{
		{Name: "g.a", Value: "1", Revision: 1},
		{Name: "g.b", Value: "2", Revision: 2},
	}))
	replica.apply(time.Second, found, &pb.RegisterRecord{Accepted: positionOf(2), Change: wholeChange(received)})
	replica.apply(2*time.Second, found, &pb.RegisterRecord{Accepted: positionOf(3), Change: EventsChange(&pb.KeyEvent{Name: "g.c", Value: "3", Revision: 3})})
	assert.Equal(t, []time.Duration{0, time.Second, 2 * time.Second}, found.eventTimes)
	replica.Tick(testRetention + time.Second/2)
	assert.Len(t, found.value.GetGroup().GetEvents(), 2)
	replica.Tick(testRetention + 3*time.Second/2)
	assert.Len(t, found.value.GetGroup().GetEvents(), 1)
	assert.Len(t, found.value.GetGroup().GetKeys(), 3)
}
