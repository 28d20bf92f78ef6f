package control

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Guards against messages that are lost because they wait together: all that waited went into one delivery, which the
// receiver refuses if it is over its limit.
func TestLargeMessagesThatWaitAreDeliveredSeparately(t *testing.T) {
	const (
		receiverLimit = 8 << 20
		count         = 40
		size          = 256 << 10
	)
	other := newDeliveryReceiver(t, CompressedDeliveries(), connect.WithReadMaxBytes(receiverLimit))
	counted := &counters{}
	senders := newPeerSenders(t.Context(), counted)
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
}
