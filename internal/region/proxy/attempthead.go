package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// attemptHead is the head (request line and headers) of a request to a server. It is encoded by appending to a
// buffer, without allocations.
type attemptHead struct {
	method      string
	target      string // path and query, byte for byte as the client sent them
	host        string
	header      http.Header
	attemptID   string
	remaining   time.Duration
	serverID    string
	priority    int
	bodyLength  int
	sendLength  bool   // Content-Length is sent even if the body is empty
	lastEventID string // replaces the client's Last-Event-ID header unless empty
}

// appendTo appends the head, including the empty line that ends it, to a buffer.
func (h *attemptHead) appendTo(buffer []byte) []byte {
	buffer = append(buffer, h.method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, h.target...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendHeader(buffer, "Host", h.host)
	buffer = h.appendProxyHeaders(buffer)
	buffer = h.appendClientHeaders(buffer)
	return append(buffer, '\r', '\n')
}

// appendProxyHeaders appends the headers that the proxy sets.
func (h *attemptHead) appendProxyHeaders(buffer []byte) []byte {
	buffer = appendHeader(buffer, headerAttemptID, h.attemptID)
	buffer = appendNumber(buffer, headerDeadline, max(h.remaining.Milliseconds(), 1))
	buffer = appendHeader(buffer, headerExpectServer, h.serverID)
	buffer = appendNumber(buffer, headerPriority, int64(min(max(h.priority, 0), lowestPriority)))
	if h.bodyLength > 0 || h.sendLength {
		buffer = appendNumber(buffer, "Content-Length", int64(h.bodyLength))
	}
	if h.lastEventID != "" {
		buffer = appendHeader(buffer, headerLastEventID, h.lastEventID)
	}
	return buffer
}

// appendClientHeaders appends the client's end-to-end headers, except those that the proxy sets itself.
func (h *attemptHead) appendClientHeaders(buffer []byte) []byte {
	named := connectionOptions(h.header)
	for name, values := range h.header {
		if isHopByHop(name) || isSetByProxy(name) || slices.Contains(named, name) {
			continue
		}
		if name == headerLastEventID && h.lastEventID != "" {
			continue
		}
		for _, value := range values {
			buffer = appendHeader(buffer, name, value)
		}
	}
	return buffer
}

func appendHeader(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ':', ' ')
	buffer = append(buffer, value...)
	return append(buffer, '\r', '\n')
}

func appendNumber(buffer []byte, name string, value int64) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ':', ' ')
	buffer = strconv.AppendInt(buffer, value, 10)
	return append(buffer, '\r', '\n')
}
