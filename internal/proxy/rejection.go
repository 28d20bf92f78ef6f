package proxy

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// abortConnection ends a client's connection in the middle of an answer. An answer with a length or in chunks is seen
// to be cut; one that a client of HTTP/1.0 gets may end with the connection, so that this must be reset.
func abortConnection(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			if socket, ok := conn.(*net.TCPConn); ok {
				_ = socket.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// refusal is an answer of the proxy's own to a request that was not passed on.
type rejection struct {
	status          int
	retryAfter      time.Duration // 0: not told
	closeConnection bool          // the connection can't be used any longer
}

// drainRejection is the answer to a request that comes too late in a drain.
var drainRejection = &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterShort, closeConnection: true}

// refuse writes an answer of the proxy's own. It goes out however late it comes.
func (h *handler) reject(writer http.ResponseWriter, response *rejection) {
	h.counters.countOwnResponse(response.status)
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeSlack))
	header := writer.Header()
	suppressDefaults(header)
	if response.retryAfter > 0 {
		header["Retry-After"] = []string{retryAfter(response.retryAfter)}
	}
	header["Content-Length"] = []string{"0"}
	if response.closeConnection || h.lifecycle.draining() {
		setConnectionClose(header)
	}
	writer.WriteHeader(response.status)
}

// setConnectionClose ends the client's connection after the answer.
func setConnectionClose(header http.Header) { header["Connection"] = []string{"close"} }

var (
	errNoConfiguration = errors.New("no configuration is held")
	errNoRoute         = errors.New("no route")
	errLimitsUnknown   = errors.New("the request is larger than is taken before a configuration tells its bounds")
)

// rejectionOf is the answer to a request that was not taken in.
func rejectionOf(err error) *rejection {
	switch {
	case errors.Is(err, errNoRoute):
		return &rejection{status: http.StatusNotFound}
	case errors.Is(err, errNoConfiguration):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoConfiguration}
	case errors.Is(err, errLimitsUnknown):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterNoConfiguration, closeConnection: true}
	case errors.Is(err, errBodyTooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, closeConnection: true}
	case errors.Is(err, errNoMemory):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAfterShort, closeConnection: true}
	default:
		return &rejection{status: http.StatusRequestTimeout, closeConnection: true}
	}
}
