package catalog

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// The orders on the configuration that were taken are remembered, so that one that comes again is acknowledged
// again however many changes were made since. The record is part of the replicated state but not of what agents
// and proxies carry.
//
// Each order builds on the generation that the one before it brought into force. So the record is a sequence
// without gaps: the order that was taken on a generation is the one that follows that generation's own.

const (
	// chunkOrders is the number of orders in a full chunk.
	chunkOrders = 64
	// maxFullChunks is the number of full chunks that are kept.
	maxFullChunks = 256
	// ExecutedOrdersCapacity is the number of orders that are sure to be remembered.
	ExecutedOrdersCapacity = maxFullChunks * chunkOrders

	// orderDigestBytes is the length of the digest by which an order is known again.
	orderDigestBytes = 16
	// encodedOrderBytes is the encoded length of a executedOrder.
	encodedOrderBytes = 8 + orderDigestBytes
)

// orderDigest is the start of the SHA-256 of an order with the generation that it builds on.
type orderDigest [orderDigestBytes]byte

// executedOrder is an order that was taken.
type executedOrder struct {
	generation uint64 // that it brought into force
	digest     orderDigest
}

// orderChunk is a full part of the record. It is shared between snapshots and never written to.
type orderChunk struct {
	orders [chunkOrders]executedOrder
	digest uint64
}

// executedOrders is the record of the orders that were taken, the oldest first. It is an immutable value: a later
// record shares the full chunks of the earlier one. Chunks are numbered, and keep their numbers when older ones are
// dropped, so that replicas can compare them. The newest generation of the record is that of the snapshot that holds it. The zero
// value is the record before the first order.
type executedOrders struct {
	baseGeneration uint64 // generation that the oldest order builds on
	firstChunk     uint64 // number of the oldest chunk
	full           []*orderChunk
	partial        []executedOrder // less than a chunk
}

// len is the number of orders.
func (t *executedOrders) len() int { return len(t.full)*chunkOrders + len(t.partial) }

// at returns an order; index 0 is the oldest.
func (t *executedOrders) at(index int) executedOrder {
	chunk := index / chunkOrders
	if chunk < len(t.full) {
		return t.full[chunk].orders[index%chunkOrders]
	}
	return t.partial[index%chunkOrders]
}

// newest is the generation that the newest order brought into force.
func (t *executedOrders) newest() uint64 {
	if count := t.len(); count > 0 {
		return t.at(count - 1).generation
	}
	return t.baseGeneration
}

// reaches reports whether an order that was taken on a generation would still be in the record.
func (t *executedOrders) covers(generation uint64) bool { return generation >= t.baseGeneration }

// executedOn returns the order that was taken on a generation. There is none if the generation was never in force,
// is the newest, or is not reached.
func (t *executedOrders) executedOn(generation uint64) (executedOrder, bool) {
	next := 0
	if generation != t.baseGeneration {
		index := sort.Search(t.len(), func(index int) bool { return t.at(index).generation >= generation })
		if index == t.len() || t.at(index).generation != generation {
			return executedOrder{}, false
		}
		next = index + 1
	}
	if next == t.len() {
		return executedOrder{}, false
	}
	return t.at(next), true
}

// after returns the record after a change from the newest generation to another. Without the digest of an order,
// nothing before the other generation is known any more.
func (t *executedOrders) afterChange(generation uint64, digest []byte) executedOrders {
	if generation == t.newest() && len(digest) == 0 {
		return *t
	}
	if generation <= t.newest() || len(digest) != orderDigestBytes {
		return executedOrders{baseGeneration: generation}
	}
	next := *t
	next.append(executedOrder{generation: generation, digest: orderDigest(digest)})
	return next
}

// end is the number after that of the newest chunk.
func (t *executedOrders) endChunk() uint64 {
	end := t.firstChunk + uint64(len(t.full))
	if len(t.partial) > 0 {
		end++
	}
	return end
}

// add appends an order to a record that no snapshot holds yet. What it shares with others is copied.
func (t *executedOrders) append(order executedOrder) {
	if len(t.partial)+1 < chunkOrders {
		open := make([]executedOrder, len(t.partial)+1)
		copy(open, t.partial)
		open[len(t.partial)] = order
		t.partial = open
		return
	}
	chunk := &orderChunk{}
	copy(chunk.orders[:], t.partial)
	chunk.orders[chunkOrders-1] = order
	chunk.digest = digestOrders(chunk.orders[:])
	t.partial = nil
	t.full = append(slices.Clip(t.full), chunk)
	if len(t.full) > maxFullChunks {
		t.discardOldest()
	}
}

func (t *executedOrders) discardOldest() {
	t.baseGeneration = t.full[0].orders[chunkOrders-1].generation
	t.full = slices.Clone(t.full[1:])
	t.firstChunk++
}

// appendOrders appends the encoded form of orders.
func appendOrders(buffer []byte, orders []executedOrder) []byte {
	for _, order := range orders {
		buffer = binary.LittleEndian.AppendUint64(buffer, order.generation)
		buffer = append(buffer, order.digest[:]...)
	}
	return buffer
}

func decodeOrder(data []byte) executedOrder {
	return executedOrder{
		generation: binary.LittleEndian.Uint64(data),
		digest:     orderDigest(data[8:encodedOrderBytes]),
	}
}

func digestOrders(orders []executedOrder) uint64 {
	return xxhash.Sum64(appendOrders(make([]byte, 0, len(orders)*encodedOrderBytes), orders))
}
