// Package lag measures how late a reader of a numbered sequence of changes is: for how long a change has been known
// that the reader lacks. It reads no clock; times are those of the caller's steady clock.
package lag

import "time"

// markCount bounds the marks that are kept: minutes of changes at a few a second.
const markCount = 256

// mark tells when a sequence number was reached.
type mark struct {
	sequence uint64
	at       time.Duration
}

// Timeline remember when the latest sequence numbers were reached, in a ring of fixed size. The zero value is empty.
// Marks are not safe for concurrent use.
type Timeline struct {
	ring  [markCount]mark
	first int // place of the oldest mark
	count int
}

// Newest is the highest sequence number noted, 0 before the first.
func (m *Timeline) Newest() uint64 {
	if m.count == 0 {
		return 0
	}
	return m.mark(m.count - 1).sequence
}

// Record remembers that a sequence number was reached. One that is not above the newest changes nothing.
func (m *Timeline) Record(sequence uint64, at time.Duration) {
	if sequence <= m.Newest() {
		return
	}
	if m.count == markCount {
		m.first = (m.first + 1) % markCount
		m.count--
	}
	m.count++
	*m.mark(m.count - 1) = mark{sequence: sequence, at: at}
}

// FirstMissing is the time since when a reader that holds a sequence number lacks a change, and whether it lacks one. For a
// reader that is further behind than the marks reach back, it is the time of the oldest mark: a lower bound of its lag.
func (m *Timeline) FirstMissing(held uint64) (since time.Duration, lacks bool) {
	if held >= m.Newest() {
		return 0, false
	}
	since = m.mark(m.count - 1).at
	for index := m.count - 2; index >= 0 && m.mark(index).sequence > held; index-- {
		since = m.mark(index).at
	}
	return since, true
}

// Lag is how long a reader that holds a sequence number has lacked a change, 0 if it lacks none. What was reached
// before the time from counts from then on.
func (m *Timeline) Lag(now time.Duration, held uint64, from time.Duration) time.Duration {
	since, lacks := m.FirstMissing(held)
	if !lacks {
		return 0
	}
	return max(0, now-max(since, from))
}

// mark is the one at a place counted from the oldest.
func (m *Timeline) mark(index int) *mark { return &m.ring[(m.first+index)%markCount] }
