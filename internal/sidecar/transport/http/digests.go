package http

import (
	"slices"
	"sync"
)

// minDistinct is the number of successive answers that must differ before answers are assumed to be distinct.
const minDistinct = 16

// answerDigests holds the digests of the last served answers of all servers, which are expected to give answers of one
// kind. It is safe for concurrent use.
type answerDigests struct {
	mu       sync.Mutex
	last     []uint64
	repeated bool // set for good once two digests were equal
}

func (d *answerDigests) add(digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.repeated {
		return
	}
	if d.repeated = slices.Contains(d.last, digest); d.repeated {
		d.last = nil
		return
	}
	if len(d.last) == minDistinct {
		d.last = slices.Delete(d.last, 0, 1)
	}
	d.last = append(d.last, digest)
}

// differ reports whether all answers so far were distinct and there were at least minDistinct of them.
func (d *answerDigests) differ() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.last) == minDistinct
}
