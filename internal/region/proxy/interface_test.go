package proxy

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"fieldrelay/internal/testkit/recordedtest"
)

var updateRecorded = flag.Bool("update", false, "rewrite the recorded files in testdata")

// The names of the protocol's headers, and how the proxy treats them, must stay as recorded.
func TestRecordedHeaders(t *testing.T) {
	var lines []string
	for _, name := range []string{headerAttemptID, headerDeadline, headerExpectServer, headerServerSeal, headerNotExecuted, headerWarmup,
		headerModel, headerTokenCount, headerPromptPrefix, headerPriority, headerLastEventID, protocolPrefix, "Host", "Content-Type",
		"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Transfer-Encoding", "Upgrade", "Trailer", "Expect", "Content-Length"} {
		lines = append(lines, fmt.Sprintf("%s: of one connection %t, set by the proxy %t", name, isHopByHop(name), isSetByProxy(name)))
	}
	recordedtest.Compare(t, *updateRecorded, "testdata/headers.txt", strings.Join(lines, "\n")+"\n")
}
