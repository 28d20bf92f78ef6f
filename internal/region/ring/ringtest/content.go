package ringtest

import (
	"bytes"
	"math/rand/v2"
)

// sectorBytes is the unit in which the disk writes atomically.
const sectorBytes = 512

// operation is a write, or a change of length if data is nil.
type operation struct {
	offset int // offset of a write
	data   []byte
	length int // new length of the file, if data is nil
}

// content is the content of a file: as the process sees it, as it is on disk, and the operations in between.
type content struct {
	visible []byte
	synced  []byte
	pending []operation
}

// apply performs an operation, which is visible to the process at once and durable after the next sync.
func (c *content) apply(next operation) {
	if next.data != nil {
		next.data = bytes.Clone(next.data)
	}
	c.pending = append(c.pending, next)
	c.visible = next.applyTo(c.visible)
}

// applyTo returns the bytes of a file after the operation. It may reuse the slice.
func (o operation) applyTo(file []byte) []byte {
	if o.data == nil {
		return setLength(file, o.length)
	}
	if end := o.offset + len(o.data); end > len(file) {
		file = setLength(file, end)
	}
	copy(file[o.offset:], o.data)
	return file
}

// setLength truncates a file, or extends it by zero bytes.
func setLength(file []byte, length int) []byte {
	if length <= len(file) {
		return file[:length:length]
	}
	return append(file, make([]byte, length-len(file))...)
}

// sync makes everything durable.
func (c *content) sync() {
	c.pending = nil
	c.synced = append(c.synced[:0], c.visible...)
}

// losePower simulates a power failure: synced data survives, and so do some of the pending operations unless allLost
// is set.
func (c *content) losePower(random *rand.Rand, allLost bool) {
	if !allLost {
		c.applySome(random)
	}
	c.pending = nil
	c.visible = bytes.Clone(c.synced)
}

// applySome applies some of the pending operations to the durable content: each is complete, missing or torn.
func (c *content) applySome(random *rand.Rand) {
	for _, next := range c.pending {
		switch random.IntN(4) {
		case 0: // missing
		case 1:
			c.synced = next.applyTo(c.synced)
		case 2:
			c.applyPrefix(next, random)
		case 3:
			c.applySectors(next, random)
		}
	}
}

// applyPrefix makes a prefix of a write durable.
func (c *content) applyPrefix(next operation, random *rand.Rand) {
	if len(next.data) > 0 {
		next.data = next.data[:random.IntN(len(next.data)+1)]
	}
	c.synced = next.applyTo(c.synced)
}

// applySectors makes some sectors of a write durable.
func (c *content) applySectors(next operation, random *rand.Rand) {
	if next.data == nil {
		c.synced = next.applyTo(c.synced)
		return
	}
	for start := 0; start < len(next.data); {
		end := min(start+sectorBytes-(next.offset+start)%sectorBytes, len(next.data))
		if random.IntN(2) == 0 {
			part := operation{offset: next.offset + start, data: next.data[start:end]}
			c.synced = part.applyTo(c.synced)
		}
		start = end
	}
}
