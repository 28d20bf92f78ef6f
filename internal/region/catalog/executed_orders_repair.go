package catalog

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// digests returns one digest for each chunk. The last chunk may be partial.
func (e *executedOrders) digests() *pb.ExecutedOrderDigests {
	digests := make([]uint64, 0, len(e.full)+1)
	for _, chunk := range e.full {
		digests = append(digests, chunk.digest)
	}
	if len(e.partial) > 0 {
		digests = append(digests, digestOrders(e.partial))
	}
	return &pb.ExecutedOrderDigests{First: e.firstChunk, Chunks: digests}
}

// repairFor returns the repair that turns the record described by the digests into this record. It contains all chunks
// from the first that differs, or all chunks if there are no digests.
func (e *executedOrders) repairFor(theirs *pb.ExecutedOrderDigests) *pb.ExecutedOrders {
	own := e.digests().GetChunks()
	shared := 0
	for shared < len(own) {
		position := e.firstChunk + uint64(shared) - theirs.GetFirst() // underflows beyond the end if the other record begins later
		if position >= uint64(len(theirs.GetChunks())) || theirs.GetChunks()[position] != own[shared] {
			break
		}
		shared++
	}
	return &pb.ExecutedOrders{
		Base:       e.baseGeneration,
		First:      e.firstChunk,
		KeptChunks: uint32(shared),
		Orders:     e.encodeFrom(shared),
	}
}

// encodeFrom returns the encoded orders of all chunks from an index on.
func (e *executedOrders) encodeFrom(chunk int) []byte {
	start := chunk * chunkOrders
	if start >= e.len() {
		return nil
	}
	buffer := make([]byte, 0, (e.len()-start)*encodedOrderBytes)
	for _, full := range e.full[min(chunk, len(e.full)):] {
		buffer = appendOrders(buffer, full.orders[:])
	}
	return appendOrders(buffer, e.partial)
}

// restore returns the record that results from a repair of the state to a generation. If the repair has no record, as
// in the replicas of agents, the result covers nothing before the generation. The error is a *RepairError.
func (e *executedOrders) restore(repair *pb.ExecutedOrders, generation uint64) (executedOrders, error) {
	if repair == nil {
		return executedOrders{baseGeneration: generation}, nil
	}
	next, err := e.sharedPrefix(repair)
	if err != nil {
		return executedOrders{}, err
	}
	encoded := repair.GetOrders()
	if len(encoded)%encodedOrderBytes != 0 {
		return executedOrders{}, &RepairError{Reason: "the record of executed orders is truncated"}
	}
	for ; len(encoded) > 0; encoded = encoded[encodedOrderBytes:] {
		order := decodeOrder(encoded)
		if order.generation <= next.newest() {
			return executedOrders{}, &RepairError{Reason: "the generations of the executed orders do not increase"}
		}
		next.append(order)
	}
	if next.newest() != generation {
		return executedOrders{}, &RepairError{Reason: "the record of executed orders does not end at its generation"}
	}
	return next, nil
}

// sharedPrefix returns the chunks of this record on which a repair builds.
func (e *executedOrders) sharedPrefix(repair *pb.ExecutedOrders) (executedOrders, error) {
	next := executedOrders{baseGeneration: repair.GetBase(), firstChunk: repair.GetFirst()}
	count := uint64(repair.GetKeptChunks())
	if count == 0 {
		return next, nil
	}
	start := repair.GetFirst() - e.firstChunk // underflows beyond the end if this record begins later
	if start > uint64(len(e.full)) || start+count > e.endChunk()-e.firstChunk {
		return executedOrders{}, &RepairError{Reason: "the repair builds on executed orders that this replica does not have"}
	}
	full := e.full[start:]
	if count > uint64(len(full)) {
		next.partial = e.partial
		count = uint64(len(full))
	}
	next.full = slices.Clip(full[:count])
	return next, nil
}
