package proxy

import "sync/atomic"

// memoryLimit bounds the memory that request and response bodies use at the same time, in bytes. It is safe for
// concurrent use.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

func newMemoryLimit(limit int64) *memoryLimit { return &memoryLimit{limit: limit} }

// reserve charges n bytes. It returns false, and charges nothing, if that would exceed the limit.
func (m *memoryLimit) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// release releases n charged bytes.
func (m *memoryLimit) release(n int64) { m.used.Add(-n) }
