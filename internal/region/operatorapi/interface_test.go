package operatorapi

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/httpapi"
	"fieldrelay/internal/region/operatorapi/rejection"
	"fieldrelay/internal/testkit/recordedtest"
)

var update = flag.Bool("update", false, "write the recorded copies")

// The status, headers and body of every rejection equal the recorded ones.
func TestRecordedRefusals(t *testing.T) {
	server := &Server{options: Options{Counters: &Counters{}}}
	var lines []string
	record := func(what string, answer *httptest.ResponseRecorder) {
		lines = append(lines, fmt.Sprintf("%s: %d type=%q length=%q retry=%q %s", what, answer.Code, answer.Header().Get("Content-Type"),
			answer.Header().Get("Content-Length"), answer.Header().Get("Retry-After"), answer.Body))
	}
	cause := errors.New("CAUSE")
	for _, refusal := range []error{&httpapi.NotReadyError{}, &NotAuthoritativeError{}, &BusyError{}, &CallerDisconnectedError{}, &NoEndpointsError{},
		&httpapi.BodyTooLargeError{LimitBytes: 7}, &httpapi.BodyTimeoutError{}, &httpapi.BodyIncompleteError{Cause: cause}, &BadParameterError{Cause: cause},
		&MissingBaseError{}, &UnknownZoneError{Zone: "z"}, cause} {
		answer := httptest.NewRecorder()
		server.reject(answer, refusal)
		record("refused", answer)
	}
	for _, status := range []uint32{0, 200, 202, 400, 404, 409, 412, 413, 422, 500, 503, 600} {
		for _, body := range []string{"", `{"error":"REASON"}`, `{"other":1}`, "no JSON"} {
			answer := httptest.NewRecorder()
			server.writeResult(answer, &pb.OrderResult{Status: status, Body: []byte(body)})
			record(fmt.Sprintf("result %d %q", status, body), answer)
		}
	}
	for _, document := range []string{"{", `{"gen":0}`, `{"gen":1,"routes":[{"name":"r"}],"nonsense":[]}`} {
		_, err := catalog.PrepareReplace(catalog.Empty(), 0, []byte(document))
		lines = append(lines, "configuration "+document+": "+rejectionOf(t, err))
	}
	_, err := catalog.PrepareReplace(catalog.Empty(), 3, []byte(`{"gen":1}`))
	lines = append(lines, "configuration on another base: "+rejectionOf(t, err))
	recordedtest.Compare(t, *update, "testdata/refusals.txt", strings.Join(lines, "\n")+"\n")
}

func rejectionOf(t *testing.T, err error) string {
	t.Helper()
	refusal, known := errors.AsType[catalog.OrderError](err)
	if !known {
		return fmt.Sprint("no refusal: ", err)
	}
	body := rejection.Body(refusal)
	require.True(t, json.Valid(body))
	return fmt.Sprint(refusal.Status(), " ", string(body))
}
