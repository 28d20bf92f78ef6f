package control

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// newMemoryReceiver starts a receiver of deliveries, and senders that reach it within the process.
func newMemoryReceiver(t *testing.T, options ...connect.HandlerOption) (*deliveryReceiver, *peerSenders, *counters) {
	t.Helper()
	receiver := &deliveryReceiver{address: "receiver:1", received: make(chan *pb.Message, 16), release: make(chan struct{})}
	listener := newMemoryListener()
	server := &http.Server{Handler: receiver.handler(options...)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { assert.NoError(t, server.Close()) })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	counted := &counters{}
	senders := newPeerSenders(ctx, counted)
	senders.dialWith(listener.dial)
	t.Cleanup(senders.client.CloseIdleConnections)
	return receiver, senders, counted
}

// Guards against messages that are lost because they wait together: all that waited went into one delivery, which the
// receiver refuses if it is over its limit.
func TestLargeMessagesThatWaitAreDeliveredSeparately(t *testing.T) {
	const (
		receiverLimit = 8 << 20
		count         = 40
		size          = 256 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		other, senders, counted := newMemoryReceiver(t, CompressedDeliveries(), connect.WithReadMaxBytes(receiverLimit))
		senders.send(other.address, &pb.Message{Body: &pb.Message_Append{Append: &pb.Append{}}}) // blocks the receiver
		registers := []*pb.RegisterRecord{{Name: "x", Change: &pb.RegisterChange{Kind: &pb.RegisterChange_Events{
			Events: &pb.KeyEvents{Events: []*pb.KeyEvent{{Value: string(make([]byte, size))}}},
		}}}}
		for number := range uint64(count) {
			transfer := &pb.RegisterTransfer{Epoch: number + 1, Registers: registers}
			senders.send(other.address, &pb.Message{Body: &pb.Message_RegisterTransfer{RegisterTransfer: transfer}})
		}
		close(other.release)
		require.NotNil(t, other.next().GetAppend())
		for number := range uint64(count) {
			require.Equal(t, number+1, other.next().GetRegisterTransfer().GetEpoch())
		}
		require.Zero(t, counted.tooLarge.Load())
		require.Zero(t, counted.dropped.Load())
	})
}
