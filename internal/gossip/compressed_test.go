package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/packing"
)

// largeChange is a change that is worth packing.
func largeChange(sequence uint64) *pb.Change {
	made := change(sequence)
	made.Upserts[0].Body = bytes.Repeat([]byte("a"), 2*packing.MinSize)
	return made
}

// compressedFrom packs changes for a copy at the sequence before them.
func compressedFrom(made ...*pb.Change) *pb.PackedNews {
	var packer packing.Packer
	key := packing.Key{Base: made[0].GetSequence() - 1, Sequence: made[len(made)-1].GetSequence()}
	return packer.Packed(key, func() *pb.StateNews { return &pb.StateNews{Changes: made} })
}

// replicaWithLargeUpdate is a member that holds changes up to 5, of which 4 is large and came packed.
func replicaWithLargeUpdate(t *testing.T) *Machine {
	machine := New(NewReplica(), fixedView{}, nil)
	large := largeChange(4)
	machine.Step(0, UpdateReceived{Changes: changes(1, 3)})
	machine.Step(0, UpdateReceived{Changes: []*pb.Change{large}, Compressed: compressedFrom(large)})
	machine.Step(0, UpdateReceived{Changes: changes(5, 5)})
	require.EqualValues(t, 5, machine.replica.Sequence())
	return machine
}

// answerTo is the answer to a neighbour at a sequence.
func answerTo(machine *Machine, sequence uint64, takesPacked bool) *pb.CompareResponse {
	asked := CompareRequested{From: neighbour(1), Digests: &pb.RangeDigests{Sequence: sequence}, AcceptsCompressed: takesPacked}
	return machine.Step(0, asked)[0].(CompareReply).Response
}

func TestLargeNewsIsPassedOnAsItCame(t *testing.T) {
	answer := answerTo(replicaWithLargeUpdate(t), 3, true)
	require.EqualValues(t, 4, answer.GetPacked().GetSequence())
	require.Len(t, answer.GetChanges(), 1, "what follows it comes as it is")
	require.EqualValues(t, 5, answer.GetChanges()[0].GetSequence())
}

func TestNeighboursThatTakeNothingPackedGetChanges(t *testing.T) {
	answer := answerTo(replicaWithLargeUpdate(t), 3, false)
	require.Nil(t, answer.GetPacked())
	require.Len(t, answer.GetChanges(), 2)
}

func TestPackedNewsIsNotForCopiesBeforeItsBase(t *testing.T) {
	answer := answerTo(replicaWithLargeUpdate(t), 2, true)
	require.Nil(t, answer.GetPacked())
	require.Len(t, answer.GetChanges(), 3)
}

func TestSmallNewsIsNotPassedOnPacked(t *testing.T) {
	answer := answerTo(replicaWithLargeUpdate(t), 4, true)
	require.Nil(t, answer.GetPacked())
	require.Len(t, answer.GetChanges(), 1)
}

// A whole state serves every earlier copy, a repair of some ranges only the one that it was made for.
func TestOnlyWholeRepairsArePassedOn(t *testing.T) {
	copied := NewReplica()
	copied.ApplyChanges(changes(1, 9))
	copied.AddCompressed(&pb.PackedNews{Sequence: 8, Repairs: true, Whole: true})
	copied.AddCompressed(&pb.PackedNews{Base: 2, Sequence: 9, Repairs: true})
	require.EqualValues(t, 8, copied.Compressed(2).GetSequence())
	require.Nil(t, copied.Compressed(8))
}

func TestPackedNewsIsKeptWithinBounds(t *testing.T) {
	copied := NewReplica()
	copied.ApplyChanges(changes(1, 50))
	for sequence := range uint64(50) {
		copied.AddCompressed(&pb.PackedNews{Base: sequence, Sequence: sequence + 1, Deflated: make([]byte, 100<<10)})
		copied.AddCompressed(&pb.PackedNews{Base: sequence, Sequence: sequence + 1, Deflated: make([]byte, 100<<10)})
		require.LessOrEqual(t, len(copied.compressed), maxCompressed)
		require.LessOrEqual(t, copied.compressed.bytes(), maxCompressedBytes)
	}
	copied.AddCompressed(&pb.PackedNews{Base: 50, Sequence: 51})
	require.Nil(t, copied.Compressed(50), "what the copy has not taken is not passed on")
}
