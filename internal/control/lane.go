package control

import pb "fieldrelay/api/fieldrelay/v1"

// lane is one of the two ways to another machine, each with a connection of its own, so that what others judge this
// machine by does not wait behind a configuration.
type lane int

const (
	// laneUrgent carries heartbeats, votes, acknowledgements and other short messages.
	laneUrgent lane = iota
	// laneBulk carries the state and its changes, in the order in which they were sent, and whatever else is long.
	laneBulk
	lanes
)

// urgentSize is the length of an order or its result, in bytes, up to which it is short.
const urgentSize = 4 << 10

// laneOf tells which way a message goes.
func laneOf(message *pb.Message) lane {
	switch body := message.GetBody().(type) {
	case *pb.Message_Append, *pb.Message_SyncResponse, *pb.Message_ServerList:
		return laneBulk
	case *pb.Message_Order:
		return laneOfSize(len(body.Order.GetBody()))
	case *pb.Message_OrderResult:
		return laneOfSize(len(body.OrderResult.GetBody()))
	default:
		return laneUrgent
	}
}

func laneOfSize(size int) lane {
	if size > urgentSize {
		return laneBulk
	}
	return laneUrgent
}
