package control

import pb "fieldrelay/api/fieldrelay/v1"

// Event is something that has happened; Machine.Step takes it.
type Event interface{ isEvent() }

// Started must be the first event.
type Started struct{}

// Tick is the passing of time; it is meant to come every TickInterval.
type Tick struct{}

// Received is a message of another control machine. The Machine keeps it.
type Received struct{ Message *pb.Message }

// Undelivered reports that the message of a Send may not have reached its receiver. It makes up time only: each message
// that matters is sent again in any case, so that reports may be missing.
type Undelivered struct{ Message *pb.Message }

// Persisted reports that a Persist action, and all earlier ones, are durable on disk. Tokens come back in their order.
type Persisted struct{ Token uint64 }

// WriteFailed reports that the oldest Persist failed; the shell tries it again until it succeeds.
type WriteFailed struct{}

// OrderSubmitted is an order of the operator that arrived at this machine. The order's id is set by the Machine.
type OrderSubmitted struct {
	Request uint64 // comes back in the Reply
	Order   *pb.Order
}

// OrderCanceled reports that nobody waits for the Reply to an OrderSubmitted any more. The order may be executed all the
// same if it is on its way; this machine does no more for it.
type OrderCanceled struct{ Request uint64 }

// CallSubmitted is a call of an application that arrived at this machine. Its id and origin are set by the Machine.
type CallSubmitted struct {
	Request uint64 // comes back in the CallReply
	Call    *pb.CoordinationCall
}

// CallCanceled reports that nobody waits for the CallReply to a CallSubmitted any more. The call may be executed all the
// same.
type CallCanceled struct{ Request uint64 }

// BroadcastServerList requests that a server list is sent to the other control machines.
type BroadcastServerList struct{ List *pb.ServerList }

// SeedsChanged names other machines to contact when the known ones cannot be reached. It does not change who founds the
// system.
type SeedsChanged struct{ Seeds []string }

// Leave begins a graceful shutdown: the machine goes on, for LeaveTimeout at most, until the others go on without it.
type Leave struct{}

func (Started) isEvent()             {}
func (Tick) isEvent()                {}
func (Received) isEvent()            {}
func (Undelivered) isEvent()         {}
func (Persisted) isEvent()           {}
func (WriteFailed) isEvent()         {}
func (OrderSubmitted) isEvent()      {}
func (OrderCanceled) isEvent()       {}
func (CallSubmitted) isEvent()       {}
func (CallCanceled) isEvent()        {}
func (BroadcastServerList) isEvent() {}
func (SeedsChanged) isEvent()        {}
func (Leave) isEvent()               {}
