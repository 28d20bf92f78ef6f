package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/settings"
)

func testSettings(graceSeconds float64) *settings.Settings {
	return &settings.Settings{
		Hostname: "edge-1", Address: "127.0.0.1", Zone: "z1", Region: "g1",
		PortRange: []int{-configStreamPort, 20}, // so that the config stream listens on port 0, which selects a free port
		Zones:     map[string]string{"z1": "g1"},
		Binds:     settings.Binds{Edge: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Limits:    settings.Limits{MemoryMB: 184, Descriptors: 1000},
		Bounds:    settings.Bounds{GraceS: graceSeconds, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 50},
	}
}

// testProcess is a proxy with all its listeners that runs within the test's process.
type testProcess struct {
	*testProxy
	process   *process
	feed      fieldrelayv1connect.ProxyFeedClient
	terminate context.CancelFunc
	ended     chan struct{}
}

func startProcess(t *testing.T, graceSeconds float64) *testProcess {
	t.Helper()
	configured := testSettings(graceSeconds)
	p := newProcess(configured, zap.NewNop(), Options{})
	require.NoError(t, p.start(configured))
	terminated, terminate := context.WithCancel(context.Background())
	r := &testProcess{
		testProxy: &testProxy{t: t, address: p.listener.listener.Addr().String()},
		process:   p,
		feed:      fieldrelayv1connect.NewProxyFeedClient(http.DefaultClient, "http://"+p.configStreamAddr.String()),
		terminate: terminate,
		ended:     make(chan struct{}),
	}
	go func() {
		defer close(r.ended)
		p.serve(terminated.Done(), nil)
		p.drain()
		p.stop()
	}()
	t.Cleanup(func() {
		terminate()
		p.cancelRequests()
		<-r.ended
		require.Zero(t, p.counters.violations())
	})
	return r
}

func (r *testProcess) apply(request *pb.ApplyRequest) *pb.ProxyStatus {
	r.t.Helper()
	response, err := r.feed.Apply(context.Background(), connect.NewRequest(request))
	require.NoError(r.t, err)
	return response.Msg
}

func (r *testProcess) status() *pb.ProxyStatus {
	r.t.Helper()
	response, err := r.feed.Status(context.Background(), connect.NewRequest(&pb.StatusRequest{}))
	require.NoError(r.t, err)
	return response.Msg
}

func (r *testProcess) ready() int {
	r.t.Helper()
	response, err := http.Get("http://" + r.process.readyAddr.String() + "/api/readyz")
	require.NoError(r.t, err)
	require.NoError(r.t, response.Body.Close())
	return response.StatusCode
}

// configure applies a configuration, a list with one server, and quota members.
func (r *testProcess) configure(server *fakeServer) *pb.ProxyStatus {
	return r.apply(&pb.ApplyRequest{
		Changes: []*pb.Change{testChange()},
		List: &pb.ServerList{
			Version: &pb.ListVersion{Epoch: 1, Holder: "c", Revision: 1},
			Servers: []*pb.Server{{
				Id: server.server.ID, Service: "s1", Address: server.server.Address, Zone: "z1", Capacity: 64,
			}},
		},
		QuotaMembers: &pb.QuotaMembers{Proxies: 1, Members: []*pb.Neighbour{{Host: "edge-1", Zone: "z1", Region: "g1"}}},
		Confirmed:    true,
	})
}

func TestProcessServesTheDeliveredConfiguration(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := startProcess(t, 1)
	status := r.status()
	require.Equal(t, "edge-1", status.GetHost())
	require.NotZero(t, status.GetIncarnation())
	require.False(t, status.GetReady())
	require.NotNil(t, status.GetDigests(), "the proxy requests the full state")
	require.Equal(t, 503, r.ready())
	early := r.dial()
	early.send("GET", "/m/x", headerDeadline+": 60\r\n", "")
	response, _ := early.receive("GET")
	require.Equal(t, 503, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))

	status = r.configure(server)
	require.True(t, status.GetReady())
	require.Nil(t, status.GetDigests())
	require.EqualValues(t, 1, status.GetSequence())
	require.EqualValues(t, 7, status.GetGeneration())
	require.EqualValues(t, 1, status.GetList().GetRevision())
	require.Equal(t, 200, r.ready())
	for range 3 {
		response, body := r.get("/m/x")
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, "ok", body)
	}

	r.apply(&pb.ApplyRequest{Changes: []*pb.Change{{
		Sequence: 2, Generation: 8, Removals: []*pb.ItemKey{{Kind: "routes", Name: "mutating"}},
	}}})
	response, _ = r.get("/m/x")
	require.Equal(t, 404, response.StatusCode)

	status = r.apply(&pb.ApplyRequest{Changes: []*pb.Change{{Sequence: 9, Generation: 9}}})
	require.EqualValues(t, 2, status.GetSequence())
	require.NotNil(t, status.GetDigests())
	require.Empty(t, status.GetDigests().GetDigests())
}

func TestProcessFinishesItsStreamsBeforeItEnds(t *testing.T) {
	next := make(chan struct{})
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		if request.target != "/s/x" {
			return ok("ok")(conn, request)
		}
		streamHead(conn, request, "seal")
		chunk(conn, eventText(1))
		<-next
		chunk(conn, eventText(2))
		lastChunk(conn)
		return true
	})
	r := startProcess(t, 4) // rejects new requests after 1.5 s, aborts requests after 3.5 s
	r.configure(server)
	idle := r.dial()
	idle.send("GET", "/m/x", "", "")
	response, _ := idle.receive("GET")
	require.False(t, response.Close)
	streaming := r.dial()
	streaming.send("GET", "/s/x", "", "")
	stream := streaming.receiveHead("GET")
	_, err := io.ReadFull(stream.Body, make([]byte, len(eventText(1))))
	require.NoError(t, err)

	began := time.Now()
	r.terminate()
	eventually(t, func() bool { return r.process.lifecycle.draining() }, "the proxy drains")
	require.Equal(t, 503, r.ready())
	require.True(t, r.status().GetDraining())
	require.False(t, r.status().GetReady())
	idle.send("GET", "/m/x", "", "")
	response, body := idle.receive("GET")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "ok", body)
	require.True(t, response.Close, "the client's connection is closed after the response")
	response, _ = r.get("/m/x")
	require.Equal(t, 200, response.StatusCode, "new connections are served for a while")

	eventually(t, func() bool { return r.process.lifecycle.phase() == phaseRejecting }, "the proxy rejects new requests")
	_, err = net.Dial("tcp4", r.address)
	require.Error(t, err)
	close(next)
	rest, err := io.ReadAll(stream.Body)
	require.NoError(t, err)
	require.Equal(t, eventText(2), string(rest))
	<-r.ended
	require.Less(t, time.Since(began), 3*time.Second)
}

// If many proxies with requests in flight are terminated together, each responds to two consecutive readiness checks
// without a 200 well before 4 s after SIGTERM, while it still runs.
func TestProxiesTerminatedTogetherAreSoonNotReady(t *testing.T) {
	server := newFakeServer(t, "i-1", noResponse)
	const proxies, soon = 6, time.Second
	var all []*testProcess
	for range proxies {
		r := startProcess(t, 4)
		r.configure(server)
		require.Equal(t, 200, r.ready())
		r.dial().send("GET", "/m/x", "", "")
		all = append(all, r)
	}
	eventually(t, func() bool { return len(server.requests()) == proxies }, "all requests are in flight")
	began := time.Now()
	for _, r := range all {
		r.terminate()
	}
	for _, r := range all {
		eventually(t, func() bool {
			first, second := r.ready(), r.ready()
			return first != 200 && second != 200
		}, "the proxy is not ready")
		require.Less(t, time.Since(began), soon)
		require.EqualValues(t, 1, r.process.counters.active.Load(), "the request is still in flight")
		require.True(t, r.status().GetDraining())
	}
	for _, r := range all {
		r.process.cancelRequests()
	}
}

func TestProcessAbortsRemainingRequestsAtTheEnd(t *testing.T) {
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		if request.target == "/r/x" {
			streamHead(conn, request, "seal")
			chunk(conn, eventText(1))
		}
		return true
	})
	r := startProcess(t, 0.9)
	r.configure(server)
	waiting := r.dial()
	waiting.send("GET", "/m/x", "", "")
	eventually(t, func() bool { return len(server.requests()) == 1 }, "the request arrives")
	c := r.dial()
	c.send("GET", "/r/x", "", "")
	stream := c.receiveHead("GET")
	r.terminate()
	got, err := io.ReadAll(stream.Body)
	require.Error(t, err)
	require.Equal(t, eventText(1), string(got))
	response, _ := waiting.receive("GET")
	require.Equal(t, 502, response.StatusCode)
	require.True(t, response.Close)
	<-server.closed
	<-r.ended
}

func TestNewLimitsHoldForNewConnections(t *testing.T) {
	server := newFakeServer(t, "i-1", ok("ok"))
	r := startProcess(t, 1)
	r.configure(server)
	old := r.dial()
	old.send("GET", "/m/x", "", "")
	old.receive("GET")
	r.apply(&pb.ApplyRequest{Changes: []*pb.Change{{Sequence: 2, Generation: 8, Upserts: []*pb.Item{{
		Kind: "setting", Name: "req-limits", Sequence: 2, Body: []byte(`{"max-header-bytes":100}`),
	}}}}})
	long := "X-Long: " + repeated("x", 20_000) + "\r\n"
	old.send("GET", "/m/x", long, "")
	response, _ := old.receive("GET")
	require.Equal(t, 431, response.StatusCode, "and for those that were open")
	fresh := r.dial()
	fresh.send("GET", "/m/x", long, "")
	response, _ = fresh.receive("GET")
	require.Equal(t, 431, response.StatusCode)
}

// Neither a configuration, nor a server list, nor reloaded settings interrupt a request that was forwarded, even if they
// remove its route, its server or its zone.
func TestChangesDoNotInterruptRequestsInFlight(t *testing.T) {
	next := make(chan struct{})
	server := newFakeServer(t, "i-1", func(conn *net.TCPConn, request receivedByServer) bool {
		if request.target == "/m/x" {
			<-next
			return ok("ok")(conn, request)
		}
		streamHead(conn, request, "seal")
		chunk(conn, eventText(1))
		<-next
		chunk(conn, eventText(2))
		lastChunk(conn)
		return true
	})
	r := startProcess(t, 1)
	r.configure(server)
	plain, streaming := r.dial(), r.dial()
	plain.send("POST", "/m/x", "", "body")
	streaming.send("GET", "/s/x", "", "")
	stream := streaming.receiveHead("GET")
	_, err := io.ReadFull(stream.Body, make([]byte, len(eventText(1))))
	require.NoError(t, err)
	eventually(t, func() bool { return len(server.requests()) == 2 }, "both requests are in flight")

	changes := []*pb.Change{
		{Upserts: []*pb.Item{{Kind: "setting", Name: "req-limits", Body: []byte(`{"max-header-bytes":90,"keepalive-ms":1,"header-read-ms":1}`)}}},
		{Upserts: []*pb.Item{{Kind: "evacuation", Name: "z1"}}},
		{Removals: []*pb.ItemKey{{Kind: "routes", Name: "mutating"}, {Kind: "routes", Name: "stream"}}},
		{Upserts: []*pb.Item{{Kind: "setting", Name: "req-limits", Body: []byte(`{"max-header-bytes":900000,"keepalive-ms":99000}`)}}},
		{ReplacesAll: true, Upserts: []*pb.Item{{Kind: "backends", Name: "s2", Body: []byte(`{"name":"s2"}`)}}},
	}
	for index, change := range changes {
		change.Sequence, change.Generation = uint64(index+2), uint64(index+8)
		r.apply(&pb.ApplyRequest{Changes: []*pb.Change{change}})
	}
	r.apply(&pb.ApplyRequest{List: &pb.ServerList{
		Version: &pb.ListVersion{Epoch: 2},
		Servers: []*pb.Server{{Id: "i-2", Service: "s2", Address: server.server.Address, Zone: "z2"}},
	}})
	r.process.applySettings(testSettings(2))
	r.process.settings.reload()
	r.process.sweep(r.process.snapshots.load())

	close(next)
	response, body := plain.receive("POST")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "ok", body)
	rest, err := io.ReadAll(stream.Body)
	require.NoError(t, err)
	require.Equal(t, eventText(2), string(rest))
}

func TestListenersThatCanNotBeOpened(t *testing.T) {
	occupied, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	for _, spoil := range []func(*settings.Settings){
		func(s *settings.Settings) { s.Binds.Edge = occupied.Addr().String() },
		func(s *settings.Settings) { s.Binds.Ready = occupied.Addr().String() },
		func(s *settings.Settings) {
			s.PortRange[0] = occupied.Addr().(*net.TCPAddr).Port - configStreamPort
		},
	} {
		configured := testSettings(1)
		spoil(configured)
		require.Error(t, Run(context.Background(), configured, zap.NewNop(), Options{}))
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, Run(ctx, testSettings(0.2), zap.NewNop(), Options{}))
}

const settingsFile = `hostname = "edge-1"
machine-class = "edge"
ip-addr = "127.0.0.1"
az = "z1"
port-range = [7660,7675]
[bounds]
grace-s = `

func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write(settingsFile + "3\n")
	var applied []float64
	r := newSettingsWatcher(path, zap.NewNop(), func(s *settings.Settings) { applied = append(applied, s.Bounds.GraceS) })
	r.reloadIfChanged()
	require.Empty(t, applied, "nothing changed")
	write(settingsFile + "4.5\n")
	r.reloadIfChanged()
	require.Equal(t, []float64{4.5}, applied)
	write("broken")
	r.reloadIfChanged()
	require.Equal(t, []float64{4.5}, applied, "an invalid file is ignored")
	write(settingsFile + "60\n")
	r.reload()
	r.reloadIfChanged()
	require.Equal(t, []float64{4.5, 60}, applied)
	require.NoError(t, os.Remove(path))
	r.reloadIfChanged()
	r.reload()
	require.Len(t, applied, 2)
	newSettingsWatcher("", zap.NewNop(), nil).reload()
}
