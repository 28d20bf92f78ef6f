package register

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Guards against a voter that is not back within sync-s where there are many small registers: it indexed all of them for
// each of its requests, which list a few thousand.
func TestRequestForRegistersCostsWhatItLists(t *testing.T) {
	const mostBytesPerPosition = 256
	output := &member{cluster: newCluster(), self: &pb.Replica{Identity: "e"}}
	replica := NewReplica(testConfig("e"), output)
	replica.Enter(0, secondEpoch([]string{"a", "b", "c"}, "b", "c", "e"))
	records := make([]*pb.RegisterRecord, 0, MaxRegisters)
	for index := range MaxRegisters {
		records = append(records, putRecords(fmt.Sprintf("g%05d", index), 1, 1)[0])
	}
	replica.transfer.add(records)
	source := replica.transfer.source("b")
	source.hasAnswered = true
	var held []*pb.RegisterRecord
	var through string
	allocated := allocatedBytes(func() { held, through = replica.heldPositions(source) })
	assert.Less(t, allocated, mostBytesPerPosition*maxHeldPositions)
	require.Len(t, held, maxHeldPositions)
	assert.Equal(t, held[maxHeldPositions-1].GetName(), through)
	assert.Equal(t, "g00000", held[0].GetName())
}

// A request lists each register once, in the order of the names, with the higher of the position that this machine has
// accepted and the one that another machine has sent.
func TestRequestListsOwnAndCollectedPositions(t *testing.T) {
	output := &member{cluster: newCluster(), self: &pb.Replica{Identity: "b"}}
	replica := NewReplica(testConfig("b"), output)
	for name, sequence := range map[string]uint64{"a": 1, "c": 5, "d": 2} {
		replica.Restore(&pb.RegisterRecord{Name: name, Accepted: positionOf(sequence), Change: wholeChange(&pb.RegisterValue{})})
	}
	replica.Restore(&pb.RegisterRecord{ActiveEpoch: 1})
	replica.FinishRestore(0)
	replica.Enter(0, secondEpoch([]string{"a", "b", "c"}, "b", "c", "e"))
	for name, sequence := range map[string]uint64{"b": 3, "c": 4, "d": 6, "e": 7} {
		replica.transfer.add([]*pb.RegisterRecord{{Name: name, Accepted: positionOf(sequence), Change: wholeChange(&pb.RegisterValue{})}})
	}
	listed := func(source *transferSource) map[string]uint64 {
		held, through := replica.heldPositions(source)
		require.Empty(t, through)
		sequences := make(map[string]uint64)
		for index, record := range held {
			sequences[record.GetName()] = record.GetAccepted().GetSequence()
			require.True(t, index == 0 || held[index-1].GetName() < record.GetName())
		}
		require.Len(t, held, len(sequences))
		return sequences
	}
	assert.Equal(t, map[string]uint64{"a": 1, "c": 5, "d": 2}, listed(&transferSource{}), "nothing has been received from it yet")
	assert.Equal(t, map[string]uint64{"a": 1, "b": 3, "c": 5, "d": 6, "e": 7}, listed(&transferSource{hasAnswered: true}))
	assert.Equal(t, map[string]uint64{"d": 6, "e": 7}, listed(&transferSource{hasAnswered: true, after: "c"}))
}
