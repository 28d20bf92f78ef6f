package agent

import pb "fieldrelay/api/fieldrelay/v1"

// delivery is a way on which a change of the control state comes to an agent.
type delivery int

const (
	deliveryUnknown delivery = iota
	deliveryChanges          // a control machine's answer with changes
	deliveryRepair           // a control machine's answer with a repair
	deliveryPush             // another agent's push
	deliveryCompare          // another agent's answer to a comparison
)

// String is the name in the log.
func (d delivery) String() string {
	switch d {
	case deliveryChanges:
		return "changes"
	case deliveryRepair:
		return "repair"
	case deliveryPush:
		return "push"
	case deliveryCompare:
		return "compare"
	default:
		return "unknown"
	}
}

// deliveryOf is the way on which an event brings changes.
func deliveryOf(happened event) delivery {
	switch happened := happened.(type) {
	case watchDone:
		if happened.response.GetRepair() != nil {
			return deliveryRepair
		}
		return deliveryChanges
	case pushAsked:
		return deliveryPush
	case compareDone:
		return deliveryCompare
	}
	return deliveryUnknown
}

// toldSequence is the highest sequence number that an event tells of, 0 if it tells of none.
func toldSequence(happened event) uint64 {
	switch happened := happened.(type) {
	case watchDone:
		return max(happened.response.GetSequence(), lastOf(happened.response.GetChanges()))
	case pushAsked:
		return lastOf(happened.request.GetChanges())
	case pushDone:
		return happened.response.GetSequence()
	case compareAsked:
		return happened.request.GetDigests().GetSequence()
	case compareDone:
		return happened.response.GetSequence()
	}
	return 0
}

func lastOf(changes []*pb.Change) uint64 {
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].GetSequence()
}
