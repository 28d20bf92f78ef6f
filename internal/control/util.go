package control

import (
	"maps"
	"slices"

	"fieldrelay/internal/catalog"
)

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}

// sequenceOf is 0 for nil.
func sequenceOf(snapshot *catalog.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Sequence()
}
