package register

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// ApplyChange returns the value that results from applying a change. It does not modify value, which may share memory
// with the result.
func ApplyChange(value *pb.RegisterValue, change *pb.RegisterChange) *pb.RegisterValue {
	switch kind := change.GetKind().(type) {
	case *pb.RegisterChange_Whole:
		return kind.Whole
	case *pb.RegisterChange_Events:
		return groupValue(AppendEvents(value.GetGroup(), kind.Events.GetEvents()))
	default:
		return value
	}
}

// AppendEvents returns the group with further events appended, whose revisions must follow those in the group. It does
// not modify group.
func AppendEvents(group *pb.KeyGroupState, events []*pb.KeyEvent) *pb.KeyGroupState {
	if len(events) == 0 {
		return group
	}
	return &pb.KeyGroupState{
		Revision: events[len(events)-1].GetRevision(),
		Keys:     replaceKeys(group.GetKeys(), events),
		Events:   append(slices.Clip(group.GetEvents()), events...),
	}
}

// replaceKeys returns the newest event of each key, in the order of their revisions, after further events.
func replaceKeys(keys, events []*pb.KeyEvent) []*pb.KeyEvent {
	newest := make(map[string]*pb.KeyEvent, len(events))
	for _, event := range events {
		newest[event.GetName()] = event
	}
	replaced := make([]*pb.KeyEvent, 0, len(keys)+len(newest))
	for _, key := range keys {
		if newest[key.GetName()] == nil {
			replaced = append(replaced, key)
		}
	}
	for _, event := range events {
		if newest[event.GetName()] == event {
			replaced = append(replaced, event)
		}
	}
	return replaced
}

// withoutEventsThrough returns the group without its events up to and including a revision.
func withoutEventsThrough(group *pb.KeyGroupState, revision uint64) *pb.KeyGroupState {
	first, _ := slices.BinarySearchFunc(group.GetEvents(), revision+1, func(event *pb.KeyEvent, wanted uint64) int {
		return compareRevisions(event.GetRevision(), wanted)
	})
	return &pb.KeyGroupState{
		Revision: group.GetRevision(),
		Keys:     group.GetKeys(),
		Events:   slices.Clone(group.GetEvents()[first:]),
	}
}

// eventOverhead is the approximate encoded size of a KeyEvent besides its name and its value, in bytes.
const eventOverhead = 16

// otherValueBytes is the approximate encoded size of a value that is not a group, in bytes, without the holder of a
// lock.
const otherValueBytes = 64

// valueBytes returns the approximate encoded size of a value, in bytes.
func valueBytes(value *pb.RegisterValue) int {
	group := value.GetGroup()
	if group == nil {
		return otherValueBytes + len(value.GetLock().GetHolder())
	}
	total := 0
	for _, events := range [][]*pb.KeyEvent{group.GetKeys(), group.GetEvents()} {
		for _, event := range events {
			total += EventBytes(event)
		}
	}
	return total
}

// EventBytes returns the approximate encoded size of an event, in bytes.
func EventBytes(event *pb.KeyEvent) int {
	return eventOverhead + len(event.GetName()) + len(event.GetValue())
}

func compareRevisions(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func groupValue(group *pb.KeyGroupState) *pb.RegisterValue {
	return &pb.RegisterValue{Kind: &pb.RegisterValue_Group{Group: group}}
}

// wholeChange returns the change that replaces the whole value of a register; nil for a nil value, which stands for a
// register that was never written.
func wholeChange(value *pb.RegisterValue) *pb.RegisterChange {
	if value == nil {
		return nil
	}
	return &pb.RegisterChange{Kind: &pb.RegisterChange_Whole{Whole: value}}
}

// sameValue returns a change that leaves a value as it is. For a group, it does not contain the value.
func sameValue(value *pb.RegisterValue) *pb.RegisterChange {
	if value.GetGroup() != nil {
		return EventsChange()
	}
	return wholeChange(value)
}

// mergeChanges combines two consecutive changes into one; value is the value after both changes.
func mergeChanges(earlier, change *pb.RegisterChange, value *pb.RegisterValue) *pb.RegisterChange {
	if earlier == nil {
		return change
	}
	if change == nil {
		return earlier
	}
	if earlier.GetEvents() == nil || change.GetEvents() == nil {
		return wholeChange(value)
	}
	events := slices.Concat(earlier.GetEvents().GetEvents(), change.GetEvents().GetEvents())
	return EventsChange(events...)
}

// EventsChange returns the change that appends events to a group.
func EventsChange(events ...*pb.KeyEvent) *pb.RegisterChange {
	return &pb.RegisterChange{Kind: &pb.RegisterChange_Events{Events: &pb.KeyEvents{Events: events}}}
}
