package chain

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Guards against sending a large change twice. Heartbeats use a connection of their own and overtake a large change in
// flight, so the receiver appears to be behind. The change must not be sent again, as an append or in a repair, while it
// may still arrive.
func TestLargeChangeThatHeartbeatsOvertakeIsNotSentTwice(t *testing.T) {
	const size = 16 * slowLinkTickBytes
	c := newRunningCluster(t)
	proposed := c.change("a", "x")
	proposed.Upserts[0].Body = append(append([]byte{'"'}, bytes.Repeat([]byte{'y'}, size)...), '"')
	output, err := c.replicas["a"].Propose(proposed)
	require.NoError(t, err)
	c.collect("a", output)
	c.persist("a")
	require.Len(t, c.messages, 1)
	inFlight := c.messages[0].Message
	require.NotNil(t, inFlight.GetAppend())
	c.messages = nil
	for range 2 { // heartbeats, over 0.3 s
		for range 2 {
			c.collect("a", c.replicas["a"].Tick())
		}
		heartbeat := &pb.Heartbeat{ViewNumber: 1, Sequence: c.replicas["a"].Advertised().Sequence}
		c.collect("b", c.replicas["b"].ObserveHeartbeat(replicaNamed("a"), heartbeat))
	}
	var resent []*pb.Message
	for len(c.messages) > 0 {
		next := c.messages[0]
		c.messages = c.messages[1:]
		if next.Message.GetSyncResponse() != nil || next.Message.GetAppend() != nil {
			resent = append(resent, next.Message)
			continue
		}
		c.deliver(next.To.GetIdentity(), next.Message)
	}
	require.Empty(t, resent)
}
