package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/region/proxy/upstream"
)

// These are the headers of the protocol between clients, proxies and servers, in canonical form.
const (
	headerAttemptID    = upstream.AttemptIDHeader
	headerDeadline     = "X-Fieldrelay-Deadline-Ms"
	headerExpectServer = "X-Fieldrelay-Expect-Server"
	headerServerSeal   = "X-Fieldrelay-Server-Seal"
	headerNotExecuted  = "X-Fieldrelay-Not-Executed"
	headerWarmup       = "X-Fieldrelay-Warmup-Ms"
	headerModel        = "X-Fieldrelay-Model"
	headerTokenCount   = "X-Fieldrelay-Token-Count"
	headerPromptPrefix = "X-Fieldrelay-Prompt-Prefix"
	headerPriority     = "Priority"
	headerLastEventID  = "Last-Event-Id"
)

// lowestPriority is the least urgent value of the Priority header.
const lowestPriority = 9

// isHopByHop reports whether a header applies to one connection only (RFC 9110, section 7.6.1). Expect, Trailer and
// Content-Length are included, because bodies are read completely and forwarded with their actual length.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Transfer-Encoding", "Upgrade",
		"Trailer", "Expect", "Content-Length":
		return true
	default:
		return false
	}
}

// isSetByProxy reports whether the proxy itself sets a header in requests to servers.
func isSetByProxy(name string) bool {
	switch name {
	case headerAttemptID, headerDeadline, headerExpectServer, headerPriority, "Host":
		return true
	default:
		return false
	}
}

// protocolPrefix is the prefix of the names of the protocol's own headers.
const protocolPrefix = "X-Fieldrelay-"

// connectionOptions returns the headers that are named in Connection headers, in canonical form. The protocol's own
// headers are omitted: they are end-to-end headers even if a Connection header names them.
func connectionOptions(header http.Header) []string {
	var named []string
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))
			if name != "" && name != "Close" && name != "Keep-Alive" && !strings.HasPrefix(name, protocolPrefix) {
				named = append(named, name)
			}
		}
	}
	return named
}

// copyResponseHeader copies the end-to-end headers of a server's response to the client's response. It adds none: if
// the server sent no Date or Content-Type, the client gets none.
func copyResponseHeader(to, from http.Header) {
	named := connectionOptions(from)
	for name, values := range from {
		if isHopByHop(name) || slices.Contains(named, name) {
			continue
		}
		to[name] = values
	}
	suppressDefaults(to)
}

// suppressDefaults keeps net/http from adding its default headers.
func suppressDefaults(header http.Header) {
	if _, present := header["Date"]; !present {
		header["Date"] = nil
	}
	if _, present := header["Content-Type"]; !present {
		header["Content-Type"] = nil
	}
}

// formatRetryAfter formats the value of Retry-After: seconds with three decimals, rounded up, and at least 0.001.
func formatRetryAfter(wait time.Duration) string {
	milliseconds := max((wait+time.Millisecond-1)/time.Millisecond, 1)
	seconds := float64(milliseconds) / float64(time.Second/time.Millisecond)
	return strconv.FormatFloat(seconds, 'f', 3, 64)
}
