package ringtest

import (
	"bytes"
	"math/rand/v2"
)

// sectorBytes is the part of a write that is on disk whole or not at all.
const sectorBytes = 512

// operation is a write, or a change of length if data is nil.
type operation struct {
	offset int // of a write
	data   []byte
	length int // of a change of length
}

// content is a file: what the process sees, what is on disk, and the operations in between.
type content struct {
	seen    []byte
	synced  []byte
	pending []operation
}

func (c *content) do(next operation) {
	if next.data != nil {
		next.data = bytes.Clone(next.data)
	}
	c.pending = append(c.pending, next)
	c.seen = next.apply(c.seen)
}

// apply returns the file's bytes after the operation.
func (o operation) apply(file []byte) []byte {
	if o.data == nil {
		return setLength(file, o.length)
	}
	if end := o.offset + len(o.data); end > len(file) {
		file = setLength(file, end)
	}
	copy(file[o.offset:], o.data)
	return file
}

func setLength(file []byte, length int) []byte {
	if length <= len(file) {
		return file[:length:length]
	}
	return append(file, make([]byte, length-len(file))...)
}

// sync puts everything on disk.
func (c *content) sync() {
	c.pending = nil
	c.synced = append(c.synced[:0], c.seen...)
}

// losePower leaves what a loss of power may leave.
func (c *content) losePower(random *rand.Rand, everything bool) {
	if !everything {
		c.keepSome(random)
	}
	c.pending = nil
	c.seen = bytes.Clone(c.synced)
}

// keepSome puts some of the pending operations on disk: each is there, missing or torn.
func (c *content) keepSome(random *rand.Rand) {
	for _, next := range c.pending {
		switch random.IntN(4) {
		case 0: // missing
		case 1:
			c.synced = next.apply(c.synced)
		case 2:
			c.applyPrefix(next, random)
		case 3:
			c.applySectors(next, random)
		}
	}
}

// applyPrefix does a write up to some byte.
func (c *content) applyPrefix(next operation, random *rand.Rand) {
	if len(next.data) > 0 {
		next.data = next.data[:random.IntN(len(next.data)+1)]
	}
	c.synced = next.apply(c.synced)
}

// applySectors does some sectors of a write.
func (c *content) applySectors(next operation, random *rand.Rand) {
	if next.data == nil {
		c.synced = next.apply(c.synced)
		return
	}
	for start := 0; start < len(next.data); {
		end := min(start+sectorBytes-(next.offset+start)%sectorBytes, len(next.data))
		if random.IntN(2) == 0 {
			part := operation{offset: next.offset + start, data: next.data[start:end]}
			c.synced = part.apply(c.synced)
		}
		start = end
	}
}
