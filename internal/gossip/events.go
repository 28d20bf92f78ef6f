package gossip

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/shuffle"
)

// Event is something that a Machine is told.
type Event interface{ isEvent() }

// Tick tells that time has passed. Ticks should come a few times a second.
type Tick struct{}

// UpdateReceived is news from outside the gossip: from a control machine.
type UpdateReceived struct {
	Changes    []*pb.Change
	Base       *catalog.Snapshot // whose digests Repair answers; nil: of nothing
	Repair     *pb.Repair
	Compressed *pb.PackedNews // that Changes or Repair were unpacked from, to be passed on; nil: they came as they are
	List       *pb.ServerList
}

// PushRequested is a neighbour's push; it is answered by a PushReply.
type PushRequested struct {
	From    shuffle.Neighbour
	Changes []*pb.Change
	List    *pb.ServerList
}

// PushAnswered is the answer to a Push.
type PushAnswered struct {
	To       shuffle.Neighbour
	Sequence uint64
	List     *pb.ListVersion
}

// CompareRequested is a neighbour's comparison; it is answered by a CompareReply.
type CompareRequested struct {
	From              shuffle.Neighbour
	Digests           *pb.RangeDigests
	List              *pb.ListVersion
	AcceptsCompressed bool // the answer may carry packed news
}

// Compared is the answer to a Compare.
type Compared struct {
	Request  Compare
	Response *pb.CompareResponse
}

func (Tick) isEvent()             {}
func (UpdateReceived) isEvent()   {}
func (PushRequested) isEvent()    {}
func (PushAnswered) isEvent()     {}
func (CompareRequested) isEvent() {}
func (Compared) isEvent()         {}

// Action is something that the caller of Step has to do.
type Action interface{ isAction() }

// Push sends news to a neighbour. Its answer comes back as PushAnswered.
type Push struct {
	To      shuffle.Neighbour
	Changes []*pb.Change
	List    *pb.ServerList
}

// PushReply answers a Pushed.
type PushReply struct {
	Sequence uint64
	List     *pb.ListVersion
}

// Compare tells a neighbour what is held. Its answer comes back as Compared.
type Compare struct {
	To      shuffle.Neighbour
	Digests *pb.RangeDigests
	List    *pb.ListVersion
	Base    *catalog.Snapshot // the state that Digests describes
}

// CompareReply answers an Asked.
type CompareReply struct{ Response *pb.CompareResponse }

func (Push) isAction()         {}
func (PushReply) isAction()    {}
func (Compare) isAction()      {}
func (CompareReply) isAction() {}
