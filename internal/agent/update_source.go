package agent

import pb "fieldrelay/api/fieldrelay/v1"

// delivery is a way on which a change of the control state comes to an agent.
type updateSource int

const (
	sourceUnknown updateSource = iota
	sourceChanges              // a control machine's answer with changes
	sourceRepair               // a control machine's answer with a repair
	sourcePush                 // another agent's push
	sourceCompare              // another agent's answer to a comparison
)

// String is the name in the log.
func (d updateSource) String() string {
	switch d {
	case sourceChanges:
		return "changes"
	case sourceRepair:
		return "repair"
	case sourcePush:
		return "push"
	case sourceCompare:
		return "compare"
	default:
		return "unknown"
	}
}

// updateSourceOf is the way on which an event brings changes.
func updateSourceOf(received event) updateSource {
	switch received := received.(type) {
	case watchDone:
		if received.response.GetRepair() != nil {
			return sourceRepair
		}
		return sourceChanges
	case pushRequested:
		return sourcePush
	case compareDone:
		return sourceCompare
	}
	return sourceUnknown
}

// advertisedSequence is the highest sequence number that an event tells of, 0 if it tells of none.
func advertisedSequence(received event) uint64 {
	switch received := received.(type) {
	case watchDone:
		return max(received.response.GetSequence(), lastSequence(received.response.GetChanges()))
	case pushRequested:
		return lastSequence(received.request.GetChanges())
	case pushDone:
		return received.response.GetSequence()
	case compareRequested:
		return received.request.GetDigests().GetSequence()
	case compareDone:
		return received.response.GetSequence()
	}
	return 0
}

func lastSequence(changes []*pb.Change) uint64 {
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].GetSequence()
}
