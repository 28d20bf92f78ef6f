package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTime is how long a connection is kept idle when the server tells no time.
	defaultIdleTime = 4 * time.Second
	// maxIdleTime bounds the time that a server may tell.
	maxIdleTime = 30 * time.Second
	// minIdleTime is the shortest time worth keeping a connection for.
	minIdleTime = 100 * time.Millisecond
	// idleMargin is left before the server would close the connection: the way there takes time.
	idleMargin = 500 * time.Millisecond
)

// noteIdleTime remembers the time that a server gives in Keep-Alive.
func (c *Conn) noteIdleTime(header http.Header) {
	values := header["Keep-Alive"]
	if len(values) == 0 {
		return
	}
	if told, ok := keepAliveTimeout(values[0]); ok {
		c.idleTime = usableIdleTime(told)
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

// usableIdleTime is the part of the told time during which a connection is reused.
func usableIdleTime(told time.Duration) time.Duration {
	usable := min(told, maxIdleTime) - idleMargin
	return max(usable, 0)
}
