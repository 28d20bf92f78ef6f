package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeout is how long a connection is kept idle when the server tells no time.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the time that a server may tell.
	maxIdleTimeout = 30 * time.Second
	// minIdleTimeout is the shortest time worth keeping a connection for.
	minIdleTimeout = 100 * time.Millisecond
	// idleMargin is left before the server would close the connection: the way there takes time.
	idleMargin = 500 * time.Millisecond
)

// recordKeepAlive remembers the time that a server gives in Keep-Alive.
func (c *Conn) recordKeepAlive(header http.Header) {
	values := header["Keep-Alive"]
	if len(values) == 0 {
		return
	}
	if timeout, ok := keepAliveTimeout(values[0]); ok {
		c.idleTimeout = usableIdleTimeout(timeout)
	}
}

// keepAliveTimeout reads the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.Trim(number, "\" "), 10, 16)
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}

// usableIdleTimeout is the part of the told time during which a connection is reused.
func usableIdleTimeout(advertised time.Duration) time.Duration {
	usable := min(advertised, maxIdleTimeout) - idleMargin
	return max(usable, 0)
}
