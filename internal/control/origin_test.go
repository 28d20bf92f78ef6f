package control

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A machine that hears no majority takes no order: its chain may be cut off from the others as a whole.
func TestOrdersAreAnsweredAtOnceWithoutAMajority(t *testing.T) {
	a := newAgreed(t)
	for _, kind := range []pb.Order_Kind{pb.Order_KIND_READ, pb.Order_KIND_REPLACE, pb.Order_KIND_EVACUATE_BEGIN} {
		require.Empty(t, repliesTo(a, kind), "it is on its way")
	}
	a.pass(SilenceLimit+2*TickPeriod, 0)
	for _, kind := range []pb.Order_Kind{pb.Order_KIND_READ, pb.Order_KIND_REPLACE, pb.Order_KIND_EVACUATE_BEGIN} {
		replies := repliesTo(a, kind)
		require.Len(t, replies, 1)
		require.EqualValues(t, http.StatusServiceUnavailable, replies[0].Result.GetStatus())
	}
}

// repliesTo returns what is answered at once to an order.
func repliesTo(a *agreed, kind pb.Order_Kind) []Reply {
	var replies []Reply
	for _, action := range a.machine.Step(a.now, Submitted{Order: &pb.Order{Kind: kind}}) {
		if reply, isReply := action.(Reply); isReply {
			replies = append(replies, reply)
		}
	}
	return replies
}
