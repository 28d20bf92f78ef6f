package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"fieldrelay/internal/route"
)

const (
	// defaultMaxHeader bounds the head of a request while no configuration names a bound. It is generous, as the
	// next two are: the connections that come before the configuration keep them, and it may allow much.
	defaultMaxHeader = 64 << 10
	// defaultHeaderRead is how long the head of a request may take while no configuration names a bound.
	defaultHeaderRead = 10 * time.Second
	// defaultKeepAlive is how long a connection may stay idle while no configuration names a bound.
	defaultKeepAlive = time.Minute
	// limitSlack is added to the times that clients are held to, so that the client ends first.
	limitSlack = time.Second
	// headerSlack is added to the bound on heads, which counts the request line and line ends as well.
	headerSlack = 4 << 10
	// acceptBackoff is waited after a connection could not be accepted.
	acceptBackoff = 5 * time.Millisecond
)

// connLimits are what a client may send and how long it may take.
type connLimits struct {
	maxHeader  int
	headerRead time.Duration
	keepAlive  time.Duration
}

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
	limits.headerRead += limitSlack
	limits.keepAlive += limitSlack
	return limits
}

// narrowerThan tells whether other limits allow a client anything that these do not.
func (l connLimits) narrowerThan(other connLimits) bool {
	return l.maxHeader < other.maxHeader || l.headerRead < other.headerRead || l.keepAlive < other.keepAlive
}

// limitedHandler serves the connections that were accepted under some limits.
type limitedHandler struct {
	http.Handler
	limits     connLimits
	superseded atomic.Bool // later limits allow more
}

// ServeHTTP asks the clients of connections whose limits are too narrow by now to open others.
func (h *limitedHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.superseded.Load() {
		setConnectionClose(writer.Header())
	}
	h.Handler.ServeHTTP(writer, request)
}
