package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"
	"go.uber.org/zap/zaptest/observer"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/serverlist"
	"fieldrelay/internal/region/settings"
)

// waitTimeout is the time after which a test that waits for a condition fails.
const waitTimeout = 8 * time.Second

func change(sequence uint64) *pb.Change {
	item := &pb.Item{Kind: catalog.KindRoutes, Name: "route", Order: 1, Sequence: sequence, Body: []byte(`{}`)}
	return &pb.Change{Sequence: sequence, Generation: sequence, Upserts: []*pb.Item{item}}
}

func serverList(revision uint64, ids ...string) *pb.ServerList {
	list := &pb.ServerList{Version: &pb.ListVersion{Epoch: 1, Holder: "core-1", Revision: revision}}
	for _, id := range ids {
		list.Servers = append(list.Servers, &pb.Server{Id: id, Service: "s", Address: "10.9.0.1:80"})
	}
	return list
}

// fakeControl is a control machine whose state is set by the test.
type fakeControl struct {
	fieldrelayv1connect.UnimplementedControlLinkHandler
	address string

	mu            sync.Mutex
	replica       *gossip.Replica
	members       *pb.Members
	view          *pb.View
	authoritative bool
	changed       chan struct{} // closed and replaced at each change
	requests      chan *pb.WatchRequest
}

func newFakeControl(t *testing.T) *fakeControl {
	t.Helper()
	control := &fakeControl{
		replica:       gossip.NewReplica(),
		authoritative: true,
		changed:       make(chan struct{}),
		requests:      make(chan *pb.WatchRequest, 1000),
	}
	control.address = serve(t, func(mux *http.ServeMux) {
		mux.Handle(fieldrelayv1connect.NewControlLinkHandler(control))
	})
	return control
}

// serve starts an HTTP server on the loopback interface until the test ends, and returns its address.
func serve(t *testing.T, handle func(mux *http.ServeMux)) string {
	t.Helper()
	mux := http.NewServeMux()
	handle(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// update changes the state of the control machine and wakes the long polls.
func (f *fakeControl) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeControl) commit(changes ...*pb.Change) {
	f.update(func() { f.replica.ApplyChanges(changes) })
}

func (f *fakeControl) Watch(ctx context.Context, request *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	received := request.Msg
	select {
	case f.requests <- received:
	default:
	}
	wait := time.NewTimer(time.Duration(received.GetHoldMs()) * time.Millisecond)
	defer wait.Stop()
	for {
		response, updated, changed := f.respond(received)
		if updated || received.GetHoldMs() == 0 {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// respond returns the response for the present state, whether it is due at once, and a channel that is closed at the
// next change.
func (f *fakeControl) respond(request *pb.WatchRequest) (response *pb.WatchResponse, updated bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	response = &pb.WatchResponse{
		Authoritative: f.authoritative,
		Sequence:      f.replica.Sequence(),
		Generation:    f.replica.Snapshot().Generation(),
		MembersSource: f.address,
	}
	updated = f.addState(response, request)
	if serverlist.CompareVersions(f.replica.ListVersion(), request.GetList()) > 0 {
		response.List = f.replica.List(time.Second)
		updated = true
	}
	known := request.GetMembersSource() == f.address && request.GetMembersVersion() == f.members.GetVersion()
	if f.members != nil && !known {
		response.Members = f.members
		updated = true
	}
	if f.view.GetNumber() > request.GetViewNumber() {
		response.View = f.view
		updated = true
	}
	return response, updated, f.changed
}

// addState adds the changes or the repair that the agent lacks, and reports whether the agent lacks any.
func (f *fakeControl) addState(response *pb.WatchResponse, request *pb.WatchRequest) bool {
	if request.GetSequence() >= f.replica.Sequence() {
		return false
	}
	changes, available := f.replica.ChangesSince(request.GetSequence())
	switch {
	case available:
		response.Changes = changes
	case request.GetDigests() != nil:
		response.Repair = f.replica.Snapshot().RepairFor(request.GetDigests())
	default:
		response.NeedDigests = true
	}
	return true
}

// fakeProxy applies the updates it receives, and fails the test if an update is older than its own state.
type fakeProxy struct {
	fieldrelayv1connect.UnimplementedProxyFeedHandler
	t       *testing.T
	address string

	mu           sync.Mutex
	replica      *gossip.Replica
	incarnation  uint64
	ready        bool
	needsDigests bool // the proxy cannot use changes, and reports its digests
	quotaMembers *pb.QuotaMembers
	confirmed    bool
	repairs      int
	exchanges    chan struct{} // signaled after an exchange
}

func newFakeProxy(t *testing.T) *fakeProxy {
	t.Helper()
	proxy := &fakeProxy{t: t, replica: gossip.NewReplica(), incarnation: 1, exchanges: make(chan struct{}, 1)}
	proxy.address = serve(t, func(mux *http.ServeMux) {
		mux.Handle(fieldrelayv1connect.NewProxyFeedHandler(proxy))
	})
	return proxy
}

// restart simulates a new process without state.
func (f *fakeProxy) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica = gossip.NewReplica()
	f.incarnation++
	f.quotaMembers = nil
	f.confirmed = false
	f.ready = false
}

func (f *fakeProxy) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.ProxyStatus], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status(), nil
}

func (f *fakeProxy) Apply(_ context.Context, request *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ProxyStatus], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	base := f.replica.Snapshot()
	for _, change := range request.Msg.GetChanges() {
		if change.GetSequence() <= base.Sequence() {
			f.t.Errorf("received change %d, but the proxy is already at sequence %d", change.GetSequence(), base.Sequence())
		}
	}
	if !f.needsDigests {
		f.replica.ApplyChanges(request.Msg.GetChanges())
	}
	if repair := request.Msg.GetRepair(); repair != nil {
		if moved, err := f.replica.Restore(base, repair); err != nil || !moved {
			f.t.Errorf("repair to sequence %d not applied by the proxy at sequence %d: %v", repair.GetSequence(), base.Sequence(), err)
		}
		f.repairs++
		f.needsDigests = false
	}
	if list := request.Msg.GetList(); list != nil && f.replica.OfferList(time.Minute, list) == gossip.ListStale {
		f.t.Errorf("received a stale server list: version %v", list.GetVersion())
	}
	if members := request.Msg.GetQuotaMembers(); members != nil {
		f.quotaMembers = members
	}
	f.confirmed = f.confirmed || request.Msg.GetConfirmed()
	return f.status(), nil
}

func (f *fakeProxy) status() *connect.Response[pb.ProxyStatus] {
	select {
	case f.exchanges <- struct{}{}:
	default:
	}
	status := &pb.ProxyStatus{
		Host:        "edge-1",
		Incarnation: f.incarnation,
		Sequence:    f.replica.Sequence(),
		Generation:  f.replica.Snapshot().Generation(),
		List:        f.replica.ListVersion(),
		Ready:       f.ready,
		EdgeAddress: "10.0.0.1:8144",
		Shares:      f.quotaMembers.GetVersion(),
	}
	if f.needsDigests {
		status.Digests = f.replica.Snapshot().Digests()
	}
	return connect.NewResponse(status)
}

// waitFor waits until the proxy meets a condition.
func (f *fakeProxy) waitFor(what string, condition func() bool) {
	f.t.Helper()
	end := time.NewTimer(waitTimeout)
	defer end.Stop()
	for {
		f.mu.Lock()
		met := condition()
		f.mu.Unlock()
		if met {
			return
		}
		select {
		case <-f.exchanges:
		case <-end.C:
			require.Fail(f.t, "the proxy did not meet the condition in time", what)
		}
	}
}

// waitForRequest waits until the control machine receives a request that meets a condition.
func (f *fakeControl) waitForRequest(t *testing.T, what string, condition func(request *pb.WatchRequest) bool) {
	t.Helper()
	end := time.NewTimer(waitTimeout)
	defer end.Stop()
	for {
		select {
		case request := <-f.requests:
			if condition(request) {
				return
			}
		case <-end.C:
			require.Fail(t, "the control machine did not receive the expected request in time", what)
		}
	}
}

// runningAgent is an agent that runs in the test process and listens on the loopback interface.
type runningAgent struct {
	address  string
	shutDown context.CancelFunc
	ended    chan error
}

// startAgent starts an agent without a grace period, which runs until the test ends.
func startAgent(t *testing.T, host, proxy string, controls ...string) *runningAgent {
	t.Helper()
	return startWithGrace(t, 0, host, proxy, controls...)
}

// startWithGrace starts an agent with a grace period, which runs until the test ends.
func startWithGrace(t *testing.T, grace time.Duration, host, proxy string, controls ...string) *runningAgent {
	t.Helper()
	config := &settings.Settings{
		Hostname:  host,
		Address:   "127.0.0.1",
		Zone:      "zone-a",
		Region:    "region-a",
		PortRange: []int{7000, 7010},
		Seeds:     controls,
		Bounds:    settings.Bounds{GraceS: grace.Seconds()},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	options := Options{
		Proxy:       proxy,
		Listener:    listener,
		LinkAddress: func(seed string) (string, error) { return seed, nil },
	}
	ctx, end := context.WithCancel(context.Background())
	running := &runningAgent{address: listener.Addr().String(), shutDown: end, ended: make(chan error, 1)}
	logged, logs := observer.New(zap.InfoLevel)
	logger := zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)).Named(host).WithOptions(
		zap.WrapCore(func(printed zapcore.Core) zapcore.Core { return zapcore.NewTee(printed, logged) }))
	go func() { running.ended <- RunWith(ctx, config, logger, options) }()
	t.Cleanup(func() {
		end()
		running.requireEnded(t)
		requireNoViolations(t, logs)
	})
	return running
}

// requireNoViolations requires that the counters that the agent logged last report no violations.
func requireNoViolations(t *testing.T, logs *observer.ObservedLogs) {
	t.Helper()
	counted := logs.FilterMessage("counters").All()
	require.NotEmpty(t, counted)
	require.EqualValues(t, 0, counted[len(counted)-1].ContextMap()["violations"])
}

// requireEnded waits until the agent has ended.
func (r *runningAgent) requireEnded(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.ended:
		require.NoError(t, err)
		r.ended <- nil // for the next call
	case <-time.After(waitTimeout):
		require.Fail(t, "the agent did not exit in time")
	}
}
