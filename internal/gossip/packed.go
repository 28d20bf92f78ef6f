package gossip

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/packing"
)

const (
	// maxPacked bounds how many pieces of packed news a Copy keeps to pass on.
	maxPacked = 4
	// maxPackedBytes bounds their size in bytes.
	maxPackedBytes = 256 << 10
)

// packedNews are the last pieces of packed news that a Copy has taken, the newest last.
type packedNews []*pb.PackedNews

// AddCompressed keeps news that the copy has taken, to be passed on as it came.
func (c *Replica) AddCompressed(packed *pb.PackedNews) {
	if packed == nil || packed.GetSequence() > c.Sequence() || c.packed.holds(packed) {
		return
	}
	c.packed = append(c.packed, packed)
	for len(c.packed) > 1 && (len(c.packed) > maxPacked || c.packed.bytes() > maxPackedBytes) {
		c.packed = slices.Delete(c.packed, 0, 1)
	}
}

// Compressed is the newest news kept that brings a copy at a sequence forward, nil if there is none: changes that follow on
// what it holds, or a whole state. Repairs of some ranges serve nobody but the copy whose digests they answer.
func (c *Replica) Compressed(sequence uint64) *pb.PackedNews {
	for _, packed := range slices.Backward(c.packed) {
		follows := packed.GetBase() <= sequence && sequence < packed.GetSequence()
		if follows && (packed.GetWhole() || !packed.GetRepairs()) {
			return packed
		}
	}
	return nil
}

func (p packedNews) holds(packed *pb.PackedNews) bool {
	return slices.ContainsFunc(p, func(other *pb.PackedNews) bool {
		return other.GetBase() == packed.GetBase() && other.GetSequence() == packed.GetSequence()
	})
}

func (p packedNews) bytes() int {
	bytes := 0
	for _, packed := range p {
		bytes += len(packed.GetDeflated())
	}
	return bytes
}

// isLarge tells whether changes are worth packing.
func isLarge(changes []*pb.Change) bool {
	size := 0
	for _, change := range changes {
		size += proto.Size(change)
		if size >= packing.MinSize {
			return true
		}
	}
	return false
}
