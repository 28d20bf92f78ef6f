package catalog

import (
	pb "fieldrelay/api/fieldrelay/v1"
)

// editor builds the next snapshot. It clones each range of the base snapshot before the first modification of the
// range.
type editor struct {
	next   Snapshot
	cloned [RangeCount]bool // ranges that are not shared with the base snapshot
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

// snapshot returns the next snapshot. The editor must not be used afterwards.
func (e *editor) snapshot(sequence, generation uint64) *Snapshot {
	e.next.sequence = sequence
	e.next.generation = generation
	return &e.next
}
