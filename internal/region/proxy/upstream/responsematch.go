package upstream

import "strings"

// AttemptIDHeader is the header that carries a request's id. The server repeats it in the response.
const AttemptIDHeader = "X-Fieldrelay-Attempt-Id"

// matchesRequest reports whether a response belongs to the request with the given id. Comparing the id is not
// sufficient. If a truncated head of an earlier response precedes this response, both are parsed as a single head with
// the status of the earlier response and the id of this response, and the true status line becomes part of a header
// value. A head that contains a status line in a value is therefore rejected.
func matchesRequest(response Response, attemptID string) bool {
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

// versionPrefix is the start of a status line (RFC 9112, section 4). The minor version, a space and the three-digit
// status follow.
const versionPrefix = "HTTP/1."

// containsStatusLine reports whether text contains the start of a status line at any position.
func containsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, versionPrefix)
		if !found {
			return false
		}
		if isVersionAndStatus(rest) {
			return true
		}
		text = rest
	}
}

// isVersionAndStatus reports whether text starts with a minor version, a space and a status, such as "1 200".
func isVersionAndStatus(text string) bool {
	return len(text) >= len("1 200") && isDigit(text[0]) && text[1] == ' ' &&
		isDigit(text[2]) && isDigit(text[3]) && isDigit(text[4])
}

func isDigit(character byte) bool { return character >= '0' && character <= '9' }
