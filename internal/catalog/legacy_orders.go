package catalog

import (
	"encoding/hex"
	"strconv"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Earlier versions kept the last orders that were taken as items of their own: the name was the SHA-256 of the
// order in hex, the body the generation, the position the sequence of the change.

const (
	// legacyOrderKind is the kind of these items.
	legacyOrderKind = "taken"
	// legacyOrderLimit is the number of them that were kept.
	legacyOrderLimit = 64
)

// MigrateTaken returns the state with the orders that an earlier version kept as items in the record of taken
// orders, and whether there were any.
func (s *Snapshot) MigrateTaken() (migrated *Snapshot, found bool) {
	items := s.Items(legacyOrderKind)
	if len(items) == 0 {
		return s, false
	}
	editor := newEditor(s)
	for _, item := range items {
		editor.remove(legacyOrderKind, item.GetName())
	}
	if s.executed.len() == 0 {
		editor.next.executed = ordersFromItems(items, s.generation)
	}
	return editor.snapshot(s.sequence, s.generation), true
}

// ordersFromItems makes a record of items, the oldest first. The generation that the oldest order builds on is
// only known if none were dropped before it.
func ordersFromItems(items []*pb.Item, generation uint64) executedOrders {
	unknown := executedOrders{baseGeneration: generation}
	var record executedOrders
	for index, item := range items {
		order, ok := orderFromItem(item)
		if !ok || order.generation <= record.newest() {
			return unknown
		}
		if index == 0 && len(items) >= legacyOrderLimit {
			record.baseGeneration = order.generation
			continue
		}
		record.append(order)
	}
	if record.newest() != generation {
		return unknown
	}
	return record
}

func orderFromItem(item *pb.Item) (executedOrder, bool) {
	generation, err := strconv.ParseUint(string(item.GetBody()), 10, 64)
	if err != nil {
		return executedOrder{}, false
	}
	digest, err := hex.DecodeString(item.GetName())
	if err != nil || len(digest) < orderDigestBytes {
		return executedOrder{}, false
	}
	return executedOrder{generation: generation, digest: orderDigest(digest[:orderDigestBytes])}, true
}
