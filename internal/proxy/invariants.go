package proxy

import "sync/atomic"

// usedSequence is the highest sequence of a snapshot that a request has used. It is safe for concurrent use.
type usedSequence struct{ highest atomic.Uint64 }

// floor is the sequence that a request which begins now must not go below.
func (u *usedSequence) floor() uint64 { return u.highest.Load() }

// use notes that a request uses a snapshot. It is cheap: sequences rise seldom.
func (u *usedSequence) raise(sequence uint64) {
	for {
		highest := u.highest.Load()
		if sequence <= highest || u.highest.CompareAndSwap(highest, sequence) {
			return
		}
	}
}

// regressions tells whether a snapshot is older than the one before it in any way: sequence and generation only rise
// within a process, and together.
func isRegression(before, after *snapshot) bool {
	return after.sequence < before.sequence || after.generation < before.generation ||
		after.sequence == before.sequence && after.generation != before.generation
}
