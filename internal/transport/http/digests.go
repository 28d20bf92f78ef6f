package http

import (
	"slices"
	"sync"
)

// apart is how many answers in a row have to differ before that is relied on.
const apart = 16

// answers are the digests of the last answers of requests served, of all nodes: they are of one kind. Any goroutine may use
// them.
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

// differ tells whether no two answers are alike, as far as any have been heard.
func (a *answers) differ() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.last) == apart
}
