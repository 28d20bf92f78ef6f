package controlserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fieldrelay/internal/region/settings"
)

// Guards against a shutdown that ends the node or the peer port too early: the other machines need both until they have
// agreed on a view without this machine.
func TestNodeRunsUntilTheOthersGoOnWithoutIt(t *testing.T) {
	p, node := newTestProcess(t)
	node.leaving = make(chan struct{})
	p.settings.current.Store(servingSettings())
	servers, err := p.listenAll(t.Context())
	require.NoError(t, err)
	closed := make(map[bool]chan struct{})
	for _, one := range servers {
		if closed[one.peers] == nil {
			closed[one.peers] = make(chan struct{}, len(servers))
		}
		go func() {
			_ = one.Serve()
			closed[one.peers] <- struct{}{}
		}()
	}
	stopped := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		p.shutDown(servers, func() { close(stopped) })
		close(ended)
	}()
	<-closed[false]
	<-closed[false]
	require.Eventually(t, func() bool { return node.left.Load() == 1 }, 5*time.Second, time.Millisecond)
	select {
	case <-stopped:
		require.Fail(t, "the node was stopped before it had left")
	case <-closed[true]:
		require.Fail(t, "the peer port was closed before the node had left")
	default:
	}
	close(node.leaving)
	<-ended
	<-stopped
	<-closed[true]
}

// system is a number of control processes that bootstrap a system together.
type system struct {
	t         *testing.T
	machines  []*settings.Settings
	addresses []string // addresses of the operator's APIs
	ends      []context.CancelFunc
	ended     []chan error
	lines     []*observer.ObservedLogs
}

// newSystem runs control processes at different loopback addresses, all with the same peer port as on separate hosts.
func newSystem(t *testing.T, size int) *system {
	s := &system{t: t}
	port := freePort(t)
	zones := make(map[string]string)
	for index := range size {
		zones[fmt.Sprintf("zone-%d", index)] = "region"
		s.addresses = append(s.addresses, fmt.Sprintf("127.0.1.%d:%d", index+1, port+1))
	}
	for index := range size {
		own := testSettings()
		own.Hostname = fmt.Sprintf("control-%d", index)
		own.Address = fmt.Sprintf("127.0.1.%d", index+1)
		own.Zone = fmt.Sprintf("zone-%d", index)
		own.Zones = zones
		own.PortRange = []int{port, port + 2}
		own.Binds = settings.Binds{Control: s.addresses[index]}
		own.Seeds = s.addresses
		own.Bootstrap = true
		own.QuorumMember = true
		own.StateDir = filepath.Join(t.TempDir(), own.Hostname)
		own.FaultBudget = settings.FaultBudget{Hosts: 1, Zones: 1}
		s.machines = append(s.machines, own)
		s.start(index)
	}
	for index := range size {
		require.Eventually(t, func() bool {
			return s.lines[index].FilterMessage("authority changed").Len() > 0
		}, 10*time.Second, 10*time.Millisecond)
	}
	return s
}

// freePort returns a port that is free at a loopback address. The next port, and the ports at the other addresses of a
// system, are expected to be free as well.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.1.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().(*net.TCPAddr).Port
}

func (s *system) start(index int) {
	core, lines := observer.New(zap.InfoLevel)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	own := *s.machines[index]
	go func() { ended <- Run(ctx, &own, zap.New(core)) }()
	s.t.Cleanup(end)
	s.ends = append(s.ends, end)
	s.ended = append(s.ended, ended)
	s.lines = append(s.lines, lines)
}

// TestRunLeavesWhenItIsToldToEnd guards against a process that ends without leaving the system. It ends one of three
// processes, as SIGTERM does: before the process has ended, the others must have a view without it, and they must
// accept an order.
func TestRunLeavesWhenItIsToldToEnd(t *testing.T) {
	t.Setenv(settings.PathVariable, filepath.Join(t.TempDir(), "none"))
	s := newSystem(t, 3)
	requestUntilOK(t, "POST", "http://"+s.addresses[0]+"/api/conf/replace", "0", configuration(7, 5))
	s.ends[0]()
	require.NoError(t, <-s.ended[0])
	leaves := s.lines[0].FilterMessage("leave finished")
	require.Equal(t, 1, leaves.Len())
	require.Equal(t, true, leaves.All()[0].ContextMap()["agreed"])
	require.NotContains(t, s.lastChain(1), "control-0")
	requestUntilOK(t, "POST", "http://"+s.addresses[1]+"/api/conf/replace", "7", configuration(8, 5))
	status, _ := request(t, http.MethodGet, "http://"+s.addresses[2]+"/api/conf/read", "", "")
	require.Equal(t, http.StatusOK, status)
	require.Zero(t, s.lines[1].FilterMessage("leave finished").Len())
}

// lastChain returns the hosts in the chain of the last view that a machine has logged.
func (s *system) lastChain(index int) string {
	views := s.lines[index].FilterMessage("view").All()
	require.NotEmpty(s.t, views)
	chain, _ := views[len(views)-1].ContextMap()["chain"].([]any)
	var hosts []string
	for _, host := range chain {
		hosts = append(hosts, fmt.Sprint(host))
	}
	return strings.Join(hosts, " ")
}
