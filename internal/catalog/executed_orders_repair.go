package catalog

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// digests summarises the record: one digest for each chunk, the last of which may not be full.
func (t *executedOrders) digests() *pb.TakenDigests {
	digests := make([]uint64, 0, len(t.full)+1)
	for _, chunk := range t.full {
		digests = append(digests, chunk.digest)
	}
	if len(t.partial) > 0 {
		digests = append(digests, digestOrders(t.partial))
	}
	return &pb.TakenDigests{First: t.firstChunk, Chunks: digests}
}

// repairFor returns what a copy that the digests describe lacks of this record: the chunks from the first that
// differs on. Without digests it is all of them.
func (t *executedOrders) repairFor(theirs *pb.TakenDigests) *pb.TakenOrders {
	own := t.digests().GetChunks()
	shared := 0
	for shared < len(own) {
		position := t.firstChunk + uint64(shared) - theirs.GetFirst() // wraps to beyond the end if the copy begins later
		if position >= uint64(len(theirs.GetChunks())) || theirs.GetChunks()[position] != own[shared] {
			break
		}
		shared++
	}
	return &pb.TakenOrders{
		Base:   t.baseGeneration,
		First:  t.firstChunk,
		Kept:   uint32(shared),
		Orders: t.encodeFrom(shared),
	}
}

// encodeFrom returns the encoded orders from a chunk on.
func (t *executedOrders) encodeFrom(chunk int) []byte {
	start := chunk * chunkOrders
	if start >= t.len() {
		return nil
	}
	buffer := make([]byte, 0, (t.len()-start)*encodedOrderBytes)
	for _, full := range t.full[min(chunk, len(t.full)):] {
		buffer = appendOrders(buffer, full.orders[:])
	}
	return appendOrders(buffer, t.partial)
}

// restored returns the record that a repair brings to a generation. Without one, and for a copy that keeps no
// record, nothing before the generation is known.
func (t *executedOrders) restore(repair *pb.TakenOrders, generation uint64) (executedOrders, error) {
	if repair == nil {
		return executedOrders{baseGeneration: generation}, nil
	}
	next, err := t.sharedPrefix(repair)
	if err != nil {
		return executedOrders{}, err
	}
	encoded := repair.GetOrders()
	if len(encoded)%encodedOrderBytes != 0 {
		return executedOrders{}, &RepairError{Reason: "the record of taken orders is cut short"}
	}
	for ; len(encoded) > 0; encoded = encoded[encodedOrderBytes:] {
		order := decodeOrder(encoded)
		if order.generation <= next.newest() {
			return executedOrders{}, &RepairError{Reason: "the generations of the taken orders do not rise"}
		}
		next.append(order)
	}
	if next.newest() != generation {
		return executedOrders{}, &RepairError{Reason: "the record of taken orders does not lead to the generation"}
	}
	return next, nil
}

// kept returns the part of this record that a repair builds on.
func (t *executedOrders) sharedPrefix(repair *pb.TakenOrders) (executedOrders, error) {
	next := executedOrders{baseGeneration: repair.GetBase(), firstChunk: repair.GetFirst()}
	count := uint64(repair.GetKept())
	if count == 0 {
		return next, nil
	}
	start := repair.GetFirst() - t.firstChunk // wraps to beyond the end if this record begins later
	if start > uint64(len(t.full)) || start+count > t.endChunk()-t.firstChunk {
		return executedOrders{}, &RepairError{Reason: "the repair builds on taken orders that are not here"}
	}
	full := t.full[start:]
	if count > uint64(len(full)) {
		next.partial = t.partial
		count = uint64(len(full))
	}
	next.full = slices.Clip(full[:count])
	return next, nil
}
