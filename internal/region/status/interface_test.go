package status_test

import (
	"bytes"
	"errors"
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/status"
	"fieldrelay/internal/testkit/recordedtest"
)

var update = flag.Bool("update", false, "write the recorded copies")

// The survey that programs read equals the recorded one.
func TestRecordedSurvey(t *testing.T) {
	survey := &status.Survey{Machines: []status.Machine{
		{Host: "a", Address: "127.0.0.1:1", Report: &pb.ControlStatusReport{}},
		{Host: "b", Address: "127.0.0.1:2", Err: errors.New("REASON")},
	}}
	var output bytes.Buffer
	require.NoError(t, survey.WriteJSON(&output))
	recordedtest.Compare(t, *update, "testdata/survey.json", output.String())
}
