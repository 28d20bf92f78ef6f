// Package operatorapi serves the operator's calls and the directory of a control machine over HTTP, as
// described by api/operator.yaml. It checks form and size, hands orders to the replicated control state and
// turns their results into answers; it keeps no state of its own.
package operatorapi

import (
	"context"
	"net/http"
	"strings"
	"time"

	"fieldrelay/api/operator"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// DefaultMaxBodyBytes bounds the body of an order.
	DefaultMaxBodyBytes = 16 << 20

	operatorPrefixConfiguration = "/api/conf/"
	operatorPrefixEvacuation    = "/api/drain/"
	directoryPath               = "/api/lookup"
)

// Orders is the replicated control state as this package needs it.
type Orders interface {
	// Submit hands an order over and waits for its result, at most until the context ends. The status of the
	// result is an HTTP status, 503 if the fate of the order is not known.
	Submit(ctx context.Context, order *pb.Order) *pb.OrderResult
}

// Options configures a Server. All functions are safe for concurrent use and do not block.
type Options struct {
	Orders Orders
	// Ready reports whether orders can be handed over at all; they are answered 503 at once otherwise.
	Ready func() bool
	// Authoritative reports whether this machine holds the agreed state.
	Authoritative func() bool
	// ZoneKnown reports whether a zone of this name exists.
	ZoneKnown func(zone string) bool
	// Endpoints returns the edge addresses for clients of a host in a region and zone, none if none is known.
	Endpoints func(host, region, zone string) []string
	// EndpointsLifetime is how long clients may use the addresses; whole seconds count, one at least.
	EndpointsLifetime func() time.Duration
	// MaxBodyBytes bounds the body of an order; 0 stands for DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Counters counts calls; nil: they are not counted.
	Counters *Counters
}

// Server answers the operator's calls and the directory's.
type Server struct {
	options        Options
	orderSlots     chan struct{} // one token for each order under way
	largeBodySlots chan struct{} // one token for each large body in memory
}

// New returns a server.
func New(options Options) *Server {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.Counters == nil {
		options.Counters = &Counters{}
	}
	return &Server{
		options:        options,
		orderSlots:     make(chan struct{}, maxConcurrentOrders),
		largeBodySlots: make(chan struct{}, maxConcurrentLargeBodies),
	}
}

// Services says which calls a handler serves; the rest is answered 404.
type Services struct {
	Operator  bool
	Directory bool
}

// Handler returns the handler of some of the calls.
func (s *Server) Handler(services Services) http.Handler {
	all := operator.HandlerWithOptions(s, operator.StdHTTPServerOptions{
		ErrorHandlerFunc: func(w http.ResponseWriter, _ *http.Request, err error) {
			s.reject(w, &BadParameterError{Cause: err})
		},
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !services.include(r.URL.Path) {
			http.NotFound(w, r)
			return
		}
		defer markReady(r)
		all.ServeHTTP(w, r)
	})
}

func (services Services) include(path string) bool {
	if path == directoryPath {
		return services.Directory
	}
	if !services.Operator {
		return false
	}
	return strings.HasPrefix(path, operatorPrefixConfiguration) ||
		strings.HasPrefix(path, operatorPrefixEvacuation)
}
