// Package agent is the process that runs beside each proxy of the regional system. It keeps a replica of the control
// state and of the server list, learns the edge machines among which quotas are shared, and brings the proxy up to date
// over the loopback interface. Updates reach it by a long poll to one control machine at a time and by gossip with
// other agents, so that a proxy is brought up to date as long as its agent reaches any of them.
//
// The package promises that the sequence of the replica never falls, that a proxy is never sent state older than it has
// reported, and that a state is confirmed to a proxy only after a control machine with authority has said, to a
// request sent since that proxy process was first observed, that it has nothing newer.
//
// It is not the service discovery, takes no decisions on requests, has no disk, and agrees on nothing: a restarted
// agent begins with the addresses of the control machines alone.
//
// One goroutine owns the state ([core]), a state machine without I/O apart from the log. Calls and the service to other
// agents run beside it and exchange events and actions with it over one bounded queue ([process]).
//
// The design is described in docs/design/regional.md, the time that a change takes in docs/region/config-delivery.md, and
// the log and the counters in docs/region/agent.md.
package agent

import (
	"context"
	"net"

	"go.uber.org/zap"

	"fieldrelay/internal/region/settings"
)

// Ports of a machine, counted from the first of its port range.
const (
	peerPort      = 1 // the agents' service
	proxyLinkPort = 2 // the proxy's service to its agent, on the loopback interface
)

// Options replace what an agent takes from its settings. The zero value replaces nothing.
type Options struct {
	// Proxy is the host and port of the proxy's service to its agent.
	Proxy string
	// Listener accepts calls of other agents. Its address is advertised to them.
	Listener net.Listener
	// LinkAddress returns the address of the link service of the control machine that a seed names.
	LinkAddress func(seed string) (string, error)
	// Dial opens connections to control machines, other agents and the proxy, as [net.Dialer.DialContext] does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SettingsPath is the settings file whose changes are followed; empty if there is none.
	SettingsPath string
}

// Run runs an agent until it has shut down. Shutdown begins when ctx is done: control is notified at once, and the
// proxy is served until it has ended or the grace period of the settings is nearly over. The error is nil after a
// shutdown; otherwise it says why the agent couldn't start or why its service to other agents failed.
func Run(ctx context.Context, config *settings.Settings, logger *zap.Logger) error {
	path, err := settings.Path()
	if err != nil {
		path = "" // the settings come from elsewhere, and no file is followed
	}
	return RunWith(ctx, config, logger, Options{SettingsPath: path})
}

// RunWith is [Run] with options.
func RunWith(ctx context.Context, config *settings.Settings, logger *zap.Logger, options Options) error {
	options, err := options.withDefaults(ctx, config)
	if err != nil {
		return err
	}
	return newProcess(config, logger, options).run(ctx)
}

// withDefaults fills in what the options leave to the settings.
func (o Options) withDefaults(ctx context.Context, config *settings.Settings) (Options, error) {
	if o.Proxy == "" {
		o.Proxy = config.LoopbackPort(proxyLinkPort)
	}
	if o.LinkAddress == nil {
		o.LinkAddress = linkAddress(config.PortRange[0])
	}
	if o.Listener == nil {
		listener, err := listen(ctx, config.Port(peerPort))
		if err != nil {
			return o, err
		}
		o.Listener = listener
	}
	return o, nil
}
