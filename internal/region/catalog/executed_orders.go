package catalog

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// The executed orders on the configuration are recorded, so that a retry of an order is acknowledged and not executed
// twice, even if other changes were made after the order. This is the at-most-once semantics of remote procedure calls
// (Birrell and Nelson, "Implementing Remote Procedure Calls", 1984). The record is part of the replicated state of the
// control machines, but not of the state that agents and proxies receive.
//
// Each order builds on the generation that the previous order put in force, so the record is a sequence without gaps:
// the order that was executed on a generation is the successor of the order that put the generation in force.

const (
	// chunkOrders is the number of orders in a full chunk.
	chunkOrders = 64
	// maxFullChunks is the number of full chunks that are retained.
	maxFullChunks = 256
	// ExecutedOrdersCapacity is the number of most recent orders that are guaranteed to be in the record.
	ExecutedOrdersCapacity = maxFullChunks * chunkOrders

	// orderDigestBytes is the length of the digest by which a retry is recognized.
	orderDigestBytes = 16
	// encodedOrderBytes is the encoded length of an executedOrder.
	encodedOrderBytes = 8 + orderDigestBytes
)

// orderDigest is the truncated SHA-256 of an order and the generation that it builds on.
type orderDigest [orderDigestBytes]byte

// executedOrder is the record of one order.
type executedOrder struct {
	generation uint64      // generation that the order put in force
	digest     orderDigest // digest by which a retry of the order is recognized
}

// orderChunk is a full chunk of the record. Snapshots share chunks, so a chunk is never modified.
type orderChunk struct {
	orders [chunkOrders]executedOrder
	digest uint64 // digest of the chunk, see digestOrders
}

// executedOrders is the record of the executed orders, oldest first. It is an immutable value: a later record shares
// the full chunks of an earlier one. Chunks are numbered and keep their numbers when older chunks are discarded, so
// that replicas can compare them. The newest generation of the record is that of its snapshot. The zero value is the
// record before the first order.
type executedOrders struct {
	baseGeneration uint64          // generation that the oldest order builds on
	firstChunk     uint64          // number of the oldest chunk
	full           []*orderChunk   // full chunks, the oldest first
	partial        []executedOrder // newest orders, fewer than chunkOrders
}

// len returns the number of orders.
func (e *executedOrders) len() int { return len(e.full)*chunkOrders + len(e.partial) }

// at returns an order; index 0 is the oldest.
func (e *executedOrders) at(index int) executedOrder {
	chunk := index / chunkOrders
	if chunk < len(e.full) {
		return e.full[chunk].orders[index%chunkOrders]
	}
	return e.partial[index%chunkOrders]
}

// newest returns the generation that the newest order put in force.
func (e *executedOrders) newest() uint64 {
	if count := e.len(); count > 0 {
		return e.at(count - 1).generation
	}
	return e.baseGeneration
}

// covers reports whether the record reaches back to the order, if any, that was executed on a generation.
func (e *executedOrders) covers(generation uint64) bool { return generation >= e.baseGeneration }

// executedOn returns the order that was executed on a generation. There is none if the generation was never in force,
// is the newest, or is not covered.
func (e *executedOrders) executedOn(generation uint64) (executedOrder, bool) {
	next := 0
	if generation != e.baseGeneration {
		index := sort.Search(e.len(), func(index int) bool { return e.at(index).generation >= generation })
		if index == e.len() || e.at(index).generation != generation {
			return executedOrder{}, false
		}
		next = index + 1
	}
	if next == e.len() {
		return executedOrder{}, false
	}
	return e.at(next), true
}

// afterChange returns the record after a change from the newest generation to another one. If the change has no digest
// of an order, or the generation does not rise, the sequence has a gap. The record then starts anew and covers nothing
// before that generation.
func (e *executedOrders) afterChange(generation uint64, digest []byte) executedOrders {
	if generation == e.newest() && len(digest) == 0 {
		return *e
	}
	if generation <= e.newest() || len(digest) != orderDigestBytes {
		return executedOrders{baseGeneration: generation}
	}
	next := *e
	next.append(executedOrder{generation: generation, digest: orderDigest(digest)})
	return next
}

// endChunk returns the number of the newest chunk, full or partial, plus one.
func (e *executedOrders) endChunk() uint64 {
	end := e.firstChunk + uint64(len(e.full))
	if len(e.partial) > 0 {
		end++
	}
	return end
}

// append appends an order to a record that belongs to no snapshot yet. It copies slices that are shared with other
// records.
func (e *executedOrders) append(order executedOrder) {
	if len(e.partial)+1 < chunkOrders {
		partial := make([]executedOrder, len(e.partial)+1)
		copy(partial, e.partial)
		partial[len(e.partial)] = order
		e.partial = partial
		return
	}
	chunk := &orderChunk{}
	copy(chunk.orders[:], e.partial)
	chunk.orders[chunkOrders-1] = order
	chunk.digest = digestOrders(chunk.orders[:])
	e.partial = nil
	e.full = append(slices.Clip(e.full), chunk)
	if len(e.full) > maxFullChunks {
		e.discardOldest()
	}
}

// discardOldest discards the oldest chunk. The record then no longer covers the orders of that chunk.
func (e *executedOrders) discardOldest() {
	e.baseGeneration = e.full[0].orders[chunkOrders-1].generation
	e.full = slices.Clone(e.full[1:])
	e.firstChunk++
}

// appendOrders appends the encoded form of orders.
func appendOrders(buffer []byte, orders []executedOrder) []byte {
	for _, order := range orders {
		buffer = binary.LittleEndian.AppendUint64(buffer, order.generation)
		buffer = append(buffer, order.digest[:]...)
	}
	return buffer
}

// decodeOrder decodes the first encodedOrderBytes of data.
func decodeOrder(data []byte) executedOrder {
	return executedOrder{
		generation: binary.LittleEndian.Uint64(data),
		digest:     orderDigest(data[8:encodedOrderBytes]),
	}
}

// digestOrders returns the digest of a chunk, by which replicas compare chunks.
func digestOrders(orders []executedOrder) uint64 {
	return xxhash.Sum64(appendOrders(make([]byte, 0, len(orders)*encodedOrderBytes), orders))
}
