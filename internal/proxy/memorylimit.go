package proxy

import "sync/atomic"

// memoryLimit bounds the bytes of request and answer bodies that are held at the same time.
type memoryLimit struct {
	limit int64
	used  atomic.Int64
}

func newMemoryLimit(limit int64) *memoryLimit { return &memoryLimit{limit: limit} }

// take charges bytes and tells whether there was room for them.
func (m *memoryLimit) reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// give returns bytes that were charged.
func (m *memoryLimit) release(bytes int64) { m.used.Add(-bytes) }
