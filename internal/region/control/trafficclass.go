package control

import pb "fieldrelay/api/fieldrelay/v1"

// trafficClass selects the connection to a peer that a message uses. Separate connections prevent head-of-line
// blocking: heartbeats, by which other machines detect whether this machine has failed, do not wait behind a
// configuration, and calls do not wait behind the register messages of other calls.
type trafficClass int

const (
	// classUrgent carries heartbeats, votes, acknowledgements and other short messages.
	classUrgent trafficClass = iota
	// classBulk carries the state and its changes, in the order in which they were sent, and other long messages.
	classBulk
	// classRegisters carries the messages that read and write registers.
	classRegisters
	// classCalls carries calls of applications and their results.
	classCalls
	// trafficClasses is the number of classes.
	trafficClasses
)

// maxUrgentBytes is the maximum body length of an order or a result that counts as short.
const maxUrgentBytes = 4 << 10

// classOf returns the class of a message. Messages of one kind whose order matters have the same class.
func classOf(message *pb.Message) trafficClass {
	switch body := message.GetBody().(type) {
	case *pb.Message_RegisterPrepare, *pb.Message_RegisterPromise, *pb.Message_RegisterAccept, *pb.Message_RegisterAccepted:
		return classRegisters
	case *pb.Message_CoordinationCall, *pb.Message_CoordinationResult:
		return classCalls
	case *pb.Message_Append, *pb.Message_SyncResponse, *pb.Message_ServerList, *pb.Message_RegisterTransfer:
		return classBulk
	case *pb.Message_Order:
		return classOfSize(len(body.Order.GetBody()))
	case *pb.Message_OrderResult:
		return classOfSize(len(body.OrderResult.GetBody()))
	default:
		return classUrgent
	}
}

func classOfSize(size int) trafficClass {
	if size > maxUrgentBytes {
		return classBulk
	}
	return classUrgent
}
