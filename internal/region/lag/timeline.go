// Package lag measures how far a reader lags behind a numbered sequence of changes: the lag is the time for which the
// reader has lacked a change that is known locally. Timeline measures the lag of a reader, and Episode detects when a lag
// starts to exceed a threshold and when it stops exceeding it.
//
// The package does not determine why a reader lags, and its results are used for logs and counters only. It reads no
// clock: all times come from the caller's monotonic clock. docs/region/config-delivery.md lists the expected delays.
package lag

import "time"

// timelineCapacity is the maximum number of entries of a Timeline. It covers minutes of changes at a few per second. An
// entry takes 16 bytes.
const timelineCapacity = 256

// entry is a sequence number and the time at which it was reached.
type entry struct {
	sequence  uint64
	reachedAt time.Duration
}

// Timeline records in a ring buffer of fixed size when the latest sequence numbers were reached. Its methods do not
// allocate. The zero value is empty and ready for use. A Timeline is not safe for concurrent use.
type Timeline struct {
	ring   [timelineCapacity]entry // entries in ascending order of sequence and time, starting at index oldest
	oldest int                     // index of the oldest entry
	count  int
}

// Newest returns the highest recorded sequence number, or 0 if there is none.
func (t *Timeline) Newest() uint64 {
	if t.count == 0 {
		return 0
	}
	return t.entry(t.count - 1).sequence
}

// Record records that a sequence number was reached at a time, which must not be earlier than the times of previous
// entries. A number that is not above the newest one is ignored. If the ring buffer is full, the oldest entry is
// overwritten.
func (t *Timeline) Record(sequence uint64, at time.Duration) {
	if sequence <= t.Newest() {
		return
	}
	if t.count == timelineCapacity {
		t.oldest = (t.oldest + 1) % timelineCapacity
		t.count--
	}
	t.count++
	*t.entry(t.count - 1) = entry{sequence: sequence, reachedAt: at}
}

// FirstMissing returns the time since which a reader at a sequence number has lacked a change, and whether it lacks one.
// For a reader that is behind the oldest entry it returns the time of that entry, so that the lag is a lower bound.
func (t *Timeline) FirstMissing(sequence uint64) (since time.Duration, lacks bool) {
	if sequence >= t.Newest() {
		return 0, false
	}
	since = t.entry(t.count - 1).reachedAt
	for index := t.count - 2; index >= 0 && t.entry(index).sequence > sequence; index-- {
		since = t.entry(index).reachedAt
	}
	return since, true
}

// Lag returns for how long, at the time now, a reader at a sequence number has lacked a change, or 0 if it lacks none. The
// lag starts no earlier than from, the time at which the reader appeared.
func (t *Timeline) Lag(now time.Duration, sequence uint64, from time.Duration) time.Duration {
	since, lacks := t.FirstMissing(sequence)
	if !lacks {
		return 0
	}
	return max(0, now-max(since, from))
}

// entry returns the entry at an index that is counted from the oldest entry.
func (t *Timeline) entry(index int) *entry { return &t.ring[(t.oldest+index)%timelineCapacity] }
