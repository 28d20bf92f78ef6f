package gossip

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/packing"
)

const (
	// maxCompressedUpdates is the maximum number of compressed updates that a Replica retains for forwarding.
	maxCompressedUpdates = 4
	// maxCompressedBytes is the maximum total size in bytes of the retained compressed updates. The newest one is
	// retained regardless of its size.
	maxCompressedBytes = 256 << 10
)

// compressedUpdates are the latest compressed updates that a Replica has applied, oldest first.
type compressedUpdates []*pb.CompressedUpdate

// AddCompressed retains a compressed update that the replica has applied, for forwarding without compressing it again.
func (r *Replica) AddCompressed(update *pb.CompressedUpdate) {
	if update == nil || update.GetSequence() > r.Sequence() || r.compressed.contains(update) {
		return
	}
	r.compressed = append(r.compressed, update)
	for len(r.compressed) > 1 && (len(r.compressed) > maxCompressedUpdates || r.compressed.bytes() > maxCompressedBytes) {
		r.compressed = slices.Delete(r.compressed, 0, 1)
	}
}

// Compressed returns the newest compressed update that advances a replica at the given sequence, nil if there is none:
// changes that follow that sequence, or a complete state. A repair of some ranges is not returned, since it is usable
// only by the replica against whose digests it was made.
func (r *Replica) Compressed(sequence uint64) *pb.CompressedUpdate {
	for _, update := range slices.Backward(r.compressed) {
		follows := update.GetBase() <= sequence && sequence < update.GetSequence()
		if follows && (update.GetWhole() || !update.GetRepairs()) {
			return update
		}
	}
	return nil
}

func (c compressedUpdates) contains(update *pb.CompressedUpdate) bool {
	return slices.ContainsFunc(c, func(other *pb.CompressedUpdate) bool {
		return other.GetBase() == update.GetBase() && other.GetSequence() == update.GetSequence()
	})
}

func (c compressedUpdates) bytes() int {
	size := 0
	for _, update := range c {
		size += len(update.GetDeflated())
	}
	return size
}

// reachesCompressionThreshold reports whether the size of the changes reaches the threshold for compression.
func reachesCompressionThreshold(changes []*pb.Change) bool {
	size := 0
	for _, change := range changes {
		size += proto.Size(change)
		if size >= packing.MinSize {
			return true
		}
	}
	return false
}
