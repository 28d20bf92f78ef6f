package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

const (
	// maxHeaderBytes is the size in bytes of the largest header of a request.
	maxHeaderBytes = 8 << 10
	// readTimeout is the time in which a request has to come whole.
	readTimeout = 10 * time.Second
	// serverIdleTimeout closes a connection of another agent that carried no call for so long: later than the
	// other side does, so that no call meets the closing.
	serverIdleTimeout = idleTimeout + 30*time.Second
)

// keepAlive makes idle connections notice that the other side is gone.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     10 * time.Second,
	Interval: 2 * time.Second,
	Count:    2,
}

// errBusy refuses a call for which the queue has no room.
var errBusy = errors.New("the agent is busy")

// peerService serves the other agents.
type peerService struct {
	events chan<- event
}

var _ fieldrelayv1connect.AgentPeerHandler = peerService{}

// Shuffle exchanges neighbours.
func (s peerService) Shuffle(ctx context.Context, request *connect.Request[pb.ShuffleRequest]) (*connect.Response[pb.ShuffleResponse], error) {
	answer := make(chan *pb.ShuffleResponse, 1)
	return submit(ctx, s.events, shuffleRequested{request: request.Msg, answer: answer}, answer)
}

// Push takes news.
func (s peerService) Push(ctx context.Context, request *connect.Request[pb.PushRequest]) (*connect.Response[pb.PushResponse], error) {
	answer := make(chan *pb.PushResponse, 1)
	return submit(ctx, s.events, pushRequested{request: request.Msg, answer: answer}, answer)
}

// Compare tells what is newer here.
func (s peerService) Compare(ctx context.Context, request *connect.Request[pb.CompareRequest]) (*connect.Response[pb.CompareResponse], error) {
	answer := make(chan *pb.CompareResponse, 1)
	return submit(ctx, s.events, compareRequested{request: request.Msg, answer: answer}, answer)
}

// ask hands a call to the core and waits for its answer.
func submit[T any](ctx context.Context, events chan<- event, request event, answer <-chan *T) (*connect.Response[T], error) {
	select {
	case events <- request:
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	select {
	case reply := <-answer:
		return connect.NewResponse(reply), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// newServer serves the other agents.
func newServer(events chan<- event, logger *zap.Logger) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(fieldrelayv1connect.NewAgentPeerHandler(
		peerService{events: events},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", nil, nil),
	))
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(logger.Named("http")),
	}
}

// listen opens the address of the peer service.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: controlSocket}
	listener, err := config.Listen(ctx, "tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s for other agents", address)
}
