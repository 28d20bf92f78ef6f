package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"fieldrelay/internal/region/route"
)

const (
	// defaultMaxHeader bounds the head of a request, in bytes, while no configuration does. It is generous, as the next
	// two are: connections from before the configuration keep them, and the configuration may allow much.
	defaultMaxHeader = 64 << 10
	// defaultHeaderRead is how long the head of a request may take while no configuration bounds it.
	defaultHeaderRead = 10 * time.Second
	// defaultKeepAlive is how long a connection may stay idle while no configuration bounds it.
	defaultKeepAlive = time.Minute
	// timeoutSlack is added to the times, so that the client closes the connection first.
	timeoutSlack = time.Second
	// headerSlack is added to the bound on heads, since net/http counts the request line and line ends as well.
	headerSlack = 4 << 10
)

// connLimits are the limits of a client's connection.
type connLimits struct {
	maxHeader  int           // bytes
	headerRead time.Duration // for the head of a request
	keepAlive  time.Duration // between requests
}

// connLimitsOf returns the limits by the configuration, with defaults and slack.
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

// narrowerThan reports whether other limits allow a client anything that these don't.
func (l connLimits) narrowerThan(other connLimits) bool {
	return l.maxHeader < other.maxHeader || l.headerRead < other.headerRead || l.keepAlive < other.keepAlive
}

// limitedHandler serves the connections that were accepted under the same limits.
type limitedHandler struct {
	http.Handler
	limits     connLimits
	superseded atomic.Bool // by wider limits
}

// ServeHTTP serves a request. A connection whose limits are narrower than the present ones is closed after the
// response, so that the client connects again.
func (h *limitedHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.superseded.Load() {
		setConnectionClose(writer.Header())
	}
	h.Handler.ServeHTTP(writer, request)
}
