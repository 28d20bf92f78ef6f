package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/coordinationapi"
)

// applicationTimeout is how long an application repeats a call that gets no definite answer.
const applicationTimeout = 10 * time.Second

// application calls the machines of a cluster over HTTP.
type application struct {
	t       *testing.T
	cluster *testCluster
	client  *http.Client
	urls    []string // by machine
}

func newApplication(t *testing.T, cluster *testCluster) *application {
	t.Helper()
	app := &application{t: t, cluster: cluster, client: &http.Client{Timeout: applicationTimeout}}
	for index := range cluster.machines {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node := cluster.machines[index].node
			coordinationapi.New(coordinationapi.Options{
				Calls:        node,
				Ready:        func() bool { return node.Status().Founded },
				ShuttingDown: make(chan struct{}),
				Counters:     &coordinationapi.Counters{},
			}).Handler().ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		app.urls = append(app.urls, server.URL)
	}
	return app
}

// callAnswer is the body of any response to a call.
type callAnswer struct {
	Fence    uint64
	Val      any
	Revision uint64
	Events   []struct {
		Name, Val string
		Revision  uint64
	}
}

// call calls one machine repeatedly until it gives a definite answer, as an application does.
func (a *application) call(machine int, method, path, body string) (int, callAnswer) {
	a.t.Helper()
	deadline := time.Now().Add(applicationTimeout)
	for {
		changed := a.cluster.machines[machine].node.Changed()
		status, answer := a.callOnce(machine, method, path, body)
		isClear := status < http.StatusInternalServerError && status != http.StatusTooManyRequests
		if isClear {
			return status, answer
		}
		if time.Now().After(deadline) {
			a.logMachines()
			require.FailNow(a.t, "no definite answer", "%s: last status %d", path, status)
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// logMachines logs what the machines hold.
func (a *application) logMachines() {
	for index, machine := range a.cluster.machines {
		status := machine.node.Status()
		a.t.Logf("machine %d: live %v, view %v, coordination %+v", index, status.Live, status.View, machine.node.CoordinationStatus())
	}
}

func (a *application) callOnce(machine int, method, path, body string) (int, callAnswer) {
	a.t.Helper()
	request, err := http.NewRequestWithContext(a.t.Context(), method, a.urls[machine]+path, strings.NewReader(body))
	require.NoError(a.t, err)
	response, err := a.client.Do(request)
	require.NoError(a.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(a.t, err)
	var answer callAnswer
	require.NoError(a.t, json.Unmarshal(text, &answer), string(text))
	return response.StatusCode, answer
}

// begin acquires a lock for a minute.
func (a *application) begin(machine int, lock, holder string) (int, uint64) {
	a.t.Helper()
	status, answer := a.call(machine, "POST", "/api/locks/"+lock+"/begin", fmt.Sprintf(`{"holder":%q,"hold-ms":60000}`, holder))
	return status, answer.Fence
}

func (a *application) renew(machine int, lock, holder string, fence uint64) int {
	a.t.Helper()
	status, _ := a.call(machine, "POST", "/api/locks/"+lock+"/heartbeat",
		fmt.Sprintf(`{"holder":%q,"fence":%d,"hold-ms":60000}`, holder, fence))
	return status
}

func (a *application) finish(machine int, lock, holder string, fence uint64) {
	a.t.Helper()
	status, _ := a.call(machine, "POST", "/api/locks/"+lock+"/finish", fmt.Sprintf(`{"holder":%q,"fence":%d}`, holder, fence))
	require.Equal(a.t, 200, status)
}

func (a *application) number(machine int, name string) float64 {
	a.t.Helper()
	status, answer := a.call(machine, "POST", "/api/numbers/"+name, "{}")
	require.Equal(a.t, 200, status)
	return answer.Val.(float64)
}

func (a *application) put(machine int, key, value string, expected uint64) (int, uint64) {
	a.t.Helper()
	status, answer := a.call(machine, "POST", "/api/cells/"+key+"/replace", fmt.Sprintf(`{"val":%q,"enabled":%d}`, value, expected))
	return status, answer.Revision
}

func (a *application) requireKey(machine int, key, value string, revision uint64) {
	a.t.Helper()
	status, answer := a.call(machine, "GET", "/api/cells/"+key+"/read", "")
	require.Equal(a.t, 200, status)
	require.Equal(a.t, value, answer.Val)
	require.Equal(a.t, revision, answer.Revision)
}

// watch waits for puts after a revision, and returns their values in order.
func (a *application) watch(machine int, group string, after uint64) []string {
	a.t.Helper()
	status, answer := a.call(machine, "GET", fmt.Sprintf("/api/watch/%s?after=%d&wait-ms=8000", group, after), "")
	require.Equal(a.t, 200, status)
	var values []string
	for _, event := range answer.Events {
		after++
		require.Equal(a.t, after, event.Revision, "a put is missing before this revision")
		values = append(values, event.Val)
	}
	require.Equal(a.t, after, answer.Revision)
	return values
}

func TestCallsAtDifferentMachinesDoNotMissEachOther(t *testing.T) {
	app := newApplication(t, newTestCluster(t))
	for index := range clusterSize {
		lock, group := fmt.Sprintf("l%d", index), fmt.Sprintf("g%d.", index)
		one, two, three := index, (index+1)%clusterSize, (index+2)%clusterSize

		status, first := app.begin(one, lock, "a")
		require.Equal(t, 200, status)
		status, _ = app.begin(two, lock, "b")
		require.Equal(t, 409, status)
		require.Equal(t, 200, app.renew(three, lock, "a", first))
		require.Equal(t, 409, app.renew(one, lock, "b", first))
		app.finish(two, lock, "a", first)
		status, second := app.begin(three, lock, "b")
		require.Equal(t, 200, status)
		require.Greater(t, second, first)
		app.finish(one, lock, "a", first)
		require.Equal(t, 200, app.renew(two, lock, "b", second), "a late release with an earlier fence must not end the hold")

		before := float64(0)
		for machine := range clusterSize {
			next := app.number(machine, "n"+strconv.Itoa(index))
			require.Greater(t, next, before)
			before = next
		}

		status, revision := app.put(one, group+"k", "v1", 0)
		require.Equal(t, 200, status)
		status, repeated := app.put(two, group+"k", "v1", 0)
		require.Equal(t, 200, status)
		require.Equal(t, revision, repeated, "a repeated put returns the same revision")
		status, present := app.put(three, group+"k", "v2", 0)
		require.Equal(t, 412, status)
		require.Equal(t, revision, present)
		app.requireKey(two, group+"k", "v1", revision)
		status, _ = app.call(three, "GET", "/api/cells/"+group+"absent/read", "")
		require.Equal(t, 404, status)
		status, later := app.put(three, group+"other", "v3", 0)
		require.Equal(t, 200, status)
		require.Equal(t, revision+1, later)
		require.Equal(t, []string{"v3"}, app.watch(one, group, revision))
	}
}

// acknowledged records the results that an application has received, which must still hold later.
type acknowledged struct {
	fence    uint64
	number   float64
	revision uint64
}

// callAll makes one call of each kind at a machine.
func (a *application) callAll(machine int) acknowledged {
	a.t.Helper()
	status, fence := a.begin(machine, "l", "a")
	require.Equal(a.t, 200, status)
	status, revision := a.put(machine, "g.k", "v1", 0)
	require.Equal(a.t, 200, status)
	return acknowledged{fence: fence, number: a.number(machine, "n"), revision: revision}
}

// requireFound checks at a machine that everything acknowledged is there.
func (a *application) requireFound(machine int, before acknowledged) {
	a.t.Helper()
	status, _ := a.begin(machine, "l", "b")
	require.Equal(a.t, 409, status, "the lock is held for a minute")
	require.Equal(a.t, 200, a.renew(machine, "l", "a", before.fence))
	require.Greater(a.t, a.number(machine, "n"), before.number)
	a.requireKey(machine, "g.k", "v1", before.revision)
	status, revision := a.put(machine, "g.k", "v1", 0)
	require.Equal(a.t, 200, status)
	require.Equal(a.t, before.revision, revision)
}

func TestLossOfAnyMachineLosesNothingAcknowledged(t *testing.T) {
	for index := range clusterSize {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			app := newApplication(t, cluster)
			before := app.callAll(index)
			cluster.machines[index].stop()
			began := time.Now()
			app.requireFound((index+1)%clusterSize, before)
			t.Logf("everything acknowledged was found after %v", time.Since(began))
			app.requireFound((index+2)%clusterSize, before)
		})
	}
}

func TestRestartOfAllMachinesLosesNothingAcknowledged(t *testing.T) {
	cluster := newTestCluster(t)
	app := newApplication(t, cluster)
	before := app.callAll(0)
	for _, machine := range cluster.machines {
		machine.stop()
	}
	for _, machine := range cluster.machines {
		machine.settings.Bootstrap = false
		cluster.start(machine)
	}
	for machine := range clusterSize {
		app.requireFound(machine, before)
	}
}

func TestMachineThatLostItsDiskDoesNotVoteWithoutTheRegisters(t *testing.T) {
	cluster := newTestCluster(t)
	app := newApplication(t, cluster)
	before := app.callAll(0)
	wiped := cluster.machines[1]
	wiped.stop()
	wiped.settings.StateDir = t.TempDir()
	wiped.settings.Bootstrap = false
	cluster.start(wiped)
	require.Eventually(t, func() bool {
		status := wiped.node.Status()
		epoch := status.View.GetVotersEpoch()
		votes := false
		for _, voter := range status.View.GetVoters() {
			votes = votes || voter.GetIdentity() == status.Self.GetIdentity()
		}
		return votes && wiped.node.CoordinationStatus().Epoch == epoch
	}, applicationTimeout, 10*time.Millisecond)
	cluster.machines[0].stop()
	app.requireFound(1, before)
	app.requireFound(2, before)
}

func TestWatchMissesNoPutAcrossAChangeOfProposer(t *testing.T) {
	for index := range clusterSize {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			app := newApplication(t, cluster)
			watcher, writer := (index+1)%clusterSize, (index+2)%clusterSize
			status, revision := app.put(writer, "g.k", "v1", 0)
			require.Equal(t, 200, status)
			seen := make(chan []string, 1)
			go func() {
				defer close(seen)
				seen <- app.watch(watcher, "g.", revision)
			}()
			require.Eventually(t, func() bool {
				return cluster.machines[watcher].node.CoordinationStatus().Watches == 1
			}, applicationTimeout, 10*time.Millisecond)
			cluster.machines[index].stop() // in one of the subtests it is the proposer of the group
			status, _ = app.put(writer, "g.k", "v2", revision)
			require.Equal(t, 200, status)
			require.Equal(t, []string{"v2"}, <-seen)
			app.requireKey(watcher, "g.k", "v2", revision+1)
		})
	}
}
