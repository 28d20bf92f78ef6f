package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the timeout that a server may advertise.
	maxIdleTimeout = 30 * time.Second
	// minIdleTimeout is the shortest idle timeout for which a connection is kept for reuse.
	minIdleTimeout = 100 * time.Millisecond
	// idleMargin is how long before the server's advertised timeout an idle connection is closed. A request takes
	// time to reach the server, and one that arrives while the server closes the connection is lost.
	idleMargin = 500 * time.Millisecond
)

// recordKeepAlive records the timeout that a server advertises in its Keep-Alive header.
func (c *Conn) recordKeepAlive(header http.Header) {
	values := header["Keep-Alive"]
	if len(values) == 0 {
		return
	}
	if timeout, ok := keepAliveTimeout(values[0]); ok {
		c.idleTimeout = usableIdleTimeout(timeout)
	}
}

// keepAliveTimeout parses the timeout parameter, in seconds, of a Keep-Alive header (RFC 2068, section 19.7.1.1).
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

// usableIdleTimeout returns how long a connection may stay idle and still be reused, given the advertised timeout.
func usableIdleTimeout(advertised time.Duration) time.Duration {
	usable := min(advertised, maxIdleTimeout) - idleMargin
	return max(usable, 0)
}
