package control

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

// maxPlainDeliveries is the number of large deliveries that are sent uncompressed to a machine that rejected a
// compressed one, before compression is tried again: the machine may have been upgraded by then.
const maxPlainDeliveries = 8

// peerClient delivers messages to one machine. It compresses large deliveries unless the version that the machine runs
// cannot read compressed deliveries. It is not safe for concurrent use.
type peerClient struct {
	compressed      fieldrelayv1connect.ControlPeerClient
	plain           fieldrelayv1connect.ControlPeerClient
	plainRemaining  int  // number of large deliveries still to be sent uncompressed
	readsCompressed bool // the machine has read a compressed delivery
}

func newPeerClient(client *http.Client, address string) *peerClient {
	url := "http://" + address
	return &peerClient{
		compressed: fieldrelayv1connect.NewControlPeerClient(client, url, compressedClient()),
		plain:      fieldrelayv1connect.NewControlPeerClient(client, url, plainClient()),
	}
}

// deliver sends a request of size bytes.
//
// A failed compressed delivery is repeated uncompressed unless the machine is known to read compressed deliveries. An
// earlier version rejects a compressed request before it has arrived completely, which may look like a broken
// connection. A later version may thus receive messages twice, which the protocol tolerates.
func (c *peerClient) deliver(ctx context.Context, request *pb.DeliverRequest, size int) error {
	if size < minCompressedBytes {
		return call(ctx, c.plain, request)
	}
	if c.plainRemaining > 0 {
		c.plainRemaining--
		return call(ctx, c.plain, request)
	}
	err := call(ctx, c.compressed, request)
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
	if call(ctx, c.plain, request) != nil {
		return err
	}
	c.plainRemaining = maxPlainDeliveries
	return nil
}

// deliverOnce delivers a request uncompressed and at most once.
func (c *peerClient) deliverOnce(ctx context.Context, request *pb.DeliverRequest) error {
	return call(ctx, c.plain, request)
}

func call(ctx context.Context, client fieldrelayv1connect.ControlPeerClient, request *pb.DeliverRequest) error {
	_, err := client.Deliver(ctx, connect.NewRequest(request))
	return err
}
