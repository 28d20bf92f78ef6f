package control

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

// plainDeliveries is how many deliveries go plain to a machine that read no compressed one, before another is tried: it
// may be of a later version by then.
const plainDeliveries = 8

// peerClient delivers messages to one machine, large ones compressed unless that machine is of a version that can't read
// them. One goroutine uses it at a time.
type peerClient struct {
	compressed      fieldrelayv1connect.ControlPeerClient
	plain           fieldrelayv1connect.ControlPeerClient
	plainRemaining  int  // deliveries that go plain still
	readsCompressed bool // the machine has read a compressed delivery
}

func newPeerClient(client *http.Client, address string) *peerClient {
	url := "http://" + address
	return &peerClient{
		compressed: fieldrelayv1connect.NewControlPeerClient(client, url, compressing()),
		plain:      fieldrelayv1connect.NewControlPeerClient(client, url, plain()),
	}
}

// deliver sends a request of so many bytes.
func (c *peerClient) deliver(ctx context.Context, request *pb.DeliverRequest, size int) error {
	if size < compressFrom {
		return send(ctx, c.plain, request)
	}
	if c.plainRemaining > 0 {
		c.plainRemaining--
		return send(ctx, c.plain, request)
	}
	err := send(ctx, c.compressed, request)
	if err == nil {
		c.readsCompressed = true
		return nil
	}
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		c.readsCompressed = false
	}
	if c.readsCompressed || ctx.Err() != nil {
		return err
	}
	// An earlier version refuses what is compressed before it has come whole, which may look like a broken connection.
	if send(ctx, c.plain, request) != nil {
		return err
	}
	c.plainRemaining = plainDeliveries
	return nil
}

func send(ctx context.Context, client fieldrelayv1connect.ControlPeerClient, request *pb.DeliverRequest) error {
	_, err := client.Deliver(ctx, connect.NewRequest(request))
	return err
}
