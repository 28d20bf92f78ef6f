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
	// takenChunkLength is the number of orders in a full chunk.
	takenChunkLength = 64
	// takenChunkLimit is the number of full chunks that are kept.
	takenChunkLimit = 256
	// ExecutedOrdersCapacity is the number of orders that are sure to be remembered.
	ExecutedOrdersCapacity = takenChunkLimit * takenChunkLength

	// orderDigestBytes is the length of the digest by which an order is known again.
	orderDigestBytes = 16
	// takenOrderBytes is the encoded length of a takenOrder.
	takenOrderBytes = 8 + orderDigestBytes
)

// orderDigest is the start of the SHA-256 of an order with the generation that it builds on.
type orderDigest [orderDigestBytes]byte

// takenOrder is an order that was taken.
type takenOrder struct {
	generation uint64 // that it brought into force
	digest     orderDigest
}

// takenChunk is a full part of the record. It is shared between snapshots and never written to.
type takenChunk struct {
	orders [takenChunkLength]takenOrder
	digest uint64
}

// takenOrders is the record of the orders that were taken, the oldest first. It is an immutable value: a later
// record shares the full chunks of the earlier one. Chunks are numbered, and keep their numbers when older ones are
// dropped, so that replicas can compare them. The newest generation of the record is that of the snapshot that holds it. The zero
// value is the record before the first order.
type takenOrders struct {
	base  uint64 // generation that the oldest order builds on
	first uint64 // number of the oldest chunk
	full  []*takenChunk
	open  []takenOrder // less than a chunk
}

// len is the number of orders.
func (t *takenOrders) len() int { return len(t.full)*takenChunkLength + len(t.open) }

// at returns an order; index 0 is the oldest.
func (t *takenOrders) at(index int) takenOrder {
	chunk := index / takenChunkLength
	if chunk < len(t.full) {
		return t.full[chunk].orders[index%takenChunkLength]
	}
	return t.open[index%takenChunkLength]
}

// newest is the generation that the newest order brought into force.
func (t *takenOrders) newest() uint64 {
	if count := t.len(); count > 0 {
		return t.at(count - 1).generation
	}
	return t.base
}

// reaches reports whether an order that was taken on a generation would still be in the record.
func (t *takenOrders) reaches(generation uint64) bool { return generation >= t.base }

// takenOn returns the order that was taken on a generation. There is none if the generation was never in force,
// is the newest, or is not reached.
func (t *takenOrders) takenOn(generation uint64) (takenOrder, bool) {
	next := 0
	if generation != t.base {
		place := sort.Search(t.len(), func(index int) bool { return t.at(index).generation >= generation })
		if place == t.len() || t.at(place).generation != generation {
			return takenOrder{}, false
		}
		next = place + 1
	}
	if next == t.len() {
		return takenOrder{}, false
	}
	return t.at(next), true
}

// after returns the record after a change from the newest generation to another. Without the digest of an order,
// nothing before the other generation is known any more.
func (t *takenOrders) after(generation uint64, digest []byte) takenOrders {
	if generation == t.newest() && len(digest) == 0 {
		return *t
	}
	if generation <= t.newest() || len(digest) != orderDigestBytes {
		return takenOrders{base: generation}
	}
	next := *t
	next.add(takenOrder{generation: generation, digest: orderDigest(digest)})
	return next
}

// end is the number after that of the newest chunk.
func (t *takenOrders) end() uint64 {
	end := t.first + uint64(len(t.full))
	if len(t.open) > 0 {
		end++
	}
	return end
}

// add appends an order to a record that no snapshot holds yet. What it shares with others is copied.
func (t *takenOrders) add(order takenOrder) {
	if len(t.open)+1 < takenChunkLength {
		open := make([]takenOrder, len(t.open)+1)
		copy(open, t.open)
		open[len(t.open)] = order
		t.open = open
		return
	}
	chunk := &takenChunk{}
	copy(chunk.orders[:], t.open)
	chunk.orders[takenChunkLength-1] = order
	chunk.digest = digestOrders(chunk.orders[:])
	t.open = nil
	t.full = append(slices.Clip(t.full), chunk)
	if len(t.full) > takenChunkLimit {
		t.dropOldest()
	}
}

func (t *takenOrders) dropOldest() {
	t.base = t.full[0].orders[takenChunkLength-1].generation
	t.full = slices.Clone(t.full[1:])
	t.first++
}

// appendOrders appends the encoded form of orders.
func appendOrders(buffer []byte, orders []takenOrder) []byte {
	for _, order := range orders {
		buffer = binary.LittleEndian.AppendUint64(buffer, order.generation)
		buffer = append(buffer, order.digest[:]...)
	}
	return buffer
}

func decodeOrder(data []byte) takenOrder {
	return takenOrder{
		generation: binary.LittleEndian.Uint64(data),
		digest:     orderDigest(data[8:takenOrderBytes]),
	}
}

func digestOrders(orders []takenOrder) uint64 {
	return xxhash.Sum64(appendOrders(make([]byte, 0, len(orders)*takenOrderBytes), orders))
}
