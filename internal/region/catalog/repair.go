package catalog

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Digests returns the digests of the ranges. Two snapshots with the same range digests have the same items.
func (s *Snapshot) Digests() *pb.RangeDigests {
	digests := make([]uint64, RangeCount)
	for index, itemRange := range s.ranges {
		digests[index] = itemRange.digest
	}
	return &pb.RangeDigests{Sequence: s.sequence, Generation: s.generation, Digests: digests}
}

// ReplicaDigests returns the Digests together with those of the executed orders, which only control machines record.
func (s *Snapshot) ReplicaDigests() *pb.RangeDigests {
	digests := s.Digests()
	digests.ExecutedOrders = s.executed.digests()
	return digests
}

// ReplicaRepairFor returns the result of RepairFor for a control machine, including the executed orders that the
// machine lacks. The digests are the machine's ReplicaDigests; for nil digests it returns the whole state.
func (s *Snapshot) ReplicaRepairFor(digests *pb.RangeDigests) *pb.Repair {
	repair := s.RepairFor(digests)
	repair.ExecutedOrders = s.executed.repairFor(digests.GetExecutedOrders())
	return repair
}

// RepairFor returns the ranges in which the state that the digests describe differs from this snapshot, or all ranges
// if digests is nil or has another number of ranges. Either of the two states may be the newer one.
func (s *Snapshot) RepairFor(digests *pb.RangeDigests) *pb.Repair {
	repair := &pb.Repair{Sequence: s.sequence, Generation: s.generation}
	theirs := digests.GetDigests()
	everything := len(theirs) != RangeCount
	for index, itemRange := range s.ranges {
		if !everything && theirs[index] == itemRange.digest {
			continue
		}
		repair.Ranges = append(repair.Ranges, &pb.Range{Index: uint32(index), Items: slices.Clip(itemRange.items)})
	}
	return repair
}

// Restore returns the state that results from a repair. It must be called on the snapshot whose Digests the repair was
// computed for: in any other snapshot, ranges that the repair omits might differ. The caller must check whether the
// repair is newer. The error is a *RepairError if the repair is malformed.
func (s *Snapshot) Restore(repair *pb.Repair) (*Snapshot, error) {
	next := *s
	next.sequence = repair.GetSequence()
	next.generation = repair.GetGeneration()
	var seen [RangeCount]bool
	for _, repaired := range repair.GetRanges() {
		index := repaired.GetIndex()
		if index >= RangeCount {
			return nil, &RepairError{Reason: fmt.Sprintf("range index %d is not below %d", index, RangeCount)}
		}
		if seen[index] {
			return nil, &RepairError{Reason: fmt.Sprintf("range %d occurs twice", index)}
		}
		seen[index] = true
		restored, err := restoreRange(int(index), repaired.GetItems())
		if err != nil {
			return nil, err
		}
		next.ranges[index] = restored
	}
	var err error
	next.executed, err = s.executed.restore(repair.GetExecutedOrders(), repair.GetGeneration())
	if err != nil {
		return nil, err
	}
	return &next, nil
}

// restoreRange builds a range from the items of a repair.
func restoreRange(index int, items []*pb.Item) (*itemRange, error) {
	restored := &itemRange{items: make([]*pb.Item, 0, len(items))}
	for _, item := range items {
		if rangeIndex(item.GetKind(), item.GetName()) != index {
			return nil, &RepairError{Reason: fmt.Sprintf("item %s/%s is not of range %d", item.GetKind(), item.GetName(), index)}
		}
		if _, found := restored.find(item.GetKind(), item.GetName()); found {
			return nil, &RepairError{Reason: fmt.Sprintf("item %s/%s occurs twice", item.GetKind(), item.GetName())}
		}
		restored.upsert(item)
	}
	return restored, nil
}

// Marshal returns the whole state in its stored form, a serialized pb.Repair.
func (s *Snapshot) Marshal() ([]byte, error) {
	data, err := proto.Marshal(s.ReplicaRepairFor(nil))
	return data, errors.Wrap(err, "marshal the control state")
}
