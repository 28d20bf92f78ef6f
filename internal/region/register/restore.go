package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Restore applies a record that was read from disk. Records must be restored in the order in which they were written,
// before any other method is called. FinishRestore appends the events of a group to it all at once: each time that a
// group changes, it is copied.
func (r *Replica) Restore(record *pb.RegisterRecord) {
	if record.GetName() == "" {
		r.activeEpoch = record.GetActiveEpoch()
		return
	}
	found := r.register(record.GetName())
	switch change := record.GetChange().GetKind().(type) {
	case *pb.RegisterChange_Events:
		found.adoptPosition(record)
		found.restored = append(found.restored, change.Events.GetEvents()...)
	case *pb.RegisterChange_Whole:
		found.restored = nil
		r.apply(0, found, record)
	default:
		found.adoptPosition(record)
	}
}

// FinishRestore ends the restore. All grants and events that were read from disk count as accepted now, which is later
// than their actual acceptance.
func (r *Replica) FinishRestore(now time.Duration) {
	for _, found := range r.registers {
		r.finishRestore(found)
		found.grantedAt = now
		for index := range found.eventTimes {
			found.eventTimes[index] = now
		}
	}
}

// finishRestore appends the restored events to a group.
func (r *Replica) finishRestore(found *acceptor) {
	if len(found.restored) == 0 {
		return
	}
	r.apply(0, found, &pb.RegisterRecord{Accepted: found.accepted, Change: EventsChange(found.restored...)})
	found.restored = nil
}

// Records returns the records from which Restore builds an equal replica.
func (r *Replica) Records() []*pb.RegisterRecord {
	records := r.registerRecords()
	if r.activeEpoch == 0 {
		return records
	}
	return append(records, &pb.RegisterRecord{ActiveEpoch: r.activeEpoch})
}

func (r *Replica) registerRecords() []*pb.RegisterRecord {
	records := make([]*pb.RegisterRecord, 0, len(r.registers)+1)
	for _, name := range r.names() {
		records = append(records, r.registers[name].record(name))
	}
	return records
}
