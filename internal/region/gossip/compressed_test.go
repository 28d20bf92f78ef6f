package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/packing"
)

// largeChange returns a change whose size exceeds the threshold for compression.
func largeChange(sequence uint64) *pb.Change {
	made := change(sequence)
	made.Upserts[0].Body = bytes.Repeat([]byte("a"), 2*packing.MinSize)
	return made
}

// compressedFrom compresses changes for a replica at the sequence before the first of them.
func compressedFrom(made ...*pb.Change) *pb.CompressedUpdate {
	var packer packing.Compressor
	key := packing.Key{Base: made[0].GetSequence() - 1, Sequence: made[len(made)-1].GetSequence()}
	return packer.Compressed(key, func() *pb.StateUpdate { return &pb.StateUpdate{Changes: made} })
}

// memberWithLargeUpdate returns a member at sequence 5 that has received change 4, a large one, in compressed form.
func memberWithLargeUpdate(t *testing.T) *Machine {
	t.Helper()
	machine := New(NewReplica(), fixedView{}, nil)
	large := largeChange(4)
	machine.Step(0, UpdateReceived{Changes: changes(1, 3)})
	machine.Step(0, UpdateReceived{Changes: []*pb.Change{large}, Compressed: compressedFrom(large)})
	machine.Step(0, UpdateReceived{Changes: changes(5, 5)})
	require.EqualValues(t, 5, machine.replica.Sequence())
	return machine
}

// answerTo returns the response to a comparison by a neighbour at the given sequence.
func answerTo(machine *Machine, sequence uint64, acceptsCompressed bool) *pb.CompareResponse {
	request := CompareRequested{From: neighbour(1), Digests: &pb.RangeDigests{Sequence: sequence}, AcceptsCompressed: acceptsCompressed}
	return machine.Step(0, request)[0].(CompareReply).Response
}

func TestLargeUpdateIsPassedOnAsItCame(t *testing.T) {
	answer := answerTo(memberWithLargeUpdate(t), 3, true)
	require.EqualValues(t, 4, answer.GetCompressed().GetSequence())
	require.Len(t, answer.GetChanges(), 1, "the change after the compressed update is sent uncompressed")
	require.EqualValues(t, 5, answer.GetChanges()[0].GetSequence())
}

func TestNeighboursThatAcceptNothingCompressedGetChanges(t *testing.T) {
	answer := answerTo(memberWithLargeUpdate(t), 3, false)
	require.Nil(t, answer.GetCompressed())
	require.Len(t, answer.GetChanges(), 2)
}

func TestCompressedUpdateIsNotForReplicasBeforeItsBase(t *testing.T) {
	answer := answerTo(memberWithLargeUpdate(t), 2, true)
	require.Nil(t, answer.GetCompressed())
	require.Len(t, answer.GetChanges(), 3)
}

func TestSmallUpdateIsNotPassedOnCompressed(t *testing.T) {
	answer := answerTo(memberWithLargeUpdate(t), 4, true)
	require.Nil(t, answer.GetCompressed())
	require.Len(t, answer.GetChanges(), 1)
}

// Guards against the forwarding of a repair that the receiver cannot use: a complete state is usable by every earlier
// replica, a repair of some ranges only by the replica against whose digests it was made.
func TestOnlyCompleteRepairsArePassedOn(t *testing.T) {
	replica := NewReplica()
	replica.ApplyChanges(changes(1, 9))
	replica.AddCompressed(&pb.CompressedUpdate{Sequence: 8, Repairs: true, Whole: true})
	replica.AddCompressed(&pb.CompressedUpdate{Base: 2, Sequence: 9, Repairs: true})
	require.EqualValues(t, 8, replica.Compressed(2).GetSequence())
	require.Nil(t, replica.Compressed(8))
}

func TestCompressedUpdatesAreBounded(t *testing.T) {
	replica := NewReplica()
	replica.ApplyChanges(changes(1, 50))
	for sequence := range uint64(50) {
		replica.AddCompressed(&pb.CompressedUpdate{Base: sequence, Sequence: sequence + 1, Deflated: make([]byte, 100<<10)})
		replica.AddCompressed(&pb.CompressedUpdate{Base: sequence, Sequence: sequence + 1, Deflated: make([]byte, 100<<10)})
		require.LessOrEqual(t, len(replica.compressed), maxCompressedUpdates)
		require.LessOrEqual(t, replica.compressed.bytes(), maxCompressedBytes)
	}
	replica.AddCompressed(&pb.CompressedUpdate{Base: 50, Sequence: 51})
	require.Nil(t, replica.Compressed(50), "an update that the replica has not applied must not be forwarded")
}
