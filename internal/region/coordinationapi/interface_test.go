package coordinationapi

import (
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"fieldrelay/internal/region/httpapi"
	"fieldrelay/internal/testkit/recordedtest"
)

var update = flag.Bool("update", false, "write the recorded copies")

// The status, headers and body of every rejection equal the recorded ones.
func TestRecordedRefusals(t *testing.T) {
	server := New(optionsWith(nil))
	var lines []string
	for _, refusal := range []error{&httpapi.NotReadyError{}, &TooManyCallsError{}, &NameBusyError{}, &LockHeldError{},
		&KeyNotFoundError{}, &CompactedError{}, &NotExecutedError{}, &UnknownOutcomeError{}, errors.New("CAUSE"),
		&MalformedBodyError{Offset: 7, Reason: "REASON"}, invalidField("hold-ms", "REASON"),
		&httpapi.BodyTooLargeError{LimitBytes: 7}, &httpapi.BodyTimeoutError{}, &httpapi.BodyIncompleteError{Cause: errors.New("CAUSE")}} {
		answer := httptest.NewRecorder()
		server.reject(answer, refusal)
		lines = append(lines, fmt.Sprintf("%d type=%q length=%q retry=%q %s", answer.Code, answer.Header().Get("Content-Type"),
			answer.Header().Get("Content-Length"), answer.Header().Get("Retry-After"), answer.Body))
	}
	recordedtest.Compare(t, *update, "testdata/refusals.txt", strings.Join(lines, "\n")+"\n")
}
