// Package controlserver is the control process. It connects the replicated control state (internal/region/control), the soft
// state about edge machines and servers (internal/region/registry) and the operator's API (internal/region/operatorapi): it opens
// their listeners, polls the platform's server list while this machine owns that role, answers the long polls of
// agents and shuts everything down in order.
//
// It decides nothing about agreement, succession or placement; those are the packages that it connects. The design is
// described in docs/design/regional.md, the operation in docs/region/control.md.
package controlserver

import (
	"context"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
)

// Node is the replicated control state as this package uses it. *control.Node implements it. Its methods are safe for
// concurrent use.
type Node interface {
	// Submit submits an order of the operator and waits for its result.
	Submit(ctx context.Context, order *pb.Order) *pb.OrderResult
	// Call executes a call of an application and waits for its result.
	Call(ctx context.Context, call *pb.CoordinationCall) *pb.CoordinationResult
	// Status returns the node's present status.
	Status() control.Status
	// CoordinationStatus returns figures about the calls of applications.
	CoordinationStatus() control.CoordinationStatus
	// Changed returns a channel that is closed at the next change of Status.
	Changed() <-chan struct{}
	// Since returns the committed changes after a sequence; false if they are no longer in the history.
	Since(sequence uint64) ([]*pb.Change, bool)
	// Deliver receives messages of the other control machines.
	Deliver(ctx context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error)
	// SetSeeds sets the operator addresses of machines to contact when no known one can be reached.
	SetSeeds(ctx context.Context, seeds []string)
	// BroadcastServerList sends a server list to the other control machines.
	BroadcastServerList(list *pb.ServerList)
	// Leave has the other control machines go on without this one. It returns when they do, or after a bounded time,
	// and reports whether they have agreed.
	Leave(ctx context.Context) bool
}
