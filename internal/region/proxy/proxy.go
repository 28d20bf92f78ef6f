// Package proxy is the data plane of an edge machine: it accepts clients' requests, forwards each to a server of its
// route's service, and returns the response.
//
// It guarantees that a request is not run more often than its route allows, and that a client can't mistake an incomplete
// response, or the response to another request, for its own complete response. A request is read completely before it is
// sent to a server. The result of each attempt at a server is recorded in one place, attemptLog, which alone decides
// whether the request may be sent to another server, and which status the proxy responds with when no server's response
// can be forwarded.
//
// The package decides neither which server gets a request (package placement) nor what a configuration means (package
// route), and it persists nothing. The agent on the same machine delivers the configuration and the server list over
// loopback (configStream); they form one immutable snapshot. Without the agent, the proxy continues with the last snapshot.
//
// A request passes through clientListener, handler, exchange (one request), attempt (one server) and upstream.Conn.
// docs/region/proxy.md describes the proxy for operators, docs/region/rules.md the rules that it keeps, and
// docs/design/regional.md the design.
package proxy

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/settings"
)

// Options override parts of the settings. The zero value overrides nothing.
type Options struct {
	// ConfigStreamAddress is the address (ip:port) at which the agent calls the proxy. If empty, it is the loopback port
	// of the settings.
	ConfigStreamAddress string
	// Disabled are the mechanisms of the policy that are disabled in addition to those disabled in the settings.
	Disabled policy.Switches
}

// Run serves until the context is canceled or SIGTERM or SIGINT is received, and then shuts down gracefully within
// bounds.grace-s. SIGHUP reloads the settings. Run returns an error only if the proxy can't start.
func Run(ctx context.Context, configured *settings.Settings, logger *zap.Logger, options Options) error {
	terminate, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	p := newProcess(configured, logger, options)
	if err := p.start(configured); err != nil {
		p.stop()
		return err
	}
	logger.Info("proxy started", zap.String("address", configured.Binds.Edge), zap.Stringer("disabled", p.disabled))
	p.serve(terminate.Done(), reload)
	p.drain()
	p.stop()
	logger.Info("proxy stopped", p.counterFields()...)
	return nil
}
