package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/ring"
)

// Action is an instruction of a Machine to its shell.
type Action interface{ isAction() }

// Send asks the shell to send a message; the message may be lost.
type Send struct {
	Address string // ip:port of the receiver's peer service
	Message *pb.Message
}

// Persist asks the shell to write records to disk, after those of all earlier Persist actions. If Snapshot is set, the
// snapshot replaces everything written so far and contains the state of Records, which then need not be written.
type Persist struct {
	Token    uint64
	Records  []ring.Record
	Snapshot []byte
}

// Reply answers an OrderSubmitted. Each OrderSubmitted is answered exactly once unless an OrderCanceled follows it.
type Reply struct {
	Request uint64
	Result  *pb.OrderResult
	Cause   UnavailableCause // cause of a result with status 503; empty for other results
}

// CallReply answers a CallSubmitted. Each CallSubmitted is answered exactly once unless a CallCanceled follows it.
type CallReply struct {
	Request uint64
	Result  *pb.CoordinationResult
}

// Committed reports a newer committed state.
type Committed struct {
	Snapshot *catalog.Snapshot
	// Changes lead from the state of the previous Committed action to the state of this one; nil if the changes are not
	// retained any more. In the first Committed action, Changes holds all the retained changes.
	Changes []*pb.Change
}

// ViewChanged reports that a view has come into force.
type ViewChanged struct{ View *pb.View }

// HeartbeatReceived passes on the soft state in the heartbeat of another machine.
type HeartbeatReceived struct {
	From      *pb.Replica
	Heartbeat *pb.Heartbeat
}

// ServerListReceived passes on a server list from another machine.
type ServerListReceived struct{ List *pb.ServerList }

// Left reports, once after Leave, that the process may end.
type Left struct {
	Agreed bool // a view without this machine is in force, and the other machines hold the required replicas
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
