package controlserver

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/settings"
)

// fakeNode implements Node with the control state of a single machine, in memory.
type fakeNode struct {
	mutex     sync.Mutex
	status    control.Status
	history   *catalog.History
	changed   chan struct{}
	broadcast []*pb.ServerList
	delivered int
	seeds     []string      // seeds of the last call of SetSeeds
	block     chan struct{} // orders block until it is closed, unless nil
	waiting   atomic.Int64  // number of orders that have waited for block
	leaving   chan struct{} // Leave blocks until it is closed, unless nil
	left      atomic.Int64  // number of calls of Leave

	coordination control.CoordinationStatus
}

func newFakeNode() *fakeNode {
	return &fakeNode{
		status: control.Status{
			View:          &pb.View{Number: 1},
			Committed:     catalog.Empty(),
			Authoritative: true,
			Live:          []string{"control-1"},
			Founded:       true,
		},
		history: catalog.NewHistory(0),
		changed: make(chan struct{}),
	}
}

func (n *fakeNode) Submit(_ context.Context, order *pb.Order) *pb.OrderResult {
	if n.block != nil {
		n.waiting.Add(1)
		<-n.block
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if order.Kind == pb.Order_KIND_READ {
		body, err := n.status.Committed.Configuration()
		if err != nil {
			return &pb.OrderResult{Status: 503}
		}
		return &pb.OrderResult{Status: 200, Body: body}
	}
	change, err := prepare(n.status.Committed, order)
	if refusal, refused := errors.AsType[catalog.OrderError](err); refused {
		return &pb.OrderResult{Status: uint32(refusal.Status())}
	}
	if err == nil && change != nil {
		n.commit(change)
	}
	return &pb.OrderResult{Status: 200}
}

func (n *fakeNode) Call(_ context.Context, _ *pb.CoordinationCall) *pb.CoordinationResult {
	return &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE}
}

func prepare(snapshot *catalog.Snapshot, order *pb.Order) (*pb.Change, error) {
	switch order.Kind {
	case pb.Order_KIND_REPLACE:
		return catalog.PrepareReplace(snapshot, order.Base, order.Body)
	case pb.Order_KIND_AMEND:
		return catalog.PrepareAmend(snapshot, order.Base, order.Body)
	default:
		return catalog.PrepareEvacuation(snapshot, order.Zone, order.Kind == pb.Order_KIND_EVACUATE_BEGIN)
	}
}

// commit applies a change. The caller holds the lock.
func (n *fakeNode) commit(change *pb.Change) {
	next, err := n.status.Committed.Apply(change)
	if err != nil {
		panic(err)
	}
	n.status.Committed = next
	n.history.Add(change)
	n.notify()
}

// notify closes the channel of Changed. The caller holds the lock.
func (n *fakeNode) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// updateStatus changes the status and closes the channel of Changed.
func (n *fakeNode) updateStatus(change func(*control.Status)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(&n.status)
	n.notify()
}

func (n *fakeNode) clearHistory() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.history.Reset(n.status.Committed.Sequence())
}

func (n *fakeNode) Status() control.Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.status
}

func (n *fakeNode) CoordinationStatus() control.CoordinationStatus { return n.coordination }

func (n *fakeNode) Changed() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.changed
}

func (n *fakeNode) Since(sequence uint64) ([]*pb.Change, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.history.Since(sequence)
}

func (n *fakeNode) Deliver(_ context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delivered += len(request.Msg.Messages)
	return connect.NewResponse(&pb.DeliverResponse{}), nil
}

func (n *fakeNode) SetSeeds(_ context.Context, seeds []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.seeds = seeds
}

func (n *fakeNode) BroadcastServerList(list *pb.ServerList) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.broadcast = append(n.broadcast, list)
}

func (n *fakeNode) Leave(context.Context) bool {
	n.left.Add(1)
	if n.leaving != nil {
		<-n.leaving
	}
	return true
}

// testSettings returns the settings of a control machine that serves on loopback.
func testSettings() *settings.Settings {
	return &settings.Settings{
		Hostname:  "control-1",
		Address:   "127.0.0.1",
		Zone:      "brno-hala",
		Region:    "cz-morava",
		PortRange: []int{0, 2},
		Zones:     map[string]string{"brno-hala": "cz-morava"},
		Bounds:    settings.Bounds{TTLMaxS: 5},
		CloudAPI:  settings.CloudAPI{Rate: 42},
	}
}

// servingSettings returns testSettings with listen addresses for the operator's API and the directory.
func servingSettings() *settings.Settings {
	own := testSettings()
	own.Binds = settings.Binds{Control: "127.0.0.2:0", Directory: "127.0.0.3:0"}
	return own
}

// newTestProcess returns a process with a fake node that reads no settings file.
func newTestProcess(t *testing.T) (*process, *fakeNode) {
	t.Helper()
	p := newProcess(newSettingsWatcher("", testSettings(), zap.NewNop()), zap.NewNop(), 1)
	node := newFakeNode()
	p.attach(node)
	t.Cleanup(p.stopPolls)
	return p, node
}

// advance advances the time of a process, with its ticks, without waiting.
func advance(p *process, duration time.Duration) {
	const step = 500 * time.Millisecond
	for ; duration > 0; duration -= step {
		p.started = p.started.Add(-min(step, duration))
		p.tick()
		p.polls.Wait()
	}
}

// linkClient serves the process's peer port and returns a client for it.
func linkClient(t *testing.T, p *process) fieldrelayv1connect.ControlLinkClient {
	t.Helper()
	server := httptest.NewServer(p.peerHandler("control-1"))
	t.Cleanup(server.Close)
	return fieldrelayv1connect.NewControlLinkClient(server.Client(), server.URL)
}

// configuration returns a valid configuration with the given generation and number of routes.
func configuration(generation, routes int) string {
	text := fmt.Sprintf(`{"gen":%d,"backends":[{"name":"s"}],"routes":[`, generation)
	for index := range routes {
		if index > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":"r-%d","vhost":"h.example","path-prefix":"/%d/","backend":"s","deadline-ms":%d}`,
			index, index, 1000+generation)
	}
	return text + `]}`
}

// replace submits a configuration of the given generation, which must be accepted.
func replace(t *testing.T, node Node, base, generation int) {
	t.Helper()
	order := &pb.Order{Kind: pb.Order_KIND_REPLACE, Base: uint64(base), Body: []byte(configuration(generation, 3))}
	result := node.Submit(t.Context(), order)
	require.Equal(t, uint32(200), result.Status)
}

func testAgent(host string) *pb.AgentRecord {
	return &pb.AgentRecord{
		Host: host, Incarnation: 1, Zone: "brno-hala", Region: "cz-morava",
		EdgeAddress: "10.0.0.1:8144", Ready: true,
	}
}

var _ Node = (*control.Node)(nil)
