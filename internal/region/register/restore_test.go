package register

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
)

// The largest group that the service accepts.
const (
	largestGroupKeys = 4096
	largestGroupPuts = 16384
)

// allocatedBytes returns how many bytes run allocates.
func allocatedBytes(run func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}

// positionOf returns a position of an earlier proposer.
func positionOf(sequence uint64) *pb.RegisterPosition {
	return &pb.RegisterPosition{Epoch: 1, Round: 1, Proposer: "a/1", Sequence: sequence}
}

// putRecords returns the records of small puts to the keys of a group, one after another.
func putRecords(name string, keys, puts int) []*pb.RegisterRecord {
	records := make([]*pb.RegisterRecord, 0, puts)
	for index := range puts {
		revision := uint64(index + 1)
		event := &pb.KeyEvent{Name: fmt.Sprint(name, ".k", index%keys), Value: fmt.Sprint(revision), Revision: revision}
		position := positionOf(revision)
		records = append(records, &pb.RegisterRecord{
			Name: name, Promised: numberOf(position), Accepted: position, Change: EventsChange(event),
		})
	}
	return records
}

// restoredReplica returns a replica that was read from records.
func restoredReplica(records []*pb.RegisterRecord) *Replica {
	replica := NewReplica(testConfig("b"), nil)
	for _, record := range records {
		replica.Restore(record)
	}
	replica.FinishRestore(0)
	return replica
}

// Guards against a start that takes longer than sync-s: for each put that was read back, the whole group was copied and
// its puts were indexed anew.
func TestRestoreCopiesEachGroupOnce(t *testing.T) {
	const mostBytesPerRecord = 512
	records := putRecords("g", largestGroupKeys, largestGroupPuts)
	var replica *Replica
	allocated := allocatedBytes(func() { replica = restoredReplica(records) })
	assert.Less(t, allocated, mostBytesPerRecord*largestGroupPuts)
	group := replica.localState("g").value.GetGroup()
	assert.Len(t, group.GetEvents(), largestGroupPuts)
	assert.Len(t, group.GetKeys(), largestGroupKeys)
}

// drawChanges draws changes of one group, one after another, and the records of them with promises between.
func drawChanges(t *rapid.T) (records []*pb.RegisterRecord, value *pb.RegisterValue) {
	revision := uint64(0)
	drawEvents := func() []*pb.KeyEvent {
		fewest := 1
		if value.GetGroup() != nil {
			fewest = 0 // a proposer may have the group that it found accepted under its own number
		}
		events := make([]*pb.KeyEvent, rapid.IntRange(fewest, 4).Draw(t, "events"))
		for index := range events {
			revision++
			key := rapid.SampledFrom([]string{"g.a", "g.b", "g.c"}).Draw(t, "key")
			events[index] = &pb.KeyEvent{Name: key, Value: fmt.Sprint(revision), Revision: revision}
		}
		return events
	}
	for index := range rapid.IntRange(1, 12).Draw(t, "records") {
		position := positionOf(uint64(index + 1))
		record := &pb.RegisterRecord{Name: "g", Promised: numberOf(position), Accepted: position}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			record.Accepted = nil
		case 1:
			record.Change = wholeChange(groupValue(AppendEvents(nil, drawEvents())))
		default:
			record.Change = EventsChange(drawEvents()...)
		}
		value = ApplyChange(value, record.GetChange())
		records = append(records, record)
	}
	return records, value
}

// What is restored is what results from the changes one after another, and a second restore from the same records has the
// same result.
func TestRestoredGroupIsThatOfItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, value := drawChanges(t)
		for range 2 {
			replica := restoredReplica(records)
			restored := replica.localState("g")
			require.Equal(t, value.GetGroup().String(), restored.value.GetGroup().String())
			require.Len(t, restored.eventTimes, len(value.GetGroup().GetEvents()))
			require.Equal(t, len("g")+restored.bytes, replica.Bytes())
			if value != nil {
				require.Equal(t, valueBytes(value), restored.bytes)
			}
		}
	})
}

// Events that are appended together leave the same group as events that are appended one by one.
func TestEventsMayBeAppendedTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, value := drawChanges(t)
		group := value.GetGroup()
		var events []*pb.KeyEvent
		for _, record := range records {
			for _, event := range record.GetChange().GetEvents().GetEvents() {
				later := &pb.KeyEvent{Name: event.GetName(), Value: event.GetValue(), Revision: event.GetRevision() + group.GetRevision()}
				events = append(events, later)
			}
		}
		oneByOne := group
		for _, event := range events {
			oneByOne = AppendEvents(oneByOne, []*pb.KeyEvent{event})
		}
		require.Equal(t, oneByOne.String(), AppendEvents(group, events).String())
	})
}
