package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/route"
)

// attemptIDOf returns the id of a request; there must be exactly one.
func attemptIDOf(header http.Header) (string, bool) {
	values := header[headerAttemptID]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// timeoutFor is how long a request may be held: what the client waits, but no longer than the route allows.
func timeoutFor(header http.Header, matched *route.Route) time.Duration {
	requested := clientTimeout(header)
	if matched.Deadline > 0 {
		return min(requested, matched.Deadline)
	}
	return requested
}

// clientTimeout is how long a client says that it waits, at most longestDeadline.
func clientTimeout(header http.Header) time.Duration {
	values := header[headerDeadline]
	if len(values) == 0 {
		return longestDeadline
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || milliseconds < 0 || milliseconds > float64(longestDeadline/time.Millisecond) {
		return longestDeadline
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// placementRequest tells placement what the headers of a request say about its size.
func placementRequest(header http.Header, matched *route.Route, draw float64, arrived time.Duration) placement.Request {
	request := placement.Request{
		Route:   matched,
		Service: matched.PickService(draw),
		Model:   header.Get(headerModel),
		Arrived: arrived,
	}
	request.Returned = clientTimeout(header)+retrySlack < matched.Deadline
	request.Prompt, request.Generate = tokenCounts(header.Get(headerTokenCount))
	if chunks := header.Get(headerPromptPrefix); chunks != "" {
		// A list that can't be read only means that nothing is known of kept parts.
		request.Chunks, _ = placement.ParseChunks(chunks, nil)
	}
	return request
}

// tokenCounts reads X-Fieldrelay-Token-Count: the prompt's tokens, and the most that are generated.
func tokenCounts(value string) (prompt, generate int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	generate, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(generate, 0)
}
