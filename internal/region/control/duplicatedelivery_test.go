package control

import (
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/testkit/resettest"
)

// The transport must not resend a request by itself once a byte of it has been sent: an order that was already answered
// could be delivered again.
func TestTransportDeliversNoMessageTwice(t *testing.T) {
	server := resettest.New(t)
	peer := fieldrelayv1connect.NewControlPeerClient(newPeerSenders(t.Context(), &counters{}).client, server.URL)
	order := &pb.Message{Body: &pb.Message_Order{Order: &pb.Order{Id: 5, Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "z"}}}
	require.Empty(t, resettest.Repeated(t, server, 1, func() error {
		_, err := peer.Deliver(t.Context(), connect.NewRequest(&pb.DeliverRequest{Messages: []*pb.Message{order}}))
		return err
	}))
}

// replayable marks requests as idempotent, so that the transport retries them.
type replayable struct{ http.RoundTripper }

func (r replayable) RoundTrip(request *http.Request) (*http.Response, error) {
	changed := request.Clone(request.Context())
	changed.Header["Idempotency-Key"] = nil // the key without a value marks the request as idempotent and is not sent
	return r.RoundTripper.RoundTrip(changed)
}

func TestMessagesThatAreDeliveredTwiceAreFound(t *testing.T) {
	server := resettest.New(t)
	client := &http.Client{Transport: replayable{newPeerSenders(t.Context(), &counters{}).client.Transport}}
	peer := fieldrelayv1connect.NewControlPeerClient(client, server.URL)
	require.NotEmpty(t, resettest.Repeated(t, server, 1, func() error {
		_, err := peer.Deliver(t.Context(), connect.NewRequest(&pb.DeliverRequest{}))
		return err
	}))
}
