package control

import pb "fieldrelay/api/fieldrelay/v1"

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Started must be the first event.
type Started struct{}

// Tick reports that time has passed; the shell sends one every TickInterval.
type Tick struct{}

// Received is a message from another control machine. The Machine may retain the message.
type Received struct{ Message *pb.Message }

// Undelivered reports that the message of a Send may not have reached its receiver. It only speeds up the next attempt:
// each message that matters is resent in any case, so reports may be missing.
type Undelivered struct{ Message *pb.Message }

// Persisted reports that a Persist action and all earlier ones are durable. Tokens are reported in ascending order.
type Persisted struct{ Token uint64 }

// WriteFailed reports that the oldest pending Persist failed; the shell retries it until it succeeds.
type WriteFailed struct{}

// OrderSubmitted is an order of the operator that arrived at this machine. The order's id is set by the Machine.
type OrderSubmitted struct {
	Request uint64 // repeated in the Reply
	Order   *pb.Order
}

// OrderCanceled reports that the caller of an OrderSubmitted no longer waits for the answer. The order may still be
// executed if it has been forwarded; this machine does not resend it.
type OrderCanceled struct{ Request uint64 }

// CallSubmitted is a call of an application that arrived at this machine. Its id and origin are set by the Machine.
type CallSubmitted struct {
	Request uint64 // repeated in the CallReply
	Call    *pb.CoordinationCall
}

// CallCanceled reports that the caller of a CallSubmitted no longer waits for the answer. The call may still be
// executed.
type CallCanceled struct{ Request uint64 }

// BroadcastServerList requests that a server list be sent to the other control machines.
type BroadcastServerList struct{ List *pb.ServerList }

// SeedsChanged names other machines to contact when the known machines cannot be reached. It does not change which
// machines bootstrap the cluster.
type SeedsChanged struct{ Seeds []string }

// Leave begins a graceful shutdown: the machine continues to serve, for LeaveTimeout at most, until the other machines
// can continue without it.
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
