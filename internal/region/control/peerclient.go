package control

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

// maxPlainDeliveries is how many large deliveries go uncompressed to a machine that rejected a compressed one, before
// another is tried: it may be of a later version by then.
const maxPlainDeliveries = 8

// peerClient delivers messages to one machine, large ones compressed unless that machine is of a version that cannot read
// them. It is not safe for concurrent use.
type peerClient struct {
	compressed      fieldrelayv1connect.ControlPeerClient
	plain           fieldrelayv1connect.ControlPeerClient
	plainRemaining  int  // large deliveries that still go uncompressed
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
// A failed compressed delivery is sent a second time, uncompressed, unless the machine is known to read compressed ones:
// an earlier version rejects what is compressed before it has come completely, which may look like a broken connection.
// A later version may so get messages twice, which the protocol bears.
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

// deliverOnce delivers a request at most once, uncompressed.
func (c *peerClient) deliverOnce(ctx context.Context, request *pb.DeliverRequest) error {
	return call(ctx, c.plain, request)
}

func call(ctx context.Context, client fieldrelayv1connect.ControlPeerClient, request *pb.DeliverRequest) error {
	_, err := client.Deliver(ctx, connect.NewRequest(request))
	return err
}
