package http

import (
	"slices"
	"sync"
)

// How many answers in a row have to differ before that is relied on: at first, and once two were alike. After that many a
// pair is too rare for the attempt that it costs where it comes on one connection.
const (
	apart      = 16
	apartAgain = 1024
)

// answers are the digests of the last answers of requests served, of all nodes: they are of one kind. Any goroutine may use
// them.
type answers struct {
	mu     sync.Mutex
	last   [apart]uint64
	heard  int // answers in all; the latest is at (heard-1) % apart
	row    int // how many came since two were alike
	needed int // how many have to; 0: apart
}

func (a *answers) add(digest uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Contains(a.last[:min(a.heard, apart)], digest) {
		a.row, a.needed = 0, apartAgain
	} else {
		a.row++
	}
	a.last[a.heard%apart] = digest
	a.heard++
}

// differ tells whether no two answers are alike, as far as any have been heard lately.
func (a *answers) differ() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.row >= max(apart, a.needed)
}
