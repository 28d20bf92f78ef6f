package coordination

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// Limits of one group.
const (
	// maxKeys is the maximum number of keys in a group.
	maxKeys = 4096
	// maxEvents is the maximum number of puts that are retained for watches. At the limit, new puts are refused until
	// older puts have expired.
	maxEvents = 16384
	// storedCopies is the number of times that a put is stored: as the newest put to its key, and as an event for
	// watches.
	storedCopies = 2
)

// put writes a key. If the key was given the same value before, put returns the revision of that earlier put: values
// are unique, so the caller received no answer and sent the put again.
func put(group *pb.KeyGroupState, wanted *pb.PutKey, conditions register.Conditions) register.Outcome {
	if earlier := findPut(group, wanted); earlier != nil {
		return okWithRevision(earlier.GetRevision())
	}
	present := findKey(group, wanted.GetName())
	if wanted.ExpectedRevision != nil && wanted.GetExpectedRevision() != present.GetRevision() {
		return unchanged(&pb.CoordinationResult{
			Outcome:  pb.CoordinationResult_OUTCOME_REVISION_MISMATCH,
			Revision: present.GetRevision(),
		})
	}
	event := &pb.KeyEvent{Name: wanted.GetName(), Value: wanted.GetValue(), Revision: group.GetRevision() + 1}
	isFull := len(group.GetEvents()) >= maxEvents || present == nil && len(group.GetKeys()) >= maxKeys
	if isFull || storedCopies*register.EventBytes(event) > conditions.FreeBytes {
		return outcomeOnly(pb.CoordinationResult_OUTCOME_BUSY)
	}
	outcome := okWithRevision(event.GetRevision())
	outcome.Change = register.EventsChange(event)
	return outcome
}

func okWithRevision(revision uint64) register.Outcome {
	return unchanged(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK, Revision: revision})
}

// findPut returns the earlier put of the same value to the same key; nil if there is none or it is no longer retained.
func findPut(group *pb.KeyGroupState, wanted *pb.PutKey) *pb.KeyEvent {
	for _, events := range [][]*pb.KeyEvent{group.GetKeys(), group.GetEvents()} {
		for _, event := range events {
			if event.GetName() == wanted.GetName() && event.GetValue() == wanted.GetValue() {
				return event
			}
		}
	}
	return nil
}

// findKey returns the newest put to a key; nil if there is none.
func findKey(group *pb.KeyGroupState, name string) *pb.KeyEvent {
	for _, key := range group.GetKeys() {
		if key.GetName() == name {
			return key
		}
	}
	return nil
}

func read(group *pb.KeyGroupState, wanted *pb.ReadKey) register.Outcome {
	key := findKey(group, wanted.GetName())
	if key == nil {
		return outcomeOnly(pb.CoordinationResult_OUTCOME_NOT_FOUND)
	}
	return unchanged(&pb.CoordinationResult{
		Outcome:  pb.CoordinationResult_OUTCOME_OK,
		Value:    key.GetValue(),
		Revision: key.GetRevision(),
	})
}

// watch returns the puts after a revision. For revision 0, it returns only the current revision.
func watch(group *pb.KeyGroupState, wanted *pb.WatchGroup) register.Outcome {
	after, revision := wanted.GetAfter(), group.GetRevision()
	switch {
	case after == 0:
		return okWithRevision(revision)
	case after >= revision:
		return register.Outcome{Wait: true}
	}
	first := slices.IndexFunc(group.GetEvents(), func(event *pb.KeyEvent) bool { return event.GetRevision() > after })
	if first < 0 || group.GetEvents()[first].GetRevision() != after+1 {
		return outcomeOnly(pb.CoordinationResult_OUTCOME_COMPACTED)
	}
	return unchanged(&pb.CoordinationResult{
		Outcome:  pb.CoordinationResult_OUTCOME_OK,
		Revision: revision,
		Events:   group.GetEvents()[first:],
	})
}
