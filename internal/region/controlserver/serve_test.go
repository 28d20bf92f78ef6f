package controlserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/route"
	"fieldrelay/internal/region/settings"
)

// operatorServer serves the handler of the control address, which has the operator's API and the directory.
func operatorServer(t *testing.T, p *process) *httptest.Server {
	t.Helper()
	current := *testSettings()
	current.Binds = settings.Binds{Control: "127.0.0.2:0", Directory: "127.0.0.2:0"}
	p.settings.current.Store(&current)
	handlers := p.handlers()
	require.Len(t, handlers, 2, "both services must share an address")
	server := httptest.NewServer(handlers["127.0.0.2:0"])
	t.Cleanup(server.Close)
	return server
}

func request(t *testing.T, method, url, base, body string) (int, string) {
	t.Helper()
	message, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	if base != "" {
		message.Header.Set("X-Fieldrelay-Base-Rev", base)
	}
	response, err := http.DefaultClient.Do(message)
	require.NoError(t, err)
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, errors.Join(err, response.Body.Close()))
	return response.StatusCode, string(answer)
}

// Guards against the rejection of an evacuation that another machine has accepted: the settings of this machine do not
// have the zone, those of the other machine do.
func TestAcceptedEvacuationIsNotRejectedElsewhere(t *testing.T) {
	p, node := newTestProcess(t)
	server := operatorServer(t, p)
	const zone = "olomouc-hala"
	require.False(t, p.settings.Current().KnowsZone(zone))
	status, _ := request(t, "POST", server.URL+"/api/drain/"+zone+"/begin", "", "")
	require.Equal(t, 404, status)
	change, err := catalog.PrepareEvacuation(node.Status().Committed, zone, true)
	require.NoError(t, err)
	node.mutex.Lock()
	node.commit(change)
	node.mutex.Unlock()
	for _, call := range []string{"/begin", "/begin", "/finish"} {
		status, _ = request(t, "POST", server.URL+"/api/drain/"+zone+call, "", "")
		require.Equal(t, 200, status, call)
	}
}

func TestAConfigurationIsTakenAndReadBack(t *testing.T) {
	p, _ := newTestProcess(t)
	server := operatorServer(t, p)
	sent := configuration(7, 5)
	status, _ := request(t, "POST", server.URL+"/api/conf/replace", "0", sent)
	require.Equal(t, 200, status)
	status, _ = request(t, "POST", server.URL+"/api/conf/replace", "0", configuration(8, 1))
	require.Equal(t, 412, status)
	status, _ = request(t, "POST", server.URL+"/api/conf/replace", "7", `{"gen":`)
	require.Equal(t, 400, status)
	status, _ = request(t, "POST", server.URL+"/api/drain/brno-hala/begin", "", "")
	require.Equal(t, 200, status)
	status, _ = request(t, "POST", server.URL+"/api/drain/elsewhere/begin", "", "")
	require.Equal(t, 404, status)
	status, body := request(t, "GET", server.URL+"/api/conf/read", "", "")
	require.Equal(t, 200, status)
	require.JSONEq(t, sent, body)
}

func TestDirectoryReturnsNothingBeforeConvergence(t *testing.T) {
	p, _ := newTestProcess(t)
	p.soft.ObserveAgent(testAgent("edge-1"), nil)
	require.Empty(t, p.soft.Endpoints(restrictedClient, 0))
	p.started = p.started.Add(-directoryConvergenceTime)
	require.Equal(t, []string{"10.0.0.1:8144"}, p.soft.Endpoints(restrictedClient, 0))
}

// restrictedClient is a client whose requests may be restricted to home regions.
var restrictedClient = registry.Client{Region: "cz-morava", Zone: "brno-hala", HomeRegions: route.HomeRegions{Unreadable: true}}

// TestTheDirectoryFollowsTheHomesOfTheConfiguration guards against a directory that ignores home regions: clients whose
// region has no proxy must be sent to the home regions of the requested host.
func TestTheDirectoryFollowsTheHomesOfTheConfiguration(t *testing.T) {
	p, _ := newTestProcess(t)
	for host, region := range map[string]string{"edge-1": "west", "edge-2": "west", "edge-3": "east", "edge-4": "east"} {
		record := testAgent(host)
		record.Region, record.EdgeAddress = region, region+":"+host
		p.soft.ObserveAgent(record, nil)
	}
	p.started = p.started.Add(-directoryConvergenceTime)
	server := operatorServer(t, p)
	lookupRegions := func(name, region string) []string {
		status, body := request(t, "GET", server.URL+"/api/lookup?name="+name+"&geo="+region, "", "")
		require.Equal(t, 200, status)
		var answer struct {
			Endpoints []string `json:"endpoints"`
		}
		require.NoError(t, json.Unmarshal([]byte(body), &answer))
		var regions []string
		for _, address := range answer.Endpoints {
			regions = append(regions, strings.Split(address, ":")[0])
		}
		slices.Sort(regions)
		return slices.Compact(regions)
	}
	configure := func(base, generation, home string) {
		body := `{"gen":` + generation + `,"routes":[{"name":"r","vhost":"h.example","path-prefix":"/","backend":"s","deadline-ms":900,"home-regions":["` +
			home + `"]}],"backends":[{"name":"s"}]}`
		status, _ := request(t, "POST", server.URL+"/api/conf/replace", base, body)
		require.Equal(t, 200, status)
	}
	require.Equal(t, []string{"east", "west"}, lookupRegions("h.example", "south"), "no configuration is known")
	configure("0", "1", "west")
	require.Equal(t, []string{"west"}, lookupRegions("h.example", "south"))
	require.Equal(t, []string{"west"}, lookupRegions("H.EXAMPLE:80", "south"))
	require.Equal(t, []string{"east", "west"}, lookupRegions("other.example", "south"))
	require.Equal(t, []string{"east"}, lookupRegions("h.example", "east"), "the client's own region takes precedence")
	configure("1", "2", "east")
	require.Equal(t, []string{"east"}, lookupRegions("h.example", "south"))
}

func TestTheDirectoryAnswersOnceMostProxiesAreReady(t *testing.T) {
	p, _ := newTestProcess(t)
	starting := testAgent("edge-3")
	starting.Ready = false
	p.soft.ObserveAgent(starting, nil)
	p.soft.ObserveAgent(testAgent("edge-1"), nil)
	require.Empty(t, p.soft.Endpoints(restrictedClient, 0))
	p.soft.ObserveAgent(testAgent("edge-2"), nil)
	require.Len(t, p.soft.Endpoints(restrictedClient, 0), 2)
}

// TestServeAnswersAcceptedCalls guards against the loss of an accepted call: it shuts the process down while a call of
// the operator is in progress.
func TestServeAnswersAcceptedCalls(t *testing.T) {
	p, node := newTestProcess(t)
	node.block = make(chan struct{})
	p.settings.current.Store(servingSettings())
	servers, err := p.listenAll(t.Context())
	require.NoError(t, err)
	require.Len(t, servers, 3)

	answers := make(chan int, len(servers))
	for _, one := range servers {
		go func() { _ = one.Serve() }()
		address := one.listener.Addr().String()
		if !strings.HasPrefix(address, "127.0.0.2:") {
			continue
		}
		go func() {
			status, _ := request(t, "GET", "http://"+address+"/api/conf/read", "", "")
			answers <- status
		}()
		require.Eventually(t, func() bool { return node.waiting.Load() > 0 }, 5*time.Second, time.Millisecond)
	}
	ended := make(chan struct{})
	go func() {
		p.shutDown(servers, func() {})
		close(ended)
	}()
	<-p.shuttingDown
	close(node.block)
	require.Equal(t, 200, <-answers)
	<-ended
}

func TestRunLoopEndsWithItsContext(t *testing.T) {
	p, _ := newTestProcess(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, p.runLoop(ctx, nil, nil))
	failed := make(chan error, 1)
	failed <- http.ErrServerClosed
	require.ErrorIs(t, p.runLoop(t.Context(), nil, failed), http.ErrServerClosed)
}

func TestRunServesUntilItsContextEnds(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "boot.toml")
	require.NoError(t, os.WriteFile(path, []byte(settingsText), 0o600))
	t.Setenv(settings.PathVariable, path)
	core, lines := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, singleMachineSettings(filepath.Join(folder, "state")), zap.New(core)) }()
	require.Eventually(t, func() bool {
		return lines.FilterMessage("authority changed").Len() > 0 &&
			lines.FilterMessage("settings reloaded").Len() > 0
	}, 10*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, 1, lines.FilterMessage("counters").FilterField(zap.Int64("polls_succeeded", 0)).Len())
}

const settingsText = `
hostname = "control-1"
machine-class = "core"
ip-addr = "127.0.0.1"
az = "brno-hala"
port-range = [7660, 7675]
`

func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(settingsText)
	initial, err := settings.Load(path)
	require.NoError(t, err)
	core, lines := observer.New(zap.InfoLevel)
	watcher := newSettingsWatcher(path, initial, zap.New(core))

	require.False(t, watcher.Check(false), "the file has not changed")
	require.False(t, watcher.Check(true))
	info, err := os.Stat(path)
	require.NoError(t, err)
	write(strings.Replace(settingsText, "core", "bore", 1))
	require.NoError(t, os.Chtimes(path, info.ModTime(), info.ModTime()))
	require.False(t, watcher.Check(false), "modification time and size have not changed")
	require.True(t, watcher.Check(true), "the file must be reloaded if forced")

	write(settingsText + "[zones]\nolomouc-hala = \"cz-morava\"\n")
	require.True(t, watcher.Check(false))
	require.True(t, watcher.Current().KnowsZone("olomouc-hala"))

	lines.TakeAll()
	write("hostname = 3")
	require.False(t, watcher.Check(false))
	require.False(t, watcher.Check(true))
	require.Equal(t, 1, lines.Len(), "an error must be logged only once")
	require.True(t, watcher.Current().KnowsZone("olomouc-hala"))
}

// TestOtherSeedsReachTheNode guards against a node that keeps outdated seeds: all known machines may have been
// replaced.
func TestOtherSeedsReachTheNode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	seeds := func(address string) string { return settingsText + "seed-nodes = [\"" + address + "\"]\n" }
	require.NoError(t, os.WriteFile(path, []byte(seeds("10.0.0.1:80")), 0o600))
	initial, err := settings.Load(path)
	require.NoError(t, err)
	p, node := newTestProcess(t)
	p.settings = newSettingsWatcher(path, initial, zap.NewNop())
	p.checkSettings(t.Context(), true)
	require.Empty(t, node.seeds, "the seeds have not changed")
	require.NoError(t, os.WriteFile(path, []byte(seeds("10.0.0.2:80")), 0o600))
	p.checkSettings(t.Context(), true)
	require.Equal(t, []string{"10.0.0.2:80"}, node.seeds)
}

// TestHostsWithHomeRegionsAreKnown guards against requests that are sent outside their home regions: without authority
// every host counts as restricted.
func TestHostsWithHomeRegionsAreKnown(t *testing.T) {
	p, node := newTestProcess(t)
	node.updateStatus(func(status *control.Status) { status.Committed = nil })
	require.Equal(t, route.HomeRegions{Unreadable: true}, p.homeRegionsOf("photos.example"), "no configuration is known")
	body := []byte(`{"gen":1,"routes":[{"name":"r","vhost":"photos.example","path-prefix":"/a/","deadline-ms":5,"backend":"b","home-regions":["west"]}],"backends":[{"name":"b"}]}`)
	change, err := catalog.PrepareReplace(catalog.Empty(), 0, body)
	require.NoError(t, err)
	committed, err := catalog.Empty().Apply(change)
	require.NoError(t, err)
	node.updateStatus(func(status *control.Status) {
		status.Committed = committed
		status.Authoritative = true
	})
	require.Equal(t, route.HomeRegions{Routes: 1, ByRegion: map[string]int{"west": 1}}, p.homeRegionsOf("photos.example"))
	require.Equal(t, route.HomeRegions{}, p.homeRegionsOf("tills.example"))
	node.updateStatus(func(status *control.Status) { status.Authoritative = false })
	require.Equal(t, route.HomeRegions{Unreadable: true}, p.homeRegionsOf("tills.example"))
}
