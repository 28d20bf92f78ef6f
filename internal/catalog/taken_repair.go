package catalog

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// digests summarises the record: one digest for each chunk, the last of which may not be full.
func (t *takenOrders) digests() *pb.TakenDigests {
	digests := make([]uint64, 0, len(t.full)+1)
	for _, chunk := range t.full {
		digests = append(digests, chunk.digest)
	}
	if len(t.open) > 0 {
		digests = append(digests, digestOrders(t.open))
	}
	return &pb.TakenDigests{First: t.first, Chunks: digests}
}

// repairFor returns what a copy that the digests describe lacks of this record: the chunks from the first that
// differs on. Without digests it is all of them.
func (t *takenOrders) repairFor(copied *pb.TakenDigests) *pb.TakenOrders {
	own := t.digests().GetChunks()
	kept := 0
	for kept < len(own) {
		place := t.first + uint64(kept) - copied.GetFirst() // wraps to beyond the end if the copy begins later
		if place >= uint64(len(copied.GetChunks())) || copied.GetChunks()[place] != own[kept] {
			break
		}
		kept++
	}
	return &pb.TakenOrders{
		Base:   t.base,
		First:  t.first,
		Kept:   uint32(kept),
		Orders: t.encodeFrom(kept),
	}
}

// encodeFrom returns the encoded orders from a chunk on.
func (t *takenOrders) encodeFrom(chunk int) []byte {
	start := chunk * takenChunkLength
	if start >= t.len() {
		return nil
	}
	buffer := make([]byte, 0, (t.len()-start)*takenOrderBytes)
	for _, full := range t.full[min(chunk, len(t.full)):] {
		buffer = appendOrders(buffer, full.orders[:])
	}
	return appendOrders(buffer, t.open)
}

// restored returns the record that a repair brings to a generation. Without one, and for a copy that keeps no
// record, nothing before the generation is known.
func (t *takenOrders) restored(repair *pb.TakenOrders, generation uint64) (takenOrders, error) {
	if repair == nil {
		return takenOrders{base: generation}, nil
	}
	next, err := t.kept(repair)
	if err != nil {
		return takenOrders{}, err
	}
	encoded := repair.GetOrders()
	if len(encoded)%takenOrderBytes != 0 {
		return takenOrders{}, &RepairError{Reason: "the record of taken orders is cut short"}
	}
	for ; len(encoded) > 0; encoded = encoded[takenOrderBytes:] {
		order := decodeOrder(encoded)
		if order.generation <= next.newest() {
			return takenOrders{}, &RepairError{Reason: "the generations of the taken orders do not rise"}
		}
		next.add(order)
	}
	if next.newest() != generation {
		return takenOrders{}, &RepairError{Reason: "the record of taken orders does not lead to the generation"}
	}
	return next, nil
}

// kept returns the part of this record that a repair builds on.
func (t *takenOrders) kept(repair *pb.TakenOrders) (takenOrders, error) {
	next := takenOrders{base: repair.GetBase(), first: repair.GetFirst()}
	count := uint64(repair.GetKept())
	if count == 0 {
		return next, nil
	}
	start := repair.GetFirst() - t.first // wraps to beyond the end if this record begins later
	if start > uint64(len(t.full)) || start+count > t.end()-t.first {
		return takenOrders{}, &RepairError{Reason: "the repair builds on taken orders that are not here"}
	}
	full := t.full[start:]
	if count > uint64(len(full)) {
		next.open = t.open
		count = uint64(len(full))
	}
	next.full = slices.Clip(full[:count])
	return next, nil
}
