package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/route"
)

const (
	// retrySlack is by how much the timeout of a client's first attempt may be shorter than the route's deadline, since
	// the way here takes time. Retries have what is left, which is less by the response to the first one at least.
	retrySlack = 60 * time.Millisecond
	// maxDeadline bounds the timeout that a client may request.
	maxDeadline = 10 * time.Minute
)

// attemptIDOf returns the id of a request; ok is false unless there is exactly one.
func attemptIDOf(header http.Header) (id string, ok bool) {
	values := header[headerAttemptID]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// timeoutFor is how long a request may take: as long as the client waits, but no longer than the route allows.
func timeoutFor(header http.Header, matched *route.Route) time.Duration {
	requested := clientTimeout(header)
	if matched.Deadline > 0 {
		return min(requested, matched.Deadline)
	}
	return requested
}

// clientTimeout is how long a client waits by X-Fieldrelay-Deadline-Ms (milliseconds), at most maxDeadline,
// which is also the default.
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

// placementRequest builds the request to placement from the headers. draw, uniform in [0, 1), picks among a route's
// services.
func placementRequest(header http.Header, matched *route.Route, draw float64, arrived time.Duration) placement.Request {
	request := placement.Request{
		Route:   matched,
		Service: matched.PickService(draw),
		Model:   header.Get(headerModel),
		Arrived: arrived,
	}
	request.IsRetry = clientTimeout(header)+retrySlack < matched.Deadline
	request.PromptTokens, request.MaxOutputTokens = tokenCounts(header.Get(headerTokenCount))
	if chunks := header.Get(headerPromptPrefix); chunks != "" {
		// Without a readable list, no cached prefix is known.
		request.Chunks, _ = placement.ParseChunks(chunks, nil)
	}
	return request
}

// tokenCounts parses X-Fieldrelay-Token-Count: the tokens of the prompt, and the most that are generated.
func tokenCounts(value string) (prompt, generate int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	generate, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(generate, 0)
}
