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
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 8 << 10
	// readTimeout is the time within which a request has to be received completely.
	readTimeout = 10 * time.Second
	// serverIdleTimeout is the time after which the server closes an idle connection. The client closes it earlier, so
	// that no call is sent on a connection that is being closed.
	serverIdleTimeout = idleTimeout + 30*time.Second
)

// keepAlive configures TCP keep-alive probes, which detect on idle connections that the peer no longer responds.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     10 * time.Second,
	Interval: 2 * time.Second,
	Count:    2,
}

// errBusy is the error of a call that is rejected because the event queue is full.
var errBusy = errors.New("the agent is busy")

// peerService implements the service to other agents. It is safe for concurrent use.
type peerService struct {
	events chan<- event
}

var _ fieldrelayv1connect.AgentPeerHandler = peerService{}

// Shuffle exchanges samples of the partial views.
func (s peerService) Shuffle(ctx context.Context, request *connect.Request[pb.ShuffleRequest]) (*connect.Response[pb.ShuffleResponse], error) {
	response := make(chan *pb.ShuffleResponse, 1)
	return submit(ctx, s.events, shuffleRequested{request: request.Msg, response: response}, response)
}

// Push receives an update from another agent.
func (s peerService) Push(ctx context.Context, request *connect.Request[pb.PushRequest]) (*connect.Response[pb.PushResponse], error) {
	response := make(chan *pb.PushResponse, 1)
	return submit(ctx, s.events, pushRequested{request: request.Msg, response: response}, response)
}

// Compare responds with the state and the server list that this agent has and the caller lacks.
func (s peerService) Compare(ctx context.Context, request *connect.Request[pb.CompareRequest]) (*connect.Response[pb.CompareResponse], error) {
	response := make(chan *pb.CompareResponse, 1)
	return submit(ctx, s.events, compareRequested{request: request.Msg, response: response}, response)
}

// submit posts a request to the core and waits for the response. The error has the code ResourceExhausted if the event
// queue is full, and DeadlineExceeded if ctx is done before the core responds.
func submit[T any](ctx context.Context, events chan<- event, request event, response <-chan *T) (*connect.Response[T], error) {
	select {
	case events <- request:
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	select {
	case message := <-response:
		return connect.NewResponse(message), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// newServer returns the HTTP server for other agents.
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

// listen opens the listener of the service to other agents.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s for other agents", address)
}
