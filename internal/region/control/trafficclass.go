package control

import pb "fieldrelay/api/fieldrelay/v1"

// trafficClass says by which connection to a peer a message goes, so that what the others judge this machine by does not wait
// behind a configuration, nor a call behind the registers of another one.
type trafficClass int

const (
	// classUrgent carries heartbeats, votes, acknowledgements and other short messages.
	classUrgent trafficClass = iota
	// classBulk carries the state and its changes, in the order in which they were sent, and whatever else is long.
	classBulk
	// classRegisters carries what keeps the registers.
	classRegisters
	// classCalls carries calls of applications and their results.
	classCalls
	// trafficClasses is the number of classes.
	trafficClasses
)

// maxUrgentBytes is the length of an order or its result up to which it is short.
const maxUrgentBytes = 4 << 10

// classOf gives all messages of one kind whose order matters the same class.
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
