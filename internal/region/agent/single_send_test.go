package agent

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
	"fieldrelay/internal/testkit/resettest"
)

// callsOf returns all calls that an agent makes, by method name, over one client.
func callsOf(client connect.HTTPClient, url string) map[string]func(context.Context) error {
	link := fieldrelayv1connect.NewControlLinkClient(client, url)
	peer := fieldrelayv1connect.NewAgentPeerClient(client, url, clientOptions()...)
	feed := fieldrelayv1connect.NewProxyFeedClient(client, url, clientOptions()...)
	changes := []*pb.Change{change(1), change(2)}
	return map[string]func(context.Context) error{
		"Watch": func(ctx context.Context) error {
			_, err := link.Watch(ctx, connect.NewRequest(&pb.WatchRequest{HoldMs: 7}))
			return err
		},
		"Shuffle": func(ctx context.Context) error {
			_, err := peer.Shuffle(ctx, connect.NewRequest(&pb.ShuffleRequest{From: &pb.Neighbour{Host: "edge-1"}}))
			return err
		},
		"Push": func(ctx context.Context) error {
			_, err := peer.Push(ctx, connect.NewRequest(&pb.PushRequest{Changes: changes}))
			return err
		},
		"Compare": func(ctx context.Context) error {
			_, err := peer.Compare(ctx, connect.NewRequest(&pb.CompareRequest{List: &pb.ListVersion{Epoch: 3}}))
			return err
		},
		"Apply": func(ctx context.Context) error {
			_, err := feed.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{Changes: changes}))
			return err
		},
		"Status": func(ctx context.Context) error {
			_, err := feed.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
			return err
		},
	}
}

// The transport must not retry a call once a byte of the request has been sent, at whichever byte the connection is
// reset: the repeated request of an abandoned call might arrive after that of a later call.
func TestTransportSendsNoCallTwice(t *testing.T) {
	for name := range callsOf(http.DefaultClient, "") {
		t.Run(name, func(t *testing.T) {
			server := resettest.New(t)
			call := callsOf(&http.Client{Transport: newTransport()}, server.URL)[name]
			require.Empty(t, resettest.Repeated(t, server, 1, func() error { return call(t.Context()) }))
		})
	}
}

// replayable marks its requests as safe for the transport to retry.
type replayable struct{ http.RoundTripper }

func (r replayable) RoundTrip(request *http.Request) (*http.Response, error) {
	changed := request.Clone(request.Context())
	changed.Header["Idempotency-Key"] = nil // marks the request as idempotent; a nil value is not sent
	return r.RoundTripper.RoundTrip(changed)
}

func TestCallsThatAreSentTwiceAreFound(t *testing.T) {
	server := resettest.New(t)
	call := callsOf(&http.Client{Transport: replayable{newTransport()}}, server.URL)["Push"]
	require.NotEmpty(t, resettest.Repeated(t, server, 1, func() error { return call(t.Context()) }))
}

// exchangeWithCore passes a request of another agent to the core, and returns the response.
func exchangeWithCore[T any](s *coreDriver, newRequest func(response chan<- *T) event) *T {
	response := make(chan *T, 1)
	s.step(newRequest(response))
	return <-response
}

// Calls of other agents must be idempotent, since a request may be received twice.
func TestCallsOfOthersMayComeTwice(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.now = exchangeInterval
	from := &pb.Neighbour{Host: "edge-2", Address: "10.0.0.2:7661", Zone: "zone-a", Region: "region-a"}
	push := func() *pb.PushResponse {
		return exchangeWithCore(s, func(response chan<- *pb.PushResponse) event {
			return pushRequested{request: &pb.PushRequest{From: from, Changes: []*pb.Change{change(1), change(2)}, List: serverList(1, "i-1")}, response: response}
		})
	}
	first := push()
	require.EqualValues(t, 2, first.GetSequence())
	digests := s.core.replica.Snapshot().Digests()
	s.pending = nil
	require.Equal(t, first, push())
	require.Equal(t, digests, s.core.replica.Snapshot().Digests())
	_, passedOn := takeCall[pushCall](s)
	require.False(t, passedOn, "a repeated update is not forwarded again")

	compare := func() *pb.CompareResponse {
		return exchangeWithCore(s, func(response chan<- *pb.CompareResponse) event {
			return compareRequested{request: &pb.CompareRequest{From: from, Digests: gossip.NewReplica().Snapshot().Digests()}, response: response}
		})
	}
	require.Equal(t, compare(), compare())
	require.Equal(t, digests, s.core.replica.Snapshot().Digests())

	swap := func() {
		exchangeWithCore(s, func(response chan<- *pb.ShuffleResponse) event {
			return shuffleRequested{request: &pb.ShuffleRequest{From: from, Sample: []*pb.Neighbour{{Host: "edge-3", Address: "c:1"}}}, response: response}
		})
	}
	swap()
	neighbours := hostsOf(s.core.partialView.Neighbours())
	swap()
	require.ElementsMatch(t, neighbours, hostsOf(s.core.partialView.Neighbours()))
}

func hostsOf(neighbours []shuffle.Neighbour) []string {
	hosts := make([]string, 0, len(neighbours))
	for _, neighbour := range neighbours {
		hosts = append(hosts, neighbour.Host)
	}
	return hosts
}
