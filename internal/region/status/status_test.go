package status

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

// hosts are the names of the control machines of the tests, the head of the chain first.
var hosts = []string{"core-a", "core-b", "core-c"}

func replica(host string) *pb.Replica {
	return &pb.Replica{Host: host, Identity: "id-" + host, Address: "10.0.0.1:7660", Zone: "zone-" + host}
}

// healthySurvey returns a survey of three machines that leads to no findings.
func healthySurvey() *Survey {
	view := &pb.View{Number: 4, Cluster: "c1", VotersEpoch: 3}
	for _, host := range hosts {
		view.Voters = append(view.Voters, replica(host))
		view.Chain = append(view.Chain, replica(host))
	}
	survey := &Survey{}
	for index, host := range hosts {
		survey.Machines = append(survey.Machines, Machine{Host: host, Address: "10.0.0.1:7660", Report: &pb.ControlStatusReport{
			Self: replica(host), UptimeMs: 90_000, View: view, Authoritative: true, Live: hosts, MembersSettled: true,
			Catalog: &pb.CatalogStatus{Sequence: 12, Generation: 30, Routes: 8, Services: 2},
			Duty: &pb.PollingRoleStatus{
				Holder: index == 0, List: &pb.ListVersion{Epoch: 2, Holder: "core-a", Revision: 7},
				ListAgeMs: 900, Servers: 14, Draining: 1, Polls: 80, PollsFailed: 1,
			},
			Agents: []*pb.AgentStatus{agent("edge-1"), agent("edge-2")},
			Orders: &pb.OrderCounters{Acknowledged: 5, Refused: 2},
			Coordination: &pb.CoordinationStatus{
				Epoch: 3, Registers: 41, Proposing: 17, Pending: 6, Watches: 9,
				Calls: &pb.CallCounters{Executed: 1234, Refused: 56, NotExecuted: 7, Unknown: 8},
			},
		}})
	}
	return survey
}

func agent(host string) *pb.AgentStatus {
	return &pb.AgentStatus{Record: &pb.AgentRecord{
		Host: host, Zone: "zone-core-a", EdgeAddress: "10.1.0.1:8144", Ready: true, Sequence: 12, AgeMs: 400,
	}}
}

func TestFindings(t *testing.T) {
	unreachable := &UnreachableError{Address: "10.0.0.1:7660", Cause: context.DeadlineExceeded}
	cases := map[string]struct {
		change func(s *Survey)
		want   []string // prefixes of the findings, in order
	}{
		"nothing is wrong": {func(*Survey) {}, nil},
		"one machine is queried": {func(s *Survey) {
			s.Machines = s.Machines[1:2]
		}, nil},
		"a voter is unreachable": {func(s *Survey) {
			s.Machines[2] = Machine{Host: "core-c", Err: unreachable}
		}, []string{"WARNING: core-c: "}},
		"a majority is unreachable": {func(s *Survey) {
			s.Machines[1] = Machine{Host: "core-b", Err: unreachable}
			s.Machines[2] = Machine{Host: "core-c", Err: unreachable}
			s.Machines[0].Report.Authoritative = false
		}, []string{"ALARM: only 1 of 3 voters answer", "ALARM: no machine holds the agreed state", "WARNING: core-b", "WARNING: core-c"}},
		"a disk was lost": {func(s *Survey) {
			s.Machines[1].Report.Self = &pb.Replica{Host: "core-b", Identity: "other"}
		}, []string{"WARNING: core-b lost its disk"}},
		"a machine knows an older view": {func(s *Survey) {
			s.Machines[1].Report.View = &pb.View{Number: 3, Voters: s.Machines[0].Report.View.Voters, VotersEpoch: 3}
		}, []string{"WARNING: core-b holds view 3, view 4 is in force"}},
		"a replica lags": {func(s *Survey) {
			s.Machines[2].Report.Catalog = &pb.CatalogStatus{Sequence: 10}
		}, []string{"WARNING: core-c is in the chain and knows sequence 10 committed, others 12"}},
		"a replica lags by one change": {func(s *Survey) {
			s.Machines[2].Report.Catalog = &pb.CatalogStatus{Sequence: 11}
		}, nil},
		"a machine has just started": {func(s *Survey) {
			s.Machines[2].Report.Catalog = nil
			s.Machines[2].Report.UptimeMs = 500
		}, nil},
		"the system is not founded": {func(s *Survey) {
			for _, machine := range s.Machines {
				machine.Report.View, machine.Report.Catalog = nil, nil
			}
		}, []string{"ALARM: no machine knows a view"}},
		"one replica is left": {func(s *Survey) {
			s.Machines[0].Report.View.Chain = s.Machines[0].Report.View.Chain[:1]
		}, []string{"WARNING: the chain is core-a alone"}},
		"no machine polls the list": {func(s *Survey) {
			for _, machine := range s.Machines {
				machine.Report.Duty.Holder = false
				machine.Report.Duty.ListAgeMs = 7000
			}
		}, []string{"ALARM: the newest list of servers is 7s old", "WARNING: no machine that answers has the duty"}},
		"no list is known yet": {func(s *Survey) {
			for _, machine := range s.Machines {
				machine.Report.Duty.List = nil
			}
		}, []string{"ALARM: no machine that answers has a list"}},
		"a voter lacks the registers": {func(s *Survey) {
			s.Machines[1].Report.Coordination.Epoch = 0
		}, []string{"WARNING: core-b holds the registers of epoch 0, epoch 3 is in force"}},
		"a voter that has just started lacks the registers": {func(s *Survey) {
			s.Machines[1].Report.Coordination.Epoch = 0
			s.Machines[1].Report.UptimeMs = 500
		}, nil},
		"a majority lacks the registers": {func(s *Survey) {
			s.Machines[0].Report.Coordination.Epoch = 2
			s.Machines[1].Report.Coordination.Epoch = 2
		}, []string{"ALARM: at most 1 of 3 voters hold the registers of epoch 3", "WARNING: core-a holds", "WARNING: core-b holds"}},
		"one machine that lacks the registers is queried": {func(s *Survey) {
			s.Machines = s.Machines[1:2]
			s.Machines[0].Report.Coordination.Epoch = 2
		}, []string{"WARNING: core-b holds the registers of epoch 2"}},
		"a machine of an earlier version says nothing of registers": {func(s *Survey) {
			s.Machines[1].Report.Coordination = nil
		}, nil},
		"the view is of an earlier version": {func(s *Survey) {
			for _, machine := range s.Machines {
				machine.Report.View.VotersEpoch = 0
			}
		}, []string{"WARNING: view 4 is of an earlier version"}},
		"agents lag": {func(s *Survey) {
			s.Machines[1].Report.Lateness = &pb.LagStatus{AgentsBehind: 2, OldestLagMs: 2340, OldestHost: "edge-1"}
		}, []string{"WARNING: core-b: 2 agents it hears have lacked a change for more than a second, edge-1 for 2.3s"}},
		"a proxy exceeded its bound": {func(s *Survey) {
			s.Machines[1].Report.Lateness = &pb.LagStatus{OldestLagMs: 40, OldestHost: "edge-1", LateProxies: 3}
		}, []string{"notice: core-b: since its start, proxies in contact were late by more than the bound 3 times"}},
		"two own the polling role": {func(s *Survey) {
			s.Machines[1].Report.Duty.Holder = true
		}, []string{"notice: core-a and core-b both"}},
		"agents in every state": {func(s *Survey) {
			agents := []*pb.AgentStatus{agent("edge-1"), agent("edge-2"), agent("edge-3"), agent("edge-4"), agent("edge-5")}
			agents[1].Lost = true
			agents[2].Record.Ready = false
			agents[3].Record.Sequence = 9
			agents[4].Record.Draining = true
			s.Machines[0].Report.Agents = agents
		}, []string{"WARNING: lost: edge-2", "WARNING: live but not ready for clients: edge-3", "WARNING: more than one change behind: edge-4"}},
		"no agent is live": {func(s *Survey) {
			for _, agent := range s.Machines[0].Report.Agents {
				agent.Lost = true
			}
		}, []string{"ALARM: no edge machine is live", "WARNING: lost: edge-1, edge-2"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			survey := healthySurvey()
			test.change(survey)
			var lines []string
			for _, finding := range survey.Findings() {
				lines = append(lines, finding.Severity.String()+": "+finding.Text)
			}
			require.Len(t, lines, len(test.want), strings.Join(lines, "\n"))
			for index, beginning := range test.want {
				require.True(t, strings.HasPrefix(lines[index], beginning), "%q, wanted %q", lines[index], beginning)
			}
		})
	}
}

func TestText(t *testing.T) {
	survey := healthySurvey()
	survey.Machines[1] = Machine{Host: "core-b", Err: &UnreachableError{Address: "a", Cause: context.Canceled}}
	survey.Machines[0].Report.Catalog.EvacuatedZones = []string{"brno-hala"}
	survey.Machines[0].Report.Agents[1].Lost = true
	survey.Machines[0].Report.Agents[1].Record.Sequence = 3
	var text bytes.Buffer
	require.NoError(t, survey.WriteText(&text))
	for _, part := range []string{
		"WARNING: core-b: a does not answer",
		"view 4 of cluster c1, 3 voters",
		"chain, head first: core-a (zone-core-a) -> core-b (zone-core-b) -> core-c (zone-core-c)",
		"head, reads the list", "brno-hala", "2/core-a/7", "900ms", "14, 1 draining", "80, 1 failed",
		"core-b   silent", "tail",
		"calls of applications, registers of epoch 3",
		"core-a   3      41         17        6        9        1234      56       7             8",
		"agents as core-a knows them: 1 live, 1 lost", "lost",
	} {
		require.Contains(t, text.String(), part)
	}
}

func TestTextBeforeFounding(t *testing.T) {
	survey := &Survey{Machines: []Machine{{Host: "core-a", Report: &pb.ControlStatusReport{Self: replica("core-a")}}}}
	var text bytes.Buffer
	require.NoError(t, survey.WriteText(&text))
	require.Contains(t, text.String(), "no machine knows a view")
	require.Contains(t, text.String(), "there may be more")
}

func TestJSON(t *testing.T) {
	survey := healthySurvey()
	survey.Machines[1] = Machine{Host: "core-b", Err: &UnreachableError{Address: "a", Cause: context.Canceled}}
	var output bytes.Buffer
	require.NoError(t, survey.WriteJSON(&output))
	var read struct {
		Findings []struct{ Severity, Text string }
		Machines []struct {
			Host   string
			Error  string
			Report struct {
				View struct{ Number string }
				Duty struct {
					Holder    bool
					ListAgeMS string `json:"list_age_ms"`
				}
			}
		}
	}
	require.NoError(t, json.Unmarshal(output.Bytes(), &read))
	require.Len(t, read.Findings, 1)
	require.Equal(t, "WARNING", read.Findings[0].Severity)
	require.Len(t, read.Machines, 3)
	require.Equal(t, "4", read.Machines[0].Report.View.Number)
	require.True(t, read.Machines[0].Report.Duty.Holder)
	require.Equal(t, "900", read.Machines[0].Report.Duty.ListAgeMS)
	require.NotEmpty(t, read.Machines[1].Error)
}

// reportServer serves the status of a control machine with a fixed report.
type reportServer struct {
	fieldrelayv1connect.UnimplementedControlStatusHandler
	report *pb.ControlStatusReport
}

func (m *reportServer) Describe(context.Context, *connect.Request[pb.ControlStatusRequest]) (*connect.Response[pb.ControlStatusReport], error) {
	return connect.NewResponse(m.report), nil
}

// serve serves each machine on a loopback address until the test ends, and returns the addresses.
func serve(t *testing.T, machines []*reportServer) []string {
	t.Helper()
	var addresses []string
	for _, served := range machines {
		mux := http.NewServeMux()
		mux.Handle(fieldrelayv1connect.NewControlStatusHandler(served))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

func TestSurveyQueriesAllVoters(t *testing.T) {
	var machines []*reportServer
	for _, surveyed := range healthySurvey().Machines {
		machines = append(machines, &reportServer{report: surveyed.Report})
	}
	addresses := serve(t, machines)
	for index, voter := range machines[0].report.View.Voters {
		voter.Address = addresses[index]
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closedAddress := closed.Listener.Addr().String()
	closed.Close()
	machines[0].report.View.Voters[2].Address = closedAddress

	survey, err := NewSurveyor().Survey(t.Context(), addresses[1])
	require.NoError(t, err)
	require.Len(t, survey.Machines, 3)
	require.Equal(t, "core-b", survey.Machines[0].Host)
	require.Equal(t, "core-a", survey.Machines[1].Report.Self.Host)
	var unreachable *UnreachableError
	require.True(t, errors.As(survey.Machines[2].Err, &unreachable), "%v", survey.Machines[2].Err)
	require.Equal(t, closedAddress, unreachable.Address)

	survey, err = NewSurveyor().SurveyOne(t.Context(), addresses[1])
	require.NoError(t, err)
	require.Len(t, survey.Machines, 1)
}

func TestDescribeExplainsAWrongAddress(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	_, err := NewSurveyor().Survey(t.Context(), other.Listener.Addr().String())
	var wrong *NotControlError
	require.True(t, errors.As(err, &wrong), "%v", err)
	require.Contains(t, err.Error(), "port-range")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewSurveyor().Survey(t.Context(), address)
	var unreachable *UnreachableError
	require.True(t, errors.As(err, &unreachable), "%v", err)
}
