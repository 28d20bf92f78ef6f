package hollow

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/settings"
)

func testDeployment() Deployment {
	return Deployment{Network: 77, Controls: 5, Agents: 390, Servers: 120, Zones: 43, Regions: 18, Routes: 10, Page: 50, Rate: 100}
}

func TestAddressesDiffer(t *testing.T) {
	d := testDeployment()
	seen := map[string]bool{d.platformIP(): true, d.workerIP(0): true, d.workerIP(1): true}
	for number := range d.Controls {
		require.False(t, seen[d.controlIP(number)])
		seen[d.controlIP(number)] = true
	}
	hosts := make(map[string]bool)
	for number := range d.Agents {
		own := d.agentSettings(number)
		require.False(t, seen[own.Address], own.Address)
		seen[own.Address] = true
		require.False(t, hosts[own.Hostname])
		hosts[own.Hostname] = true
		require.Equal(t, own.Region, own.RegionOf(own.Zone))
	}
	require.Len(t, d.zones(), d.Zones)
	require.Len(t, d.seeds(), 3)
}

func TestPlatformTellsAllServersPageByPage(t *testing.T) {
	d := testDeployment()
	stand := newPlatform(d, time.Millisecond)
	require.Equal(t, 1, stand.change())
	seen := make(map[string]operator.ServerEntry)
	token := ""
	for range 3 {
		recorder := httptest.NewRecorder()
		stand.ServeHTTP(recorder, httptest.NewRequest("GET", "/servers?page-token="+token, nil))
		var page operator.ServerPage
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
		for _, entry := range page.Servers {
			seen[entry.InstID] = entry
		}
		if page.NextToken == nil {
			token = ""
			break
		}
		token = *page.NextToken
	}
	require.Empty(t, token, "the third page is the last")
	require.Len(t, seen, d.Servers)
	require.Equal(t, "1", *seen[markerID].Gen)
	require.EqualValues(t, 3, stand.calls.Load())
}

// TestControlSettingsAreValid: the text that is written for a control machine passes the checks of settings.
func TestControlSettingsAreValid(t *testing.T) {
	folder := t.TempDir()
	one, err := startControl(testDeployment(), "/bin/true", folder, 1)
	require.NoError(t, err)
	<-one.ended
	data, err := os.ReadFile(filepath.Join(folder, "core-1", "boot.toml"))
	require.NoError(t, err)
	read, err := settings.Parse(data)
	require.NoError(t, err)
	require.Equal(t, "core-1", read.Hostname)
	require.Equal(t, 1, read.FaultBudget.Zones)
	require.Len(t, read.Zones, 43)
}

func apply(t *testing.T, p *proxy, request *pb.ApplyRequest) *pb.ProxyStatus {
	t.Helper()
	answer, err := p.Apply(context.Background(), connect.NewRequest(request))
	require.NoError(t, err)
	return answer.Msg
}

func TestHollowProxyTakesWhatFollows(t *testing.T) {
	p := newProxy("edge-1", "10.0.0.1:8144")
	whole := &pb.Repair{Sequence: 5, Generation: 3, Ranges: make([]*pb.Range, catalog.RangeCount)}
	require.NotNil(t, apply(t, p, &pb.ApplyRequest{}).GetDigests(), "it holds nothing")
	require.EqualValues(t, 5, apply(t, p, &pb.ApplyRequest{Repair: whole}).GetSequence())
	next := []*pb.Change{{Sequence: 5, Generation: 3}, {Sequence: 6, Generation: 4}}
	require.EqualValues(t, 4, apply(t, p, &pb.ApplyRequest{Changes: next}).GetGeneration())
	later := []*pb.Change{{Sequence: 8, Generation: 9}}
	status := apply(t, p, &pb.ApplyRequest{Changes: later, Confirmed: true})
	require.EqualValues(t, 6, status.GetSequence())
	require.NotNil(t, status.GetDigests(), "a change is missing")
	list := &pb.ServerList{Version: &pb.ListVersion{Epoch: 1}, Servers: []*pb.Server{{Id: markerID, Software: "7"}}}
	whole = &pb.Repair{Sequence: 8, Generation: 9, Ranges: make([]*pb.Range, catalog.RangeCount)}
	status = apply(t, p, &pb.ApplyRequest{Repair: whole, List: list, Confirmed: true})
	require.True(t, status.GetReady())
	require.Contains(t, p.marked, 7)
	require.Len(t, p.inForce, 9, "a version brings all before it in force")
}

func TestQuantiles(t *testing.T) {
	var some durations
	require.Zero(t, some.quantile(0.5))
	for number := range 100 {
		some.add(time.Duration(100-number) * time.Millisecond)
	}
	require.Equal(t, 50*time.Millisecond, some.quantile(0.5))
	require.Equal(t, 99*time.Millisecond, some.quantile(0.99))
	require.Equal(t, 100*time.Millisecond, some.quantile(1))
	require.Equal(t, "p50 50, p99 99, last 100 ms (100)", some.String())
}

func TestProcessorTimeIsUserAndSystem(t *testing.T) {
	used, err := processorTime("12 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0\n")
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, used)
	_, err = processorTime("12")
	require.Error(t, err)
}

func TestUntilIsBounded(t *testing.T) {
	err := until(t.Context(), time.Millisecond, "it never holds", func() (bool, error) { return false, nil })
	var late *NotReachedError
	require.ErrorAs(t, err, &late)
	require.NoError(t, until(t.Context(), time.Minute, "it holds", func() (bool, error) { return true, nil }))
}
