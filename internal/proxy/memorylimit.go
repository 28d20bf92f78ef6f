package proxy

import "sync/atomic"

// memoryLimit bounds the bytes of request and answer bodies that are held at the same time.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

func newMemoryLimit(limit int64) *memoryLimit { return &memoryLimit{limit: limit} }

// take charges bytes and tells whether there was room for them.
func (m *memoryLimit) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// give returns bytes that were charged.
func (m *memoryLimit) release(n int64) { m.used.Add(-n) }
