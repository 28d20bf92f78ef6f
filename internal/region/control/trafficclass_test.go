package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/testkit/resettest"
)

// deliveryReceiver receives deliveries; those with a change block until release is closed.
type deliveryReceiver struct {
	address  string
	received chan *pb.Message
	release  chan struct{}
	bytes    atomic.Int64 // total size of the bodies of all requests
}

func newDeliveryReceiver(t *testing.T, options ...connect.HandlerOption) *deliveryReceiver {
	t.Helper()
	r := &deliveryReceiver{received: make(chan *pb.Message, 16), release: make(chan struct{})}
	server := httptest.NewServer(r.handler(options...))
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

// handler returns the handler of a server that passes deliveries to the receiver.
func (r *deliveryReceiver) handler(options ...connect.HandlerOption) http.Handler {
	path, handler := fieldrelayv1connect.NewControlPeerHandler(r, options...)
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, request *http.Request) {
		request.Body = &countedBody{ReadCloser: request.Body, bytes: &r.bytes}
		handler.ServeHTTP(w, request)
	})
	return mux
}

type countedBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b *countedBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	b.bytes.Add(int64(read))
	return read, err
}

func (r *deliveryReceiver) Deliver(_ context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	for _, message := range request.Msg.GetMessages() {
		if message.GetAppend() != nil {
			<-r.release
		}
		r.received <- message
	}
	return connect.NewResponse(&pb.DeliverResponse{}), nil
}

// next returns the next message; nil if none arrives in time.
func (r *deliveryReceiver) next() *pb.Message {
	select {
	case message := <-r.received:
		return message
	case <-time.After(5 * time.Second):
		return nil
	}
}

// largeAppend is an Append of one change to many routes.
func largeAppend() *pb.Message {
	change := &pb.Change{Sequence: 1, Generation: 1}
	for number := range 1400 {
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: "routes",
			Name: fmt.Sprintf("r-%d", number),
			Body: fmt.Appendf(nil, `{"name":"r-%d","vhost":"h%d.example","deadline-ms":5000,"backend":"model"}`, number, number*7919),
		})
	}
	return &pb.Message{Body: &pb.Message_Append{Append: &pb.Append{Changes: []*pb.Change{change}}}}
}

func heartbeatMessage() *pb.Message {
	return &pb.Message{Body: &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
}

// Heartbeats must not wait behind a large configuration, or the other machines would suspect their sender.
func TestHeartbeatsDoNotWaitBehindAConfiguration(t *testing.T) {
	other := newDeliveryReceiver(t, CompressedDeliveries())
	senders := newPeerSenders(t.Context(), &counters{})
	senders.send(other.address, largeAppend())
	senders.send(other.address, heartbeatMessage())
	require.NotNil(t, other.next().GetHeartbeat())
	close(other.release)
	require.Len(t, other.next().GetAppend().GetChanges()[0].GetUpserts(), 1400)
}

func TestChangesKeepTheirOrder(t *testing.T) {
	small := &pb.Message{Body: &pb.Message_Append{Append: &pb.Append{}}}
	require.Equal(t, classOf(largeAppend()), classOf(small))
	require.Equal(t, classUrgent, classOf(&pb.Message{Body: &pb.Message_Order{Order: &pb.Order{Zone: "brno"}}}))
	large := &pb.Order{Body: make([]byte, maxUrgentBytes+1)}
	require.Equal(t, classBulk, classOf(&pb.Message{Body: &pb.Message_Order{Order: large}}))
}

// Calls must not wait behind a configuration or behind registers of other calls, and the requests to a voter must
// arrive in order.
func TestCallsAndRegistersHaveConnectionsOfTheirOwn(t *testing.T) {
	for class, messages := range map[trafficClass][]*pb.Message{
		classRegisters: {
			{Body: &pb.Message_RegisterPrepare{}}, {Body: &pb.Message_RegisterPromise{}},
			{Body: &pb.Message_RegisterAccept{}}, {Body: &pb.Message_RegisterAccepted{}},
		},
		classCalls:  {{Body: &pb.Message_CoordinationCall{}}, {Body: &pb.Message_CoordinationResult{}}},
		classBulk:   {{Body: &pb.Message_RegisterTransfer{}}},
		classUrgent: {{Body: &pb.Message_RegisterTransferRequest{}}},
	} {
		for _, message := range messages {
			require.Equal(t, class, classOf(message), "%T", message.GetBody())
		}
	}
}

func TestLargeDeliveriesAreCompressed(t *testing.T) {
	other := newDeliveryReceiver(t, CompressedDeliveries())
	close(other.release)
	senders := newPeerSenders(t.Context(), &counters{})
	message := largeAppend()
	senders.send(other.address, message)
	require.Len(t, other.next().GetAppend().GetChanges()[0].GetUpserts(), 1400)
	plainSize := 0
	for _, item := range message.GetAppend().GetChanges()[0].GetUpserts() {
		plainSize += len(item.GetBody())
	}
	require.Less(t, 4*other.bytes.Load(), int64(plainSize))
}

func TestMachinesThatReadNothingCompressedGetPlainDeliveries(t *testing.T) {
	other := newDeliveryReceiver(t, connect.WithCompression(gzipName, nil, nil))
	close(other.release)
	senders := newPeerSenders(t.Context(), &counters{})
	for range 2 {
		senders.send(other.address, largeAppend())
		require.Len(t, other.next().GetAppend().GetChanges()[0].GetUpserts(), 1400)
	}
}

// A change whose delivery fails with a connection reset must be reported. Heartbeats need no report, since later ones
// replace them.
func TestUndeliveredChangesAreReported(t *testing.T) {
	server := resettest.New(t)
	senders := newPeerSenders(t.Context(), &counters{})
	undelivered := make(chan *pb.Message, 16)
	senders.undelivered = func(message *pb.Message) { undelivered <- message }
	address := strings.TrimPrefix(server.URL, "http://")
	// After a successful compressed delivery, a failed one is not repeated uncompressed.
	senders.send(address, largeAppend())
	require.Eventually(t, func() bool { return senders.counters.sent.Load() == 1 }, 5*time.Second, time.Millisecond)
	lost := largeAppend()
	for _, message := range []*pb.Message{heartbeatMessage(), lost} {
		server.ResetAfter(resettest.CompleteRequest)
		senders.send(address, message)
		require.Eventually(t, func() bool { return server.Arrivals() == 1 }, 5*time.Second, time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(undelivered) > 0 }, 5*time.Second, time.Millisecond)
	require.Same(t, lost, <-undelivered)
	require.Empty(t, undelivered)
}

// A call must not be delivered again after a failure: a duplicate could be executed after the application was told that
// the call was not executed.
func TestLargeCallsAreDeliveredOnce(t *testing.T) {
	server := resettest.New(t)
	senders := newPeerSenders(t.Context(), &counters{})
	server.ResetAfter(resettest.CompleteRequest)
	senders.send(strings.TrimPrefix(server.URL, "http://"), &pb.Message{Body: &pb.Message_CoordinationCall{
		CoordinationCall: &pb.CoordinationCall{Operation: &pb.CoordinationCall_Put{
			Put: &pb.PutKey{Name: "g.k", Value: strings.Repeat("x", 2*minCompressedBytes)},
		}},
	}})
	require.Eventually(t, func() bool {
		return senders.counters.sent.Load()+senders.counters.failedCalls.Load() == 1
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, server.Arrivals())
}

func TestExpiredChangesAreReported(t *testing.T) {
	senders := newPeerSenders(t.Context(), &counters{})
	var undelivered []*pb.Message
	senders.undelivered = func(message *pb.Message) { undelivered = append(undelivered, message) }
	expired := queuedMessage{message: largeAppend(), at: time.Now().Add(-2 * maxQueueDelay)}
	fresh := queuedMessage{message: largeAppend(), at: time.Now()}
	for _, class := range []trafficClass{classUrgent, classBulk} {
		sender := &peerSender{owner: senders, key: senderKey{class: class}, queue: []queuedMessage{expired, fresh}}
		require.Equal(t, []*pb.Message{fresh.message}, sender.takeQueued())
	}
	require.Len(t, undelivered, 1)
	require.Same(t, expired.message, undelivered[0])
}
