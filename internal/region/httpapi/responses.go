package httpapi

import (
	"net/http"
	"strconv"
)

// WriteJSON sends a complete response. retryAfter is its Retry-After in seconds, "" for none.
func WriteJSON(w http.ResponseWriter, status int, body []byte, retryAfter string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	// A failed write means that the caller is gone; it retries.
	_, _ = w.Write(body)
}
