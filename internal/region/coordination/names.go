package coordination

import (
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Prefixes of register names, one for each kind of object.
const (
	lockPrefix    = "lock/"
	counterPrefix = "counter/"
	groupPrefix   = "group/"
)

// groupSeparator terminates the group's name within the name of a key.
const groupSeparator = "."

// GroupOf returns the group of a key: the key's name up to and including the first dot, or the whole name if it has no
// dot.
func GroupOf(key string) string {
	group, _, found := strings.Cut(key, groupSeparator)
	if !found {
		return key
	}
	return group + groupSeparator
}

// registerOf returns the name of the register that a call concerns; empty for a call without an operation.
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
