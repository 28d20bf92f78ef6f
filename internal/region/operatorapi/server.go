// Package operatorapi serves the operator's API and the directory of a control machine over HTTP, as specified by
// api/operator.yaml. It checks the form, size and freshness of a request, submits its order to the replicated control
// state and converts the result into a response.
//
// The package neither validates the content of orders (internal/region/catalog) nor executes them
// (internal/region/control). Its only state is counters and the slots of open calls. docs/region/control.md describes
// its responses.
package operatorapi

import (
	"net/http"
	"strings"

	"fieldrelay/api/operator"
	"fieldrelay/internal/region/httpapi"
)

const (
	configurationPrefix = "/api/conf/"
	evacuationPrefix    = "/api/drain/"
	directoryPath       = "/api/lookup"
)

// Server implements the operations of api/operator.yaml. It is safe for concurrent use.
type Server struct {
	options        Options
	orderSlots     httpapi.Slots // slots of open orders
	largeBodySlots httpapi.Slots // slots of large bodies in memory
}

// New returns a server with the defaults of options filled in.
func New(options Options) *Server {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.Counters == nil {
		options.Counters = &Counters{}
	}
	return &Server{
		options:        options,
		orderSlots:     httpapi.NewSlots(maxConcurrentOrders),
		largeBodySlots: httpapi.NewSlots(maxConcurrentLargeBodies),
	}
}

// Services selects the operations that a handler serves; the others are answered with 404.
type Services struct {
	Operator  bool // configuration and evacuations
	Directory bool // lookup of endpoints
}

// Handler returns a handler of the selected operations. The http.Server that serves it must use ConnContext; without it
// every request counts as possibly delayed.
func (s *Server) Handler(services Services) http.Handler {
	operations := operator.HandlerWithOptions(s, operator.StdHTTPServerOptions{
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
		operations.ServeHTTP(w, r)
	})
}

// include reports whether the operation at a path is selected.
func (s Services) include(path string) bool {
	if path == directoryPath {
		return s.Directory
	}
	if !s.Operator {
		return false
	}
	return strings.HasPrefix(path, configurationPrefix) ||
		strings.HasPrefix(path, evacuationPrefix)
}
