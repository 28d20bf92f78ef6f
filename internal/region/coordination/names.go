package coordination

import (
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Prefixes of the names of registers.
const (
	lockPrefix    = "lock/"
	counterPrefix = "counter/"
	groupPrefix   = "group/"
)

// groupSeparator ends the name of a group within the name of a key.
const groupSeparator = "."

// GroupOf is the group of a key: its name up to the first dot, dot included; the whole name if it has none.
func GroupOf(key string) string {
	group, _, found := strings.Cut(key, groupSeparator)
	if !found {
		return key
	}
	return group + groupSeparator
}

// registerOf is the name of the register that a call is about; empty for a call without an operation.
func registerOf(call *pb.CoordinationCall) string {
	switch operation := call.GetOperation().(type) {
	case *pb.CoordinationCall_Acquire:
		return lockPrefix + operation.Acquire.GetName()
	case *pb.CoordinationCall_Renew:
		return lockPrefix + operation.Renew.GetName()
	case *pb.CoordinationCall_Release:
		return lockPrefix + operation.Release.GetName()
	case *pb.CoordinationCall_NextNumber:
		return counterPrefix + operation.NextNumber.GetName()
	case *pb.CoordinationCall_Put:
		return groupPrefix + GroupOf(operation.Put.GetName())
	case *pb.CoordinationCall_Read:
		return groupPrefix + GroupOf(operation.Read.GetName())
	case *pb.CoordinationCall_Watch:
		return groupPrefix + operation.Watch.GetGroup()
	default:
		return ""
	}
}
