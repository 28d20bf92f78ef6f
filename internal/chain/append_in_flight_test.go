package chain

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Heartbeats come by a way of their own and overtake a large change, which is still on its way. That change is not sent a
// second time, as a repair, before it may be lost.
func TestLargeChangeThatHeartbeatsOvertakeIsNotSentTwice(t *testing.T) {
	const size = 16 * slowLinkTickBytes
	c := newRunningCluster(t)
	made := c.change("a", "x")
	made.Upserts[0].Body = append(append([]byte{'"'}, bytes.Repeat([]byte{'y'}, size)...), '"')
	output, err := c.replicas["a"].Propose(made)
	require.NoError(t, err)
	c.collect("a", output)
	c.persist("a")
	require.Len(t, c.messages, 1)
	onItsWay := c.messages[0].Message
	require.NotNil(t, onItsWay.GetAppend())
	c.messages = nil
	for range 2 { // heartbeats, over 0.3 s
		for range 2 {
			c.collect("a", c.replicas["a"].Tick())
		}
		beat := &pb.Heartbeat{ViewNumber: 1, Sequence: c.replicas["a"].Advertised().Sequence}
		c.collect("b", c.replicas["b"].ObserveHeartbeat(replicaNamed("a"), beat))
	}
	var again []*pb.Message
	for len(c.messages) > 0 {
		next := c.messages[0]
		c.messages = c.messages[1:]
		if next.Message.GetSyncResponse() != nil || next.Message.GetAppend() != nil {
			again = append(again, next.Message)
			continue
		}
		c.deliver(next.To.GetIdentity(), next.Message)
	}
	require.Empty(t, again)
}
