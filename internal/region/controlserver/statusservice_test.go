package controlserver

import (
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/coordination"
	"fieldrelay/internal/region/registry"
)

// describe requests the status report of a process from its peer port.
func describe(t *testing.T, p *process) *pb.ControlStatusReport {
	t.Helper()
	server := httptest.NewServer(p.peerHandler("control-1"))
	defer server.Close()
	client := fieldrelayv1connect.NewControlStatusClient(server.Client(), server.URL)
	response, err := client.Describe(t.Context(), connect.NewRequest(&pb.ControlStatusRequest{}))
	require.NoError(t, err)
	return response.Msg
}

func TestStatusBeforeAnythingIsKnown(t *testing.T) {
	p, node := newTestProcess(t)
	node.updateStatus(func(status *control.Status) { *status = control.Status{} })
	report := describe(t, p)
	require.Nil(t, report.View)
	require.Nil(t, report.Catalog)
	require.Nil(t, report.Duty.List)
	require.False(t, report.Authoritative)
	require.False(t, report.MembersSettled)
}

func TestStatusReportsStatePollingRoleAndAgents(t *testing.T) {
	p, node := newTestProcess(t)
	replace(t, node, 0, 7)
	node.Submit(t.Context(), &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "brno-hala"})
	p.serverListReceived(&pb.ServerList{
		Version: &pb.ListVersion{Epoch: 3, Holder: "control-2", Revision: 1},
		Servers: []*pb.Server{{Id: "i-1"}, {Id: "i-2", Draining: true}},
	})
	p.soft.ObserveAgent(testAgent("edge-1"), nil)
	advance(p, registry.FailureTimeout)
	p.soft.ObserveAgent(testAgent("edge-2"), nil)
	p.tick()

	report := describe(t, p)
	require.Equal(t, uint64(1), report.View.GetNumber())
	require.True(t, report.Authoritative)
	require.True(t, report.MembersSettled)
	require.Equal(t, uint64(2), report.Catalog.Sequence)
	require.Equal(t, uint64(7), report.Catalog.Generation)
	require.Equal(t, uint32(3), report.Catalog.Routes)
	require.Equal(t, uint32(1), report.Catalog.Services)
	require.Equal(t, []string{"brno-hala"}, report.Catalog.EvacuatedZones)
	require.Equal(t, uint64(3), report.Duty.List.Epoch)
	require.GreaterOrEqual(t, report.Duty.ListAgeMs, uint64(registry.FailureTimeout/time.Millisecond))
	require.Equal(t, uint32(2), report.Duty.Servers)
	require.Equal(t, uint32(1), report.Duty.Draining)
	require.Len(t, report.Agents, 2)
	require.True(t, report.Agents[0].Lost, "edge-1 had no contact for the failure timeout")
	require.False(t, report.Agents[1].Lost)
}

// Guards against missing data for on-call engineers: the status report and the counters show the registers and the
// outcomes of calls.
func TestStatusAndCountersTellOfCallsAndRegisters(t *testing.T) {
	p, node := newTestProcess(t)
	core, logged := observer.New(zap.InfoLevel)
	p.logger = zap.New(core)
	node.coordination = control.CoordinationStatus{
		Epoch: 3,
		Stats: coordination.Stats{Registers: 41, Proposing: 17, Pending: 6, Watches: 9},
	}
	server := operatorServer(t, p)
	for _, call := range []struct {
		status int
		body   string
	}{{503, `{"holder":"a","hold-ms":3000}`}, {400, `{}`}} {
		status, _ := request(t, "POST", server.URL+"/api/locks/l/begin", "", call.body)
		require.Equal(t, call.status, status)
	}
	status, _ := request(t, "GET", server.URL+"/api/conf/read", "", "")
	require.Equal(t, 200, status, "the operator's API must be served at the same address")

	report := describe(t, p).GetCoordination()
	require.Equal(t, (&pb.CoordinationStatus{
		Epoch: 3, Registers: 41, Proposing: 17, Pending: 6, Watches: 9,
		Calls: &pb.CallCounters{Refused: 1, NotExecuted: 1},
	}).String(), report.String())

	p.logCounters()
	line := logged.FilterMessage("counters").All()[0].ContextMap()
	for field, want := range map[string]any{
		"calls_executed": int64(0), "calls_refused": int64(1), "calls_not_executed": int64(1), "calls_unknown": int64(0),
		"calls_pending": int64(6), "watches_waiting": int64(9),
		"registers": int64(41), "registers_proposing": int64(17), "register_epoch": uint64(3),
	} {
		require.Equal(t, want, line[field], field)
	}
}
