package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/route"
)

// maxDeadline is the longest time-out that a client may request.
const maxDeadline = 10 * time.Minute

// attemptIDOf returns the attempt id of a request. ok is false unless the request has exactly one
// X-Fieldrelay-Attempt-Id header, which is not empty.
func attemptIDOf(header http.Header) (id string, ok bool) {
	values := header[headerAttemptID]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// timeoutFor returns how long a request may take: as long as the client waits, but no longer than the route's deadline.
func timeoutFor(header http.Header, matched *route.Route) time.Duration {
	requested := clientTimeout(header)
	if matched.Deadline > 0 {
		return min(requested, matched.Deadline)
	}
	return requested
}

// clientTimeout returns how long a client waits according to X-Fieldrelay-Deadline-Ms (milliseconds). The maximum is
// maxDeadline, which is also the value for a missing or invalid header.
func clientTimeout(header http.Header) time.Duration {
	values := header[headerDeadline]
	if len(values) == 0 {
		return maxDeadline
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || milliseconds < 0 || milliseconds > float64(maxDeadline/time.Millisecond) {
		return maxDeadline
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// placementRequest builds the placement request from a request's headers and route. draw, a random number in [0, 1),
// selects one of the route's services.
func placementRequest(header http.Header, matched *route.Route, draw float64) placement.Request {
	request := placement.Request{
		Route:   matched,
		Service: matched.PickService(draw),
		Model:   header.Get(headerModel),
	}
	request.PromptTokens, request.MaxOutputTokens = tokenCounts(header.Get(headerTokenCount))
	if chunks := header.Get(headerPromptPrefix); chunks != "" {
		// If the list is malformed, placement assumes no cached prefix.
		request.Chunks, _ = placement.ParseChunks(chunks, nil)
	}
	return request
}

// tokenCounts parses X-Fieldrelay-Token-Count: the number of prompt tokens, and the maximum number of generated tokens.
// Missing, malformed and negative numbers count as 0.
func tokenCounts(value string) (prompt, generate int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	generate, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(generate, 0)
}
