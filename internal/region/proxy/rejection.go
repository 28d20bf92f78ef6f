package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// retryAtOnce is the Retry-After value if a retry may succeed at once, at this proxy or another one: the shortest one.
const retryAtOnce = time.Millisecond

// abortConnection closes a client's connection in the middle of a response. If the response has a length or is chunked,
// the client detects that it is incomplete. A response to an HTTP/1.0 client may be close-delimited, so the connection of
// such a client is reset instead. abortConnection panics with http.ErrAbortHandler, which makes net/http close the
// connection.
func abortConnection(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			if socket, ok := conn.(*clientConn); ok {
				_ = socket.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// rejection is a response of the proxy itself to a request for which no server's response is forwarded.
type rejection struct {
	status          int
	retryAfter      time.Duration // 0 for a response without Retry-After
	closeConnection bool          // the connection can't be used for another request
}

// drainRejection is the response to a request that arrives too late during a shutdown.
var drainRejection = &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAtOnce, closeConnection: true}

// reject sends a response of the proxy itself. It extends the write deadline, so that the response is sent even after
// the request's deadline.
func (h *handler) reject(writer http.ResponseWriter, response *rejection) {
	h.counters.countOwnResponse(response.status)
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeSlack))
	header := writer.Header()
	suppressDefaults(header)
	if response.retryAfter > 0 {
		header["Retry-After"] = []string{formatRetryAfter(response.retryAfter)}
	}
	header["Content-Length"] = []string{"0"}
	if response.closeConnection || h.lifecycle.draining() {
		setConnectionClose(header)
	}
	writer.WriteHeader(response.status)
}

// setConnectionClose makes net/http close the client's connection after the response.
func setConnectionClose(header http.Header) { header["Connection"] = []string{"close"} }

var (
	errNoConfiguration = errors.New("no configuration received yet")
	errNoRoute         = errors.New("no route matches the host and path of the request")
	errLimitsUnknown   = errors.New("request body exceeds the default size limit, and no configuration has been received yet")
)

// rejectionOf maps an error of handler.receive to the response.
func rejectionOf(err error) *rejection {
	switch {
	case errors.Is(err, errNoRoute):
		return &rejection{status: http.StatusNotFound}
	case errors.Is(err, errNoConfiguration):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAtOnce}
	case errors.Is(err, errLimitsUnknown):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAtOnce, closeConnection: true}
	case errors.Is(err, errBodyTooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, closeConnection: true}
	case errors.Is(err, errNoMemory):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: retryAtOnce, closeConnection: true}
	default:
		return &rejection{status: http.StatusRequestTimeout, closeConnection: true}
	}
}
