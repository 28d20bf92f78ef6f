package proxy

import (
	"time"

	"fieldrelay/internal/region/route"
)

const (
	// defaultMaxHeader is the limit on the head of a request, in bytes, if the configuration has none. The three
	// defaults are generous, since they apply before the first configuration arrives, which may have wide limits.
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

// widest returns the wider of each of the limits and the other limits.
func (l connLimits) widest(other connLimits) connLimits {
	return connLimits{
		maxHeader:  max(l.maxHeader, other.maxHeader),
		headerRead: max(l.headerRead, other.headerRead),
		keepAlive:  max(l.keepAlive, other.keepAlive),
	}
}
