package chain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// proposeUndelivered proposes a large change, drops the head's append to the successor and returns that message.
func proposeUndelivered(t *testing.T) (*cluster, *pb.Message) {
	t.Helper()
	c := newRunningCluster(t)
	c.propose("a", strings.Repeat("x", 4*slowLinkTickBytes))
	c.persist("a")
	require.Len(t, c.messages, 1)
	lost := c.messages[0].Message
	lost.ToIdentity = "b"
	c.messages = nil
	return c, lost
}

// appendsAfter counts the appends that the head sends in a number of ticks.
func (c *cluster) appendsAfter(ticks int) int {
	count := 0
	for range ticks {
		for _, outgoing := range c.replicas["a"].Tick().Messages {
			if outgoing.Message.GetAppend() != nil {
				count++
			}
		}
	}
	return count
}

func TestAChangeThatIsOnItsWayIsNotRepeated(t *testing.T) {
	c, _ := proposeUndelivered(t)
	require.Zero(t, c.appendsAfter(4*minRetryTicks))
}

func TestAChangeThatWasLostIsRepeatedOnceAtTheNextTick(t *testing.T) {
	c, lost := proposeUndelivered(t)
	require.Zero(t, c.appendsAfter(minRetryTicks))
	c.replicas["a"].Undelivered(lost)
	require.Equal(t, 1, c.appendsAfter(1))
	require.Zero(t, c.appendsAfter(4*minRetryTicks))
}

func TestAChangeThatIsLostAtOnceWaitsForTheShortestPause(t *testing.T) {
	c, lost := proposeUndelivered(t)
	for range 5 {
		c.replicas["a"].Undelivered(lost)
		require.Zero(t, c.appendsAfter(minRetryTicks-1))
		require.Equal(t, 1, c.appendsAfter(1))
	}
}

func TestOtherMessagesThatWereLostAreNoReasonToRepeatAChange(t *testing.T) {
	for name, change := range map[string]func(*pb.Message){
		"to another machine": func(message *pb.Message) { message.ToIdentity = "c" },
		"of an earlier view": func(message *pb.Message) { message.GetAppend().ViewNumber-- },
		"a server list":      func(message *pb.Message) { message.Body = &pb.Message_ServerList{} },
	} {
		t.Run(name, func(t *testing.T) {
			c, lost := proposeUndelivered(t)
			change(lost)
			c.replicas["a"].Undelivered(lost)
			require.Zero(t, c.appendsAfter(4*minRetryTicks))
		})
	}
}

// A sync response is sent again if it is requested again after it was reported as undelivered.
func TestUndeliveredSyncResponseIsSentAgain(t *testing.T) {
	c, _ := proposeUndelivered(t)
	c.holdBack = func(message *pb.Message) bool { return message.GetSyncResponse() != nil }
	syncRequest := c.syncRequestOf("b")
	syncRequest.Synchronized = false // while the append may be in flight, a synchronized replica gets no answer
	request := &pb.Message{From: replicaNamed("b"), Body: &pb.Message_SyncRequest{SyncRequest: syncRequest}}
	c.deliver("a", request)
	require.Len(t, c.heldBack, 1)
	c.deliver("a", request)
	require.Len(t, c.heldBack, 1, "it may be in flight")
	lost := c.heldBack[0]
	lost.ToIdentity = "b"
	c.appendsAfter(minRetryTicks)
	c.replicas["a"].Undelivered(lost)
	c.deliver("a", request)
	require.Len(t, c.heldBack, 2)
}

// syncRequestOf returns the request that a replica sends its predecessor.
func (c *cluster) syncRequestOf(name string) *pb.SyncRequest {
	var output Output
	c.replicas[name].requestSync(&output)
	return output.Messages[0].Message.GetSyncRequest()
}
