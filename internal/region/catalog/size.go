package catalog

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// MaxConfigurationBytes is the maximum encoded size of the items of a configuration. Control machines and agents send a
// whole configuration in one message, and keep it in memory and on disk.
const MaxConfigurationBytes = 8 << 20

// itemFieldBytes is the maximum number of bytes that an item takes in a message besides its own fields: a tag and the
// length.
const itemFieldBytes = 5

// configurationBytes returns the size of the configuration in a message, in bytes.
func (s *Snapshot) configurationBytes() int {
	total := 0
	for _, itemRange := range s.ranges {
		for _, item := range itemRange.items {
			if isOperatorKind(item.GetKind()) {
				total += encodedItemBytes(item)
			}
		}
	}
	return total
}

func encodedItemBytes(item *pb.Item) int { return proto.Size(item) + itemFieldBytes }

// checkSize returns a *TooLargeError if an order makes a configuration larger than MaxConfigurationBytes. An order that
// makes such a configuration smaller is valid.
func checkSize(before, after *Snapshot) error {
	size := after.configurationBytes()
	if size <= MaxConfigurationBytes || size < before.configurationBytes() {
		return nil
	}
	return &TooLargeError{Bytes: size, Limit: MaxConfigurationBytes}
}
