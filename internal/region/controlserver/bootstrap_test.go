package controlserver

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"fieldrelay/internal/region/settings"
)

// singleMachineSettings returns the settings of a single control machine, which is its own seed.
func singleMachineSettings(folder string) *settings.Settings {
	own := servingSettings()
	own.Seeds = []string{own.Binds.Control}
	own.Bootstrap = true
	own.QuorumMember = true
	own.StateDir = folder
	return own
}

// startProcess starts a control process with a real node and returns the address of its operator's API, and a function
// that shuts the process down.
func startProcess(t *testing.T, own *settings.Settings) (address string, end func()) {
	t.Helper()
	p := newProcess(newSettingsWatcher("", own, zap.NewNop()), zap.NewNop(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	node, err := p.startNode(ctx)
	require.NoError(t, err)
	p.attach(node)
	servers, err := p.listenAll(ctx)
	require.NoError(t, err)
	for _, one := range servers {
		go func() { _ = one.Serve() }()
		if opened := one.listener.Addr().String(); strings.HasPrefix(opened, "127.0.0.2:") {
			address = opened
		}
	}
	return address, func() {
		p.shutDown(servers, cancel)
	}
}

// requestUntilOK repeats a request until the response has status 200, as the operator does, and returns the response's
// body.
func requestUntilOK(t *testing.T, method, url, base, body string) string {
	t.Helper()
	var answer string
	require.Eventually(t, func() bool {
		status, got := request(t, method, url, base, body)
		answer = got
		return status == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond, "%s %s", method, url)
	return answer
}

func TestAMachineFoundsAloneAndKeepsAConfiguration(t *testing.T) {
	folder := t.TempDir()
	address, end := startProcess(t, singleMachineSettings(folder))
	sent := configuration(7, 5)
	requestUntilOK(t, "POST", "http://"+address+"/api/conf/replace", "0", sent)
	requestUntilOK(t, "POST", "http://"+address+"/api/conf/replace", "0", sent)
	require.JSONEq(t, sent, requestUntilOK(t, "GET", "http://"+address+"/api/conf/read", "", ""))
	status, body := request(t, "POST", "http://"+address+"/api/conf/replace", "0", configuration(9, 1))
	require.Equal(t, http.StatusPreconditionFailed, status)
	require.Contains(t, body, `"wrong_base"`)
	requestUntilOK(t, "POST", "http://"+address+"/api/drain/brno-hala/begin", "", "")
	end()

	again := singleMachineSettings(folder)
	again.Bootstrap = false
	address, end = startProcess(t, again)
	defer end()
	require.JSONEq(t, sent, requestUntilOK(t, "GET", "http://"+address+"/api/conf/read", "", ""))
}
