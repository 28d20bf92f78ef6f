package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestRequestsThatComeBeforeTheProxyCanServeAreHeld(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := startProcess(t, 1)
	early := r.dial()
	early.send("POST", "/m/x", "", "body")
	eventually(t, func() bool { return r.process.counters.startupWaits.Load() == 1 }, "the request waits")

	r.apply(&pb.ApplyRequest{Changes: []*pb.Change{testChange()}})
	require.Empty(t, server.requests(), "without a server list the request keeps waiting")

	r.configure(server)
	response, body := early.receive("POST")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "ok", body)
	require.Equal(t, "body", server.requests()[0].body)
}

func TestAHeldRequestIsRejectedInTimeForARetry(t *testing.T) {
	const clientTimeout = 100 * time.Millisecond
	r := startProcess(t, 1)
	early := r.dial()
	began := time.Now()
	early.send("GET", "/m/x", headerDeadline+": 100\r\n", "")
	response, _ := early.receive("GET")
	require.Equal(t, 503, response.StatusCode)
	require.GreaterOrEqual(t, time.Since(began), clientTimeout/startupWaitFraction)
	require.False(t, response.Close)
	require.Zero(t, r.process.memory.used.Load())
}

func TestAHeldRequestWithoutARouteIsRejected(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := startProcess(t, 1)
	early := r.dial()
	early.send("POST", "/none/x", "", "body")
	eventually(t, func() bool { return r.process.counters.startupWaits.Load() == 1 }, "the request waits")
	r.configure(server)
	response, _ := early.receive("POST")
	require.Equal(t, 404, response.StatusCode)
	eventually(t, func() bool { return r.process.memory.used.Load() == 0 }, "the memory of the body is released")
}

func TestAHeldRequestOfAClientThatLeavesIsDropped(t *testing.T) {
	r := startProcess(t, 1)
	early := r.dial()
	early.send("GET", "/m/x", "", "")
	eventually(t, func() bool { return r.process.counters.startupWaits.Load() == 1 }, "the request waits")
	require.NoError(t, early.conn.Close())
	eventually(t, func() bool { return r.process.counters.active.Load() == 0 }, "the request ends")
}

// Guards against a head that no configuration allows: it was received before the first configuration, when the limits that
// are the default hold, and its request waited.
func TestHeadsThatComeBeforeTheConfigurationFollowItsLimit(t *testing.T) {
	const limit, head = 9000, 60000
	server := newFakeServer(t, "i-1", ok("ok"))
	r := startProcess(t, 1)
	early := r.dial()
	early.send("GET", "/m/x", headOf(head), "")
	eventually(t, func() bool { return r.process.counters.startupWaits.Load() == 1 }, "the request waits")
	change := testChange()
	for _, item := range change.GetUpserts() {
		if item.GetName() == "req-limits" {
			item.Body = fmt.Appendf(nil, `{"max-header-bytes":%d}`, limit)
		}
	}
	r.apply(&pb.ApplyRequest{Changes: []*pb.Change{change}})
	r.configure(server)
	response, _ := early.receive("GET")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	require.Empty(t, server.requests())
}
