package control

import (
	"math/rand/v2"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A large delivery that hardly compresses must also reach a machine that cannot read compressed requests, although that
// machine rejects the request before it has arrived completely.
func TestLongDeliveriesReachMachinesThatReadNothingCompressed(t *testing.T) {
	const size = 4 << 20
	other := newDeliveryReceiver(t, connect.WithCompression(gzipName, nil, nil))
	close(other.release)
	noise := make([]byte, size)
	random := rand.New(rand.NewPCG(1, 1))
	for index := range noise {
		noise[index] = byte(random.Uint32())
	}
	change := &pb.Change{Sequence: 1, Upserts: []*pb.Item{{Kind: "routes", Name: "r", Body: noise}}}
	counted := &counters{}
	senders := newPeerSenders(t.Context(), counted)
	senders.send(other.address, &pb.Message{Body: &pb.Message_Append{Append: &pb.Append{Changes: []*pb.Change{change}}}})
	require.NotNil(t, other.next().GetAppend())
	require.Zero(t, counted.failedCalls.Load())
}
