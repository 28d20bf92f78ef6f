package upstream

import (
	"net/http"
	"strings"
)

// matchesRequest tells whether a head is that of the answer to the request with the given id, and of no other. Bytes of
// another answer may come first and end in its head: what looks like one head then has the status of that answer
// and the id of this one, with the true status line within it.
func matchesRequest(response *http.Response, attemptID string) bool {
	if ids := response.Header[AttemptIDHeader]; len(ids) != 1 || ids[0] != attemptID {
		return false
	}
	if containsStatusLine(response.Status) {
		return false
	}
	for _, values := range response.Header {
		for _, value := range values {
			if containsStatusLine(value) {
				return false
			}
		}
	}
	return true
}

// versionPrefix begins a status line; a digit, a space and the three digits of the status follow.
const versionPrefix = "HTTP/1."

// containsStatusLine tells whether a status line begins somewhere in a text.
func containsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, versionPrefix)
		if !found {
			return false
		}
		if len(rest) >= len("1 200") && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(character byte) bool { return character >= '0' && character <= '9' }
