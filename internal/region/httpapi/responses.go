package httpapi

import (
	"net/http"
	"strconv"
)

// WriteJSON sends a complete response with a JSON body. retryAfter is the value of its Retry-After header in seconds; ""
// leaves the header out.
func WriteJSON(w http.ResponseWriter, status int, body []byte, retryAfter string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	// The write fails if the caller has disconnected. The error is ignored, since the caller then retries.
	_, _ = w.Write(body)
}
