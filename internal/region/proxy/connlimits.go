package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"fieldrelay/internal/region/route"
)

const (
	// defaultMaxHeader is the limit on the head of a request, in bytes, if the configuration has none. The three
	// defaults are generous, since connections accepted before the first configuration keep the defaults, and the
	// configuration may have wide limits.
	defaultMaxHeader = 64 << 10
	// defaultHeaderRead is the time limit for receiving the head of a request if the configuration has none.
	defaultHeaderRead = 10 * time.Second
	// defaultKeepAlive is the limit on the idle time of a connection if the configuration has none.
	defaultKeepAlive = time.Minute
	// timeoutSlack is added to the limits on times, so that a client that observes the limits closes the connection first.
	timeoutSlack = time.Second
	// headerSlack is added to the limit on heads, since net/http also counts the request line and line ends.
	headerSlack = 4 << 10
)

// connLimits are the limits on a client's connection.
type connLimits struct {
	maxHeader  int           // maximum size of the head of a request, in bytes
	headerRead time.Duration // time limit for receiving the head of a request
	keepAlive  time.Duration // maximum idle time between requests
}

// connLimitsOf returns the configured limits, with defaults for missing limits and with slack added.
func connLimitsOf(configured route.RequestLimits) connLimits {
	limits := connLimits{maxHeader: defaultMaxHeader, headerRead: defaultHeaderRead, keepAlive: defaultKeepAlive}
	if configured.MaxHeaderBytes > 0 {
		limits.maxHeader = int(configured.MaxHeaderBytes)
	}
	if configured.HeaderRead > 0 {
		limits.headerRead = configured.HeaderRead
	}
	if configured.KeepAlive > 0 {
		limits.keepAlive = configured.KeepAlive
	}
	limits.maxHeader += headerSlack
	limits.headerRead += timeoutSlack
	limits.keepAlive += timeoutSlack
	return limits
}

// narrowerThan reports whether at least one limit is lower than in the other limits.
func (l connLimits) narrowerThan(other connLimits) bool {
	return l.maxHeader < other.maxHeader || l.headerRead < other.headerRead || l.keepAlive < other.keepAlive
}

// limitedHandler serves the connections that were accepted under the same limits.
type limitedHandler struct {
	http.Handler
	limits     connLimits
	superseded atomic.Bool // wider limits are in force
}

// ServeHTTP serves a request. A connection whose limits are narrower than the limits in force is closed after the
// response, so that the client connects again and gets the new limits.
func (h *limitedHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.superseded.Load() {
		setConnectionClose(writer.Header())
	}
	h.Handler.ServeHTTP(writer, request)
}
