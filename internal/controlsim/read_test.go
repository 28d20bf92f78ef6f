package controlsim

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/control"
)

// staleRead is the id of the read in these tests, which no machine uses.
const staleRead = 424242

// A tail that was cut off holds an old view, though the messages of its check of the view pass. A read that
// reaches it must not be answered with what it holds.
func TestTailThatWasReplacedAnswersNoRead(t *testing.T) {
	require.False(t, answersStaleRead(t, mutation{}))
}

func TestCheckOfTheViewIsWhatPreventsStaleReads(t *testing.T) {
	require.True(t, answersStaleRead(t, mutation{message: alwaysCurrent}))
}

// answersStaleRead reports whether a replaced tail answers a read with an old configuration.
func answersStaleRead(t *testing.T, planted mutation) bool {
	answered := false
	watch := func(message *pb.Message) *pb.Message {
		if result := message.GetOrderResult(); result.GetId() == staleRead && result.GetStatus() == http.StatusOK {
			answered = true
		}
		return planted.onMessage(message)
	}
	w := newWorld(plan{
		seed:     3,
		machines: 3,
		zones:    3,
		required: chain.Requirement{Replicas: 2, Zones: 2},
		mutation: mutation{message: watch},
		calm:     true,
	})
	require.True(t, w.acknowledgeOne(foundWithin))
	tail := w.byPeer[w.hosts[0].machine.View().GetChain()[2].GetAddress()]
	w.network.passes = func(message *pb.Message) bool {
		return message.GetViewCheck() != nil || message.GetViewCheckResult() != nil
	}
	for _, other := range w.hosts {
		if other != tail {
			w.network.cut(tail, other, false, true)
		}
	}
	w.run(2 * time.Second)
	require.True(t, w.acknowledgeOneAt(w.otherThan(tail), foundWithin))
	tail.deliver(control.Received{Message: &pb.Message{
		From:       w.otherThan(tail).machine.Self(),
		ToIdentity: tail.machine.Self().GetIdentity(),
		Body: &pb.Message_Order{Order: &pb.Order{
			Id:   staleRead,
			Kind: pb.Order_KIND_READ,
		}},
	}})
	w.run(time.Second)
	return answered
}

func (w *world) otherThan(not *host) *host {
	for _, host := range w.hosts {
		if host != not {
			return host
		}
	}
	return nil
}

// acknowledgeOne gets one configuration acknowledged.
func (w *world) acknowledgeOne(limit time.Duration) bool { return w.acknowledgeOneAt(nil, limit) }

func (w *world) acknowledgeOneAt(host *host, limit time.Duration) bool {
	operator := &operator{world: w, name: 4, ended: true, only: host, count: w.checker.acknowledged}
	operator.insist()
	return w.runUntil(limit, func() bool { return operator.tries < 0 })
}

func alwaysCurrent(message *pb.Message) *pb.Message {
	if message.GetViewCheckResult() == nil {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetViewCheckResult().Current = true
	return changed
}
