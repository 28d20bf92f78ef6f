package catalog

import (
	"encoding/hex"
	"strconv"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Earlier versions kept the last orders that were taken as items of their own: the name was the SHA-256 of the
// order in hex, the body the generation, the position the sequence of the change.

const (
	// kindTaken is the kind of these items.
	kindTaken = "taken"
	// takenItemLimit is the number of them that were kept.
	takenItemLimit = 64
)

// MigrateTaken returns the state with the orders that an earlier version kept as items in the record of taken
// orders, and whether there were any.
func (s *Snapshot) MigrateTaken() (migrated *Snapshot, found bool) {
	items := s.Items(kindTaken)
	if len(items) == 0 {
		return s, false
	}
	editor := newEditor(s)
	for _, item := range items {
		editor.remove(kindTaken, item.GetName())
	}
	if s.taken.len() == 0 {
		editor.next.taken = takenFromItems(items, s.generation)
	}
	return editor.snapshot(s.sequence, s.generation), true
}

// takenFromItems makes a record of items, the oldest first. The generation that the oldest order builds on is
// only known if none were dropped before it.
func takenFromItems(items []*pb.Item, generation uint64) takenOrders {
	unknown := takenOrders{base: generation}
	var record takenOrders
	for index, item := range items {
		order, ok := orderOfItem(item)
		if !ok || order.generation <= record.newest() {
			return unknown
		}
		if index == 0 && len(items) >= takenItemLimit {
			record.base = order.generation
			continue
		}
		record.add(order)
	}
	if record.newest() != generation {
		return unknown
	}
	return record
}

func orderOfItem(item *pb.Item) (takenOrder, bool) {
	generation, err := strconv.ParseUint(string(item.GetBody()), 10, 64)
	if err != nil {
		return takenOrder{}, false
	}
	digest, err := hex.DecodeString(item.GetName())
	if err != nil || len(digest) < orderDigestBytes {
		return takenOrder{}, false
	}
	return takenOrder{generation: generation, digest: orderDigest(digest[:orderDigestBytes])}, true
}
