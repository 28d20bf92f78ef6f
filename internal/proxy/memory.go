package proxy

import "sync/atomic"

// memoryBound bounds the bytes of request and answer bodies that are held at the same time.
type memoryBound struct {
	limit int64
	used  atomic.Int64
}

func newMemoryBound(limit int64) *memoryBound { return &memoryBound{limit: limit} }

// take charges bytes and tells whether there was room for them.
func (m *memoryBound) take(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// give returns bytes that were charged.
func (m *memoryBound) give(bytes int64) { m.used.Add(-bytes) }
