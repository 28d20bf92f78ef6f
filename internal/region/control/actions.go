package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/ring"
)

// Action is something that a Machine asks its shell to do.
type Action interface{ isAction() }

// Send asks for a message to be sent; it may be lost.
type Send struct {
	Address string // ip:port of the receiver's peer service
	Message *pb.Message
}

// Persist asks for records to be put on disk, after those of all earlier Persist actions. If Snapshot is set, it stands
// for everything so far, Records included.
type Persist struct {
	Token    uint64
	Records  []ring.Record
	Snapshot []byte
}

// Reply answers an OrderSubmitted. Each is answered exactly once unless there was an OrderCanceled.
type Reply struct {
	Request uint64
	Result  *pb.OrderResult
	Cause   UnavailableCause // of a 503
}

// CallReply answers a CallSubmitted. Each is answered exactly once unless there was a CallCanceled.
type CallReply struct {
	Request uint64
	Result  *pb.CoordinationResult
}

// Committed reports a newer committed state.
type Committed struct {
	Snapshot *catalog.Snapshot
	// Changes lead from the state of the Committed before to this one; nil when they are not kept. The first time, they
	// are those that are kept.
	Changes []*pb.Change
}

// ViewChanged reports the view that is in force from now on.
type ViewChanged struct{ View *pb.View }

// HeartbeatReceived passes on the soft state of another machine.
type HeartbeatReceived struct {
	From      *pb.Replica
	Heartbeat *pb.Heartbeat
}

// ServerListReceived passes on a server list from another machine.
type ServerListReceived struct{ List *pb.ServerList }

// Left reports, once after Leave, that the machine need not run any longer.
type Left struct {
	Agreed bool // a view without it is in force, and the replicas required are elsewhere
}

func (Send) isAction()               {}
func (Persist) isAction()            {}
func (Reply) isAction()              {}
func (CallReply) isAction()          {}
func (Committed) isAction()          {}
func (ViewChanged) isAction()        {}
func (HeartbeatReceived) isAction()  {}
func (ServerListReceived) isAction() {}
func (Left) isAction()               {}
