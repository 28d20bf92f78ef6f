package store

import (
	"maps"
	"slices"
	"strings"
)

// Memory is a store in memory. Its values are lost when the process ends, unless they are handed to the next process. It is for tests
// and for sidecars that store nothing; a File reads from a Memory, too.
type Memory struct {
	values   map[string][]byte
	maxBytes int
}

// NewMemory creates a store of up to maxBytes bytes of keys and values.
func NewMemory(maxBytes int) *Memory { return &Memory{values: map[string][]byte{}, maxBytes: maxBytes} }

// Get returns a copy of the value of a key.
func (m *Memory) Get(key string) ([]byte, bool) {
	v, ok := m.values[key]
	return append([]byte{}, v...), ok
}

// Each calls do for each key with a prefix, in the order of the keys.
func (m *Memory) Each(prefix string, do func(key string, value []byte) error) error {
	for _, k := range slices.Sorted(maps.Keys(m.values)) {
		if strings.HasPrefix(k, prefix) {
			if err := do(k, append([]byte{}, m.values[k]...)); err != nil {
				return err
			}
		}
	}
	return nil
}

// Commit applies a batch as a whole, or returns ErrFull.
func (m *Memory) Commit(b *Batch) error {
	next, err := m.valuesAfter(b)
	if err == nil {
		m.values = next
	}
	return err
}

// valuesAfter returns the values that a batch would leave, without changing the store.
func (m *Memory) valuesAfter(b *Batch) (map[string][]byte, error) {
	ops, err := b.Ops()
	if err != nil {
		return nil, err
	}
	next := maps.Clone(m.values)
	for _, o := range ops {
		switch {
		case o.To != "":
			maps.DeleteFunc(next, func(k string, _ []byte) bool { return k >= o.Key && k < o.To })
		case o.Value == nil:
			delete(next, o.Key)
		default:
			next[o.Key] = o.Value
		}
	}
	size := 0
	for k, v := range next {
		size += len(k) + len(v)
	}
	if size > m.maxBytes {
		return nil, ErrFull
	}
	return next, nil
}

// Close does nothing: the values stay readable.
func (m *Memory) Close() error { return nil }
