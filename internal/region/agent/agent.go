// Package agent implements the process that runs next to each proxy of the regional system. The agent keeps a replica
// of the control state and of the server list, tracks the edge machines that share the quotas, and updates the proxy
// over the loopback interface. The agent receives updates through a long poll to one control machine at a time and by
// gossip with other agents, so that the proxy is kept up to date as long as its agent reaches a control machine or
// another agent that is up to date.
//
// The package guarantees that the sequence of the replica never decreases, that a proxy is never sent state older than
// the proxy has reported, and that a state is confirmed to a proxy only after a control machine with authority has
// responded that it has nothing newer, to a request sent after that proxy process was first observed.
//
// The agent does not discover services, does not handle requests, stores nothing on disk and does not take part in
// consensus: a restarted agent knows only the addresses of the control machines.
//
// The state is owned by one goroutine, which runs [core], a state machine without I/O apart from the log. The calls and
// the server for other agents run in goroutines of their own and post events to the core through one bounded queue
// ([process]); the core returns the calls to make as actions.
//
// The design is described in docs/design/regional.md, the time that a change takes in docs/region/config-delivery.md,
// and the log and the counters in docs/region/agent.md.
package agent

import (
	"context"
	"net"

	"go.uber.org/zap"

	"fieldrelay/internal/region/settings"
)

// Ports of a machine, as offsets from the first port of its port range.
const (
	peerPort      = 1 // port of the service of an agent to other agents
	proxyLinkPort = 2 // port of the service of the proxy to its agent, on the loopback interface
)

// Options override what an agent derives from its settings. The zero value overrides nothing.
type Options struct {
	// Proxy is the host and port of the proxy's service to its agent.
	Proxy string
	// Listener accepts the calls of other agents. The address of the listener is advertised to them.
	Listener net.Listener
	// LinkAddress returns the address of the link service of the control machine that a seed names.
	LinkAddress func(seed string) (string, error)
	// Dial opens connections to control machines, other agents and the proxy, as [net.Dialer.DialContext] does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SettingsPath is the settings file that is watched for changes; empty if there is none.
	SettingsPath string
}

// Run runs an agent until it has shut down. The shutdown begins when ctx is done: the agent notifies the control
// machines at once, and keeps updating the proxy until the proxy has exited or the grace period of the settings is
// nearly over. Run returns nil after a shutdown, and an error if the agent could not start or its server for other
// agents failed.
func Run(ctx context.Context, config *settings.Settings, logger *zap.Logger) error {
	path, err := settings.Path()
	if err != nil {
		path = "" // the settings were not read from a file, so there is no file to watch
	}
	return RunWith(ctx, config, logger, Options{SettingsPath: path})
}

// RunWith is like [Run], with options.
func RunWith(ctx context.Context, config *settings.Settings, logger *zap.Logger, options Options) error {
	options, err := options.withDefaults(ctx, config)
	if err != nil {
		return err
	}
	return newProcess(config, logger, options).run(ctx)
}

// withDefaults returns the options with the unset fields derived from the settings.
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
