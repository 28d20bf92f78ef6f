package gossip

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/packing"
)

const (
	// maxCompressed bounds how many pieces of packed news a Copy keeps to pass on.
	maxCompressed = 4
	// maxCompressedBytes bounds their size in bytes.
	maxCompressedBytes = 256 << 10
)

// compressedUpdates are the last pieces of packed news that a Copy has taken, the newest last.
type compressedUpdates []*pb.PackedNews

// AddCompressed keeps news that the copy has taken, to be passed on as it came.
func (r *Replica) AddCompressed(packed *pb.PackedNews) {
	if packed == nil || packed.GetSequence() > r.Sequence() || r.compressed.contains(packed) {
		return
	}
	r.compressed = append(r.compressed, packed)
	for len(r.compressed) > 1 && (len(r.compressed) > maxCompressed || r.compressed.bytes() > maxCompressedBytes) {
		r.compressed = slices.Delete(r.compressed, 0, 1)
	}
}

// Compressed is the newest news kept that brings a copy at a sequence forward, nil if there is none: changes that follow on
// what it holds, or a whole state. Repairs of some ranges serve nobody but the copy whose digests they answer.
func (r *Replica) Compressed(sequence uint64) *pb.PackedNews {
	for _, packed := range slices.Backward(r.compressed) {
		follows := packed.GetBase() <= sequence && sequence < packed.GetSequence()
		if follows && (packed.GetWhole() || !packed.GetRepairs()) {
			return packed
		}
	}
	return nil
}

func (c compressedUpdates) contains(packed *pb.PackedNews) bool {
	return slices.ContainsFunc(c, func(other *pb.PackedNews) bool {
		return other.GetBase() == packed.GetBase() && other.GetSequence() == packed.GetSequence()
	})
}

func (c compressedUpdates) bytes() int {
	bytes := 0
	for _, packed := range c {
		bytes += len(packed.GetDeflated())
	}
	return bytes
}

// isWorthCompressing tells whether changes are worth packing.
func isWorthCompressing(changes []*pb.Change) bool {
	size := 0
	for _, change := range changes {
		size += proto.Size(change)
		if size >= packing.MinSize {
			return true
		}
	}
	return false
}
