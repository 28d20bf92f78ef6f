package http

import (
	"slices"
	"sync"
)

// apart is how many answers of a node have to differ before that is relied on.
const apart = 8

// answers are the digests of the last answers of a node. Any goroutine may use them.
type answers struct {
	mu    sync.Mutex
	last  []uint64
	alike bool // two of them were
}

func (a *answers) add(digest uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.alike {
		return
	}
	if a.alike = slices.Contains(a.last, digest); a.alike {
		a.last = nil
		return
	}
	if len(a.last) == apart {
		a.last = slices.Delete(a.last, 0, 1)
	}
	a.last = append(a.last, digest)
}

// differ tells whether no two answers of the node are alike, as far as it has been heard.
func (a *answers) differ() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.last) == apart
}
