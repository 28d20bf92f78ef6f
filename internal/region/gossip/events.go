package gossip

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/shuffle"
)

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Tick reports that time has passed. It is due a few times a second.
type Tick struct{}

// UpdateReceived is an update from a control machine.
type UpdateReceived struct {
	Changes    []*pb.Change
	Base       *catalog.Snapshot // state against whose digests Repair was made; nil: none
	Repair     *pb.Repair
	Compressed *pb.CompressedUpdate // compressed form of Changes or Repair, for forwarding; nil: received uncompressed
	List       *pb.ServerList
}

// PushRequested is a push from a neighbour. The response is a PushReply.
type PushRequested struct {
	From    shuffle.Neighbour
	Changes []*pb.Change
	List    *pb.ServerList
}

// PushAnswered is a neighbour's response to a Push, with the neighbour's versions.
type PushAnswered struct {
	To       shuffle.Neighbour
	Sequence uint64
	List     *pb.ListVersion
}

// CompareRequested is a comparison from a neighbour. The response is a CompareReply.
type CompareRequested struct {
	From              shuffle.Neighbour
	Digests           *pb.RangeDigests
	List              *pb.ListVersion
	AcceptsCompressed bool // the response may carry a compressed update
}

// CompareAnswered is a neighbour's response to a Compare.
type CompareAnswered struct {
	Request  Compare
	Response *pb.CompareResponse
}

func (Tick) isEvent()             {}
func (UpdateReceived) isEvent()   {}
func (PushRequested) isEvent()    {}
func (PushAnswered) isEvent()     {}
func (CompareRequested) isEvent() {}
func (CompareAnswered) isEvent()  {}

// Action is an output of a Machine, which the caller of Step has to execute.
type Action interface{ isAction() }

// Push sends an update to a neighbour. The response is returned as a PushAnswered event.
type Push struct {
	To      shuffle.Neighbour
	Changes []*pb.Change
	List    *pb.ServerList
}

// PushReply is the response to a PushRequested, with the versions of the replica.
type PushReply struct {
	Sequence uint64
	List     *pb.ListVersion
}

// Compare sends a neighbour the versions of the replica, with or without its digests. The response is returned as a
// CompareAnswered event.
type Compare struct {
	To      shuffle.Neighbour
	Digests *pb.RangeDigests
	List    *pb.ListVersion
	Base    *catalog.Snapshot // state that Digests describes; nil: Digests has versions only
}

// CompareReply is the response to a CompareRequested.
type CompareReply struct{ Response *pb.CompareResponse }

func (Push) isAction()         {}
func (PushReply) isAction()    {}
func (Compare) isAction()      {}
func (CompareReply) isAction() {}
