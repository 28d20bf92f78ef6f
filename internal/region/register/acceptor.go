package register

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// acceptor is the state of one register on one machine.
type acceptor struct {
	promised *pb.RegisterPosition // highest promised proposal number; its sequence is always 0
	accepted *pb.RegisterPosition // position of the newest accepted value
	value    *pb.RegisterValue    // value at accepted; nil if the register was never written
	// grantedAt is the time at which the newest grant of a lock was accepted here, read from disk or received from
	// another machine.
	grantedAt time.Duration
	// eventTimes holds, for each event of a group, the time at which it was accepted here.
	eventTimes []time.Duration
	bytes      int  // approximate encoded size of the value
	isListed   bool // in Replica.groups
	// restored holds events that were read from disk and are not part of value yet.
	restored []*pb.KeyEvent
}

// accept handles the second phase for one register. It returns the outcome, and a record of the change; the record is
// nil if nothing has changed.
func (a *acceptor) accept(now time.Duration, accept *pb.RegisterAccept) (pb.RegisterAccepted_Outcome, *pb.RegisterRecord) {
	position := accept.GetPosition()
	if compareNumbers(position, a.promised) < 0 {
		return pb.RegisterAccepted_OUTCOME_SUPERSEDED, nil
	}
	isNewer := ComparePositions(position, a.accepted) > 0
	record := &pb.RegisterRecord{Name: accept.GetName(), Promised: numberOf(position)}
	switch {
	case !isNewer:
		// The value was accepted before, either by itself or as part of a later value under the same number.
		return pb.RegisterAccepted_OUTCOME_ACCEPTED, nil
	case accept.GetChange() == nil || !a.hasBase(accept):
		return pb.RegisterAccepted_OUTCOME_BASE_MISSING, nil
	default:
		record.Accepted = position
		record.Change = accept.GetChange()
	}
	a.apply(now, record)
	return pb.RegisterAccepted_OUTCOME_ACCEPTED, record
}

// hasBase reports whether the change of an accept message can be applied to the local value.
func (a *acceptor) hasBase(accept *pb.RegisterAccept) bool {
	return accept.GetChange().GetWhole() != nil || ComparePositions(accept.GetBase(), a.accepted) == 0
}

// apply updates the acceptor from a record.
func (a *acceptor) apply(now time.Duration, record *pb.RegisterRecord) {
	a.adoptPosition(record)
	if record.GetAccepted() == nil {
		return
	}
	before := a.value
	a.value = ApplyChange(before, record.GetChange())
	a.bytes = valueBytes(a.value)
	if a.value.GetLock().GetGrantedBy() != before.GetLock().GetGrantedBy() {
		a.grantedAt = now
	}
	if appended := record.GetChange().GetEvents(); appended != nil {
		a.eventTimes = append(a.eventTimes, slices.Repeat([]time.Duration{now}, len(appended.GetEvents()))...)
		return
	}
	a.recordEventTimes(now, before.GetGroup().GetEvents())
}

// adoptPosition adopts the promise of a record, if it is higher, and the position of its value, if it has one.
func (a *acceptor) adoptPosition(record *pb.RegisterRecord) {
	if compareNumbers(record.GetPromised(), a.promised) > 0 {
		a.promised = record.GetPromised()
	}
	if record.GetAccepted() != nil {
		a.accepted = record.GetAccepted()
	}
}

// recordEventTimes sets the acceptance time of the events of a whole group that the group before did not contain. The
// revisions of the events rise.
func (a *acceptor) recordEventTimes(now time.Duration, before []*pb.KeyEvent) {
	events := a.value.GetGroup().GetEvents()
	times := make([]time.Duration, len(events))
	known := 0
	for index, event := range events {
		for known < len(before) && before[known].GetRevision() < event.GetRevision() {
			known++
		}
		times[index] = now
		if known < len(before) && isSameEvent(event, before[known]) {
			times[index] = a.eventTimes[known]
		}
	}
	a.eventTimes = times
}

// isSameEvent reports whether two events of one revision are the same put. They differ if a proposal that was not
// chosen assigned the revision to another put.
func isSameEvent(a, b *pb.KeyEvent) bool {
	return a == b || a.GetRevision() == b.GetRevision() && a.GetName() == b.GetName() && a.GetValue() == b.GetValue()
}

// record returns a record of the complete persistent state of a register.
func (a *acceptor) record(name string) *pb.RegisterRecord {
	return &pb.RegisterRecord{Name: name, Promised: a.promised, Accepted: a.accepted, Change: wholeChange(a.value)}
}
