package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/route"
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

// A request waits until its client has just the time left that a connection to another proxy may take, whatever its target.
func TestAHeldRequestIsRejectedInTimeForAnotherProxy(t *testing.T) {
	const longest, allowed = 60 * time.Second, 5 * time.Second
	arrived := time.Now()
	for _, timeLeft := range []time.Duration{clientConnectTime + time.Millisecond, 2 * time.Second, 9 * time.Second, longest} {
		require.Equal(t, timeLeft-clientConnectTime, startupWaitEnd(arrived, arrived.Add(timeLeft)).Sub(arrived))
	}
	for _, timeLeft := range []time.Duration{time.Millisecond, 100 * time.Millisecond, clientConnectTime} {
		require.Equal(t, timeLeft, startupWaitEnd(arrived, arrived.Add(timeLeft)).Sub(arrived), "it can't go elsewhere in time")
	}

	const clientTimeout = 100 * time.Millisecond
	r := startProcess(t, 1)
	early := r.dial()
	began := time.Now()
	early.send("GET", "/m/x", headerDeadline+": 100\r\n", "")
	response, _ := early.receive("GET")
	require.Equal(t, 503, response.StatusCode)
	require.GreaterOrEqual(t, time.Since(began), clientTimeout)
	require.Less(t, time.Since(began), allowed)
	require.False(t, response.Close)
	require.Zero(t, r.process.memory.used.Load())
}

// A client that waits for a stream gives up after the silence that it bears, although its deadline is later. The target
// counts only where the operators' pages derive that silence from it.
func TestTimeAfterWhichAClientGivesUp(t *testing.T) {
	table, faults := route.FromItems([]*pb.Item{
		{Kind: catalog.KindRoutes, Name: "r", Body: []byte(`{"vhost":"h","path-prefix":"/r/","route-kind":"idempotent","backend":"s","target-ms":700,"deadline-ms":9000}`)},
		{Kind: catalog.KindRoutes, Name: "s", Body: []byte(`{"vhost":"h","path-prefix":"/s/","route-kind":"streaming","backend":"s","target-ms":500,"deadline-ms":9000}`)},
		{Kind: catalog.KindRoutes, Name: "l", Body: []byte(`{"vhost":"h","path-prefix":"/l/","route-kind":"streaming","backend":"s","target-ms":700,"deadline-ms":9000}`)},
		{Kind: catalog.KindRoutes, Name: "g", Body: []byte(`{"vhost":"h","path-prefix":"/g/","route-kind":"streaming","backend":"s","target-ms":700,"gap_aim_ms":400,"deadline-ms":9000}`)},
	})
	require.Empty(t, faults)
	current := &snapshot{table: table}
	arrived := time.Now()
	for target, want := range map[string]time.Duration{
		"/r/x": 9 * time.Second,
		"/s/x": 2 * time.Second,
		"/l/x": 2800 * time.Millisecond,
		"/g/x": 3200 * time.Millisecond,
		"/-/x": 60 * time.Second,
	} {
		request := &http.Request{Host: "h", Header: http.Header{headerDeadline: {"60000"}}}
		require.Equal(t, want, current.giveUpTime(request, target, arrived).Sub(arrived), target)
	}
	silent := &http.Request{Host: "h", Header: http.Header{}}
	require.Equal(t, 2*time.Second, current.giveUpTime(silent, "/-/x", arrived).Sub(arrived), "nothing is known of the client's time")
	require.Equal(t, 9*time.Second, current.giveUpTime(silent, "/r/x", arrived).Sub(arrived))
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
