package catalog

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// editor builds the next snapshot. It clones a range before it first modifies it.
type editor struct {
	next   Snapshot
	cloned [RangeCount]bool
}

// newEditor returns an editor that starts with the content of a snapshot.
func newEditor(base *Snapshot) *editor {
	return &editor{next: *base}
}

// writable returns a range that may be modified.
func (e *editor) writable(index int) *itemRange {
	if !e.cloned[index] {
		e.next.ranges[index] = e.next.ranges[index].clone()
		e.cloned[index] = true
	}
	return e.next.ranges[index]
}

func (e *editor) upsert(item *pb.Item) {
	e.writable(rangeIndex(item.GetKind(), item.GetName())).upsert(item)
}

func (e *editor) remove(kind, name string) {
	e.writable(rangeIndex(kind, name)).remove(kind, name)
}

func (e *editor) removeOperatorItems() {
	for index := range e.next.ranges {
		e.writable(index).removeOperatorItems()
	}
}

// snapshot returns the result. The editor must not be used afterwards.
func (e *editor) snapshot(sequence, generation uint64) *Snapshot {
	e.next.sequence = sequence
	e.next.generation = generation
	return &e.next
}
