package proxy

import "sync/atomic"

// usedSequence records the highest sequence of the snapshots that requests have used. It is safe for concurrent use.
type usedSequence struct{ highest atomic.Uint64 }

// floor returns the lowest sequence that a request that begins now may use.
func (u *usedSequence) floor() uint64 { return u.highest.Load() }

// raise records that a request uses a snapshot with the given sequence. It writes only if the sequence is new, which
// is rare.
func (u *usedSequence) raise(sequence uint64) {
	for {
		highest := u.highest.Load()
		if sequence <= highest || u.highest.CompareAndSwap(highest, sequence) {
			return
		}
	}
}

// isRegression reports whether a snapshot is older than its predecessor. Within a process, neither sequence nor
// generation ever decreases, and the generation changes only together with the sequence.
func isRegression(before, after *snapshot) bool {
	return after.sequence < before.sequence || after.generation < before.generation ||
		after.sequence == before.sequence && after.generation != before.generation
}
