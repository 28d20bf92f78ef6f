package catalog

import (
	"encoding/hex"
	"strconv"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Earlier versions recorded the last executed orders as items. The name of such an item was the SHA-256 of the order in
// hex, its body the generation that the order put in force, and its sort key the sequence of the change.

const (
	// legacyOrderKind is the kind of the items that recorded executed orders.
	legacyOrderKind = "taken"
	// legacyOrderLimit is the number of items of legacyOrderKind that were retained.
	legacyOrderLimit = 64
)

// MigrateLegacyOrders moves the orders that an earlier version recorded as items to the record of executed orders. It
// returns the snapshot itself and false if there are no such items.
func (s *Snapshot) MigrateLegacyOrders() (migrated *Snapshot, found bool) {
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

// ordersFromItems returns the record of the orders in items, which must be sorted with the oldest first. If the items
// are not a complete sequence up to the generation in force, the result is an empty record that covers nothing before
// that generation. The generation on which the oldest order builds is only known if no item of an earlier
// order was discarded.
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

// orderFromItem decodes the order of an item. It returns false if the item is malformed.
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
