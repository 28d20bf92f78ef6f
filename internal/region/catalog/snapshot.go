package catalog

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Snapshot is the control state after a change. It is immutable. The zero value is not usable, see Empty.
type Snapshot struct {
	sequence   uint64                 // number of the last change
	generation uint64                 // generation of the configuration in force
	ranges     [RangeCount]*itemRange // items, partitioned by rangeIndex
	executed   executedOrders         // record of the executed orders
}

var emptySnapshot = newEmptySnapshot()

func newEmptySnapshot() *Snapshot {
	snapshot := &Snapshot{}
	for index := range snapshot.ranges {
		snapshot.ranges[index] = &itemRange{}
	}
	return snapshot
}

// Empty returns the state before the first change: sequence and generation 0, no items.
func Empty() *Snapshot { return emptySnapshot }

// Sequence returns the number of the last change, be it of the configuration or of an evacuation. It is 0 before the
// first change, and for a nil snapshot, which stands for no state.
func (s *Snapshot) Sequence() uint64 {
	if s == nil {
		return 0
	}
	return s.sequence
}

// Generation returns the operator's number of the configuration in force, or 0 before the first configuration.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Get returns the item with a kind and a name.
func (s *Snapshot) Get(kind, name string) (*pb.Item, bool) {
	return s.ranges[rangeIndex(kind, name)].get(kind, name)
}

// Items returns the items of a kind, sorted by sort key and name. The caller owns the slice.
func (s *Snapshot) Items(kind string) []*pb.Item {
	var items []*pb.Item
	for _, itemRange := range s.ranges {
		items = append(items, itemRange.ofKind(kind)...)
	}
	slices.SortFunc(items, compareOrder)
	return items
}

func compareOrder(a, b *pb.Item) int {
	if order := cmp.Compare(a.GetOrder(), b.GetOrder()); order != 0 {
		return order
	}
	return cmp.Compare(a.GetName(), b.GetName())
}

// Kinds returns the kinds of all items, sorted.
func (s *Snapshot) Kinds() []string {
	seen := make(map[string]bool)
	for _, itemRange := range s.ranges {
		for _, item := range itemRange.items {
			seen[item.GetKind()] = true
		}
	}
	kinds := make([]string, 0, len(seen))
	for kind := range seen {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Len returns the number of items of all kinds.
func (s *Snapshot) Len() int {
	count := 0
	for _, itemRange := range s.ranges {
		count += len(itemRange.items)
	}
	return count
}

// Evacuated reports whether a zone is evacuated: no requests may be sent to its servers.
func (s *Snapshot) Evacuated(zone string) bool {
	_, evacuated := s.Get(KindEvacuation, zone)
	return evacuated
}

// EvacuatedZones returns the evacuated zones, in the order of their evacuations.
func (s *Snapshot) EvacuatedZones() []string {
	items := s.Items(KindEvacuation)
	zones := make([]string, len(items))
	for index, item := range items {
		zones[index] = item.GetName()
	}
	return zones
}

// ExecutedOrders returns the number of executed orders in the record and the generation that the oldest of these orders
// builds on.
// Whether an order on an earlier generation was executed is unknown. Only control machines record executed orders.
func (s *Snapshot) ExecutedOrders() (count int, since uint64) {
	return s.executed.len(), s.executed.baseGeneration
}

// Apply returns the state after the next change. The error is a *SequenceError if the change's sequence is not
// Sequence()+1. The change's items become part of the state without being copied.
func (s *Snapshot) Apply(change *pb.Change) (*Snapshot, error) {
	if change.GetSequence() != s.sequence+1 {
		return nil, &SequenceError{Have: s.sequence, Got: change.GetSequence()}
	}
	editor := newEditor(s)
	if change.GetReplacesAll() {
		editor.removeOperatorItems()
	}
	for _, key := range change.GetRemovals() {
		editor.remove(key.GetKind(), key.GetName())
	}
	for _, item := range change.GetUpserts() {
		editor.upsert(item)
	}
	editor.next.executed = s.executed.afterChange(change.GetGeneration(), change.GetOrderDigest())
	return editor.snapshot(change.GetSequence(), change.GetGeneration()), nil
}

// Equal reports whether two snapshots are the same state, including the record of executed orders.
func (s *Snapshot) Equal(other *Snapshot) bool {
	return proto.Equal(s.ReplicaDigests(), other.ReplicaDigests()) &&
		s.executed.baseGeneration == other.executed.baseGeneration
}

// ForAgents returns a change without the digest of its order, which only control machines record.
func ForAgents(change *pb.Change) *pb.Change {
	if len(change.GetOrderDigest()) == 0 {
		return change
	}
	return &pb.Change{
		Sequence:    change.GetSequence(),
		Generation:  change.GetGeneration(),
		Upserts:     change.GetUpserts(),
		Removals:    change.GetRemovals(),
		ReplacesAll: change.GetReplacesAll(),
	}
}
