package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/ring"
)

// Event is something that a Machine is told by its Step.
type Event interface{ isEvent() }

// Started must be the first event.
type Started struct{}

// Tick tells that time has passed; it is meant to come every TickInterval.
type Tick struct{}

// Received is a message of another control machine. The machine keeps it.
type Received struct{ Message *pb.Message }

// Undelivered tells that the message of a Send may not have reached its receiver. It need not be told of each: most are
// sent again in any case.
type Undelivered struct{ Message *pb.Message }

// Persisted tells that a Persist action is on disk. Tokens come back in their order.
type Persisted struct{ Token uint64 }

// WriteFailed tells that the oldest Persist failed; it is tried again until it succeeds.
type WriteFailed struct{}

// OrderSubmitted is an order of the operator that arrived at this machine. The order's id is set by the machine.
type OrderSubmitted struct {
	Request uint64 // comes back in the Reply
	Order   *pb.Order
}

// OrderCanceled tells that nobody waits for the Reply to a Submitted order any more. The order may be carried out all
// the same if it is on its way; this machine does no more for it.
type OrderCanceled struct{ Request uint64 }

// BroadcastServerList asks for a server list to be sent to the other control machines.
type BroadcastServerList struct{ List *pb.ServerList }

// SeedsChanged names other machines to ask when the known ones cannot be reached. It does not change who
// founds the system.
type SeedsChanged struct{ Seeds []string }

// Leave tells the machine that it is to end. It goes on, for LeaveTimeout at most, until the others go on without it.
type Leave struct{}

func (Started) isEvent()             {}
func (Tick) isEvent()                {}
func (Received) isEvent()            {}
func (Undelivered) isEvent()         {}
func (Persisted) isEvent()           {}
func (WriteFailed) isEvent()         {}
func (OrderSubmitted) isEvent()      {}
func (OrderCanceled) isEvent()       {}
func (BroadcastServerList) isEvent() {}
func (SeedsChanged) isEvent()        {}
func (Leave) isEvent()               {}

// Action is something that a Machine asks for.
type Action interface{ isAction() }

// Send asks for a message to be sent; it may be lost.
type Send struct {
	Address string // ip:port of the receiver's peer service
	Message *pb.Message
}

// Persist asks for records to be put on disk, after those of all earlier Persist actions. If Snapshot is set,
// it stands for everything so far, Records included.
type Persist struct {
	Token    uint64
	Records  []ring.Record
	Snapshot []byte
}

// Reply answers a Submitted order. Each is answered exactly once unless it is Withdrawn.
type Reply struct {
	Request uint64
	Result  *pb.OrderResult
}

// Committed tells of a newer committed state.
type Committed struct {
	Snapshot *catalog.Snapshot
	// Changes lead from the state told before to this one; nil when they are not kept. The first time, they are
	// those that are kept.
	Changes []*pb.Change
}

// ViewChanged tells of the view now in force.
type ViewChanged struct{ View *pb.View }

// HeartbeatReceived passes on the soft state of another machine.
type HeartbeatReceived struct {
	From      *pb.Replica
	Heartbeat *pb.Heartbeat
}

// ServerListReceived passes on a server list from another machine.
type ServerListReceived struct{ List *pb.ServerList }

// Left tells, once after Leave, that the machine need not run any longer.
type Left struct {
	Agreed bool // a view without it is in force, and the copies required are elsewhere
}

func (Send) isAction()               {}
func (Persist) isAction()            {}
func (Reply) isAction()              {}
func (Committed) isAction()          {}
func (ViewChanged) isAction()        {}
func (HeartbeatReceived) isAction()  {}
func (ServerListReceived) isAction() {}
func (Left) isAction()               {}
