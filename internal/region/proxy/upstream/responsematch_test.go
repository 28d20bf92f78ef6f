package upstream

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Wherever the bytes of an earlier response are truncated, the response that follows them must not be accepted with
// the status of the earlier one.
func TestAnswerBehindBytesOfAnotherIsNotTakenForThatOther(t *testing.T) {
	const (
		other = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Fieldrelay-Attempt-Id: other\r\nX-Fieldrelay-Server-Seal: s\r\nContent-Length: 2\r\n\r\n"
		own   = "HTTP/1.1 503 Full\r\nX-Fieldrelay-Attempt-Id: id1\r\nX-Fieldrelay-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"
	)
	for cut := range len(other) {
		response, err := parseResponse(other[:cut] + own)
		if err == nil && matchesRequest(response, "id1") {
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "cut at %d", cut)
		}
	}
	response, err := parseResponse(own)
	require.NoError(t, err)
	require.True(t, matchesRequest(response, "id1"))
	require.False(t, matchesRequest(response, "id2"))
}

func parseResponse(text string) (Response, error) {
	//nolint:bodyclose // the body is not read from a connection
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	return Response{response}, err
}

func TestStatusLineInAText(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "HTTP/1.1": false, "HTTP/1.1 20": false, "1.1 HTTP/1.1 proxy": false, "HTTP/1.1 2xx": false,
		"HTTP/1.1 200": true, "text/plHTTP/1.0 503 Full": true, "HTTP/1.HTTP/1.1 200 OK": true, "200 OK": false,
	} {
		require.Equal(t, want, containsStatusLine(text), text)
	}
}
