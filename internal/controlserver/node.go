// Package controlserver is the control process: it joins the replicated control state (internal/control), the
// soft state about edge machines and servers (internal/registry) and the operator's API
// (internal/operatorapi), listens for all of them, reads the platform's list while that is its duty, and serves
// the agents that wait for news.
package controlserver

import (
	"context"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/control"
)

// Node is the replicated control state as this package needs it; *control.Node is one.
type Node interface {
	// Submit hands an order of the operator over and waits for its result.
	Submit(ctx context.Context, order *pb.Order) *pb.OrderResult
	// Status tells what the node holds now.
	Status() control.Status
	// Changed returns a channel that is closed at the next change of what Status tells.
	Changed() <-chan struct{}
	// Since returns the committed changes after a sequence; false when they are not kept any more.
	Since(sequence uint64) ([]*pb.Change, bool)
	// Deliver takes messages of the other control machines.
	Deliver(ctx context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error)
	// SetSeeds names other machines to ask, by their operator's addresses, when the known ones cannot be reached.
	SetSeeds(ctx context.Context, seeds []string)
	// BroadcastServerList sends a server list to the other control machines.
	BroadcastServerList(list *pb.ServerList)
	// Leave tells the other control machines that this one is to end and returns when it may, within a bounded time;
	// it reports whether they have agreed to go on without it.
	Leave(ctx context.Context) bool
}
