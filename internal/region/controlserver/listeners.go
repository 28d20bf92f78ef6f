package controlserver

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/coordinationapi"
	"fieldrelay/internal/region/operatorapi"
)

const (
	// userTimeout is the TCP user timeout (RFC 5482): it closes a connection whose peer does not acknowledge data
	// because the peer's machine has failed or is partitioned.
	userTimeout = 3 * time.Second

	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10

	// listenAttempts and listenBackoff bound the wait for a listen address that an earlier process still uses.
	listenAttempts = 20
	listenBackoff  = 250 * time.Millisecond

	// peerPortIndex is the index in the settings' port range of the port for control machines and agents.
	peerPortIndex = 0

	// maxMessageBytes is the maximum size of one message from a control machine or an agent.
	maxMessageBytes = 32 << 20
)

// listeningServer is an HTTP server with its listener.
type listeningServer struct {
	server   *http.Server
	listener net.Listener
	peers    bool // serves control machines and agents; otherwise operators, clients and applications
}

// Serve serves until the server is shut down. It always returns an error.
func (s *listeningServer) Serve() error { return s.server.Serve(s.listener) }

// shutDown closes the listener and waits for the open calls. After the timeout it closes their connections.
func (s *listeningServer) shutDown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close() // the process is about to exit, so a failure to close has no consequence
	}
}

// listenAll opens all listeners, or none.
func (p *process) listenAll(ctx context.Context) ([]*listeningServer, error) {
	var servers []*listeningServer
	for address, handler := range p.handlers() {
		listener, err := listen(ctx, address)
		if err != nil {
			for _, opened := range servers {
				_ = opened.listener.Close() // the error of listen is returned instead
			}
			return nil, err
		}
		servers = append(servers, &listeningServer{
			server:   newHTTPServer(handler),
			listener: listener,
			peers:    address == p.settings.Current().Port(peerPortIndex),
		})
	}
	return servers, nil
}

// handlers returns the handlers by listen address. The operator's API and the directory may share one.
func (p *process) handlers() map[string]http.Handler {
	current := p.settings.Current()
	services := make(map[string]operatorapi.Services)
	if address := current.Binds.Control; address != "" {
		services[address] = operatorapi.Services{Operator: true}
	}
	if address := current.Binds.Directory; address != "" {
		services[address] = operatorapi.Services{Operator: services[address].Operator, Directory: true}
	}
	handlers := map[string]http.Handler{current.Port(peerPortIndex): p.peerHandler(current.Hostname)}
	operatorServer := operatorapi.New(p.operatorOptions())
	calls := coordinationapi.New(p.coordinationOptions()).Handler()
	for address, chosen := range services {
		handlers[address] = operatorServer.Handler(chosen)
		if chosen.Operator {
			handlers[address] = withCoordination(calls, handlers[address])
		}
	}
	return handlers
}

// withCoordination returns a handler that passes the calls of applications to calls and all other requests to others.
func withCoordination(calls, others http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if coordinationapi.Serves(r.URL.Path) {
			calls.ServeHTTP(w, r)
			return
		}
		others.ServeHTTP(w, r)
	})
}

// coordinationOptions configures the API of applications.
func (p *process) coordinationOptions() coordinationapi.Options {
	return coordinationapi.Options{
		Calls:        p.node,
		Ready:        func() bool { return p.node.Status().Founded },
		ShuttingDown: p.shuttingDown,
		Counters:     &p.callCounters,
	}
}

// peerHandler returns the handler for the other control machines and the agents. Responses are not compressed
// individually, since a compressor takes more memory than all else that a response needs. Large parts of responses are
// compressed once for all agents.
func (p *process) peerHandler(host string) http.Handler {
	options := []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
	agents := newLinkService(p.node, p.soft, host, p.shuttingDown)
	agents.counters = &p.watchCounters
	mux := http.NewServeMux()
	deliveries := append(slices.Clone(options), control.CompressedDeliveries())
	mux.Handle(fieldrelayv1connect.NewControlPeerHandler(p.node, deliveries...))
	mux.Handle(fieldrelayv1connect.NewControlLinkHandler(agents, options...))
	mux.Handle(fieldrelayv1connect.NewControlStatusHandler(statusService{p}, options...))
	return mux
}

// setUserTimeout sets the user timeout of a socket; accepted connections inherit it from their listener.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		// Without the option, failed peers are detected later, by keep-alives.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// listen opens a TCP listener, and retries while the address is in use.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
	}
	var err error
	for range listenAttempts {
		var listener net.Listener
		listener, err = config.Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "listen on %s", address)
		case <-time.After(listenBackoff):
		}
	}
	return nil, errors.Wrapf(err, "listen on %s", address)
}

// newHTTPServer returns a server for HTTP/1.1 with small limits. The log of net/http is discarded, since it concerns
// only single connections.
func newHTTPServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		ConnContext:       operatorapi.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}
