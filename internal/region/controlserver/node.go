// Package controlserver implements the control process. It connects the replicated control state
// (internal/region/control), the soft state about edge machines and servers (internal/region/registry), the operator's
// API (internal/region/operatorapi) and the API of applications (internal/region/coordinationapi): it opens their
// listeners, polls the platform's server list while this machine owns that role, serves the long polls of agents and
// shuts all of them down in order.
//
// Consensus, succession and placement are decided by the packages that it connects. docs/design/regional.md describes
// the design, docs/region/control.md the operation.
package controlserver

import (
	"context"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
)

// Node is the interface to the replicated control state. *control.Node implements it. Its methods are safe for
// concurrent use.
type Node interface {
	// Submit submits an order of the operator and waits for its result.
	Submit(ctx context.Context, order *pb.Order) *pb.OrderResult
	// Call executes a call of an application and waits for its result.
	Call(ctx context.Context, call *pb.CoordinationCall) *pb.CoordinationResult
	// Status returns the node's present status.
	Status() control.Status
	// CoordinationStatus returns statistics of the calls of applications.
	CoordinationStatus() control.CoordinationStatus
	// Changed returns a channel that is closed at the next change of Status.
	Changed() <-chan struct{}
	// Since returns the committed changes after a sequence; false if the history no longer has all of them.
	Since(sequence uint64) ([]*pb.Change, bool)
	// Deliver receives messages from the other control machines.
	Deliver(ctx context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error)
	// SetSeeds sets the operator addresses of machines to contact when no known machine can be reached.
	SetSeeds(ctx context.Context, seeds []string)
	// BroadcastServerList sends a server list to the other control machines.
	BroadcastServerList(list *pb.ServerList)
	// Leave removes this machine from the set of control machines. It returns once the others have agreed on a view
	// without this machine, or after a bounded time, and reports whether they have agreed.
	Leave(ctx context.Context) bool
}
