package agent

import pb "fieldrelay/api/fieldrelay/v1"

// updateSource is the kind of message by which a change of the control state reached this agent.
type updateSource int

const (
	sourceUnknown updateSource = iota
	sourceChanges              // response of a control machine, with changes
	sourceRepair               // response of a control machine, with a repair
	sourcePush                 // Push call of another agent
	sourceCompare              // response of another agent to a Compare call
)

// String returns the name of the source in the log.
func (s updateSource) String() string {
	switch s {
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

// updateSourceOf returns the source of the changes that an event carries.
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

// advertisedSequence returns the highest sequence that an event advertises, 0 if it advertises none.
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

// lastSequence returns the sequence of the last of several consecutive changes; 0 if there are none.
func lastSequence(changes []*pb.Change) uint64 {
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].GetSequence()
}
