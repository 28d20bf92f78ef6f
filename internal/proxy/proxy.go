// Package proxy is the data plane of an edge machine: it takes the requests of clients, passes each to a
// server of its route's service and the answer back, as the rules of the deployment ask.
//
// A request is read whole before anything is decided. What became of it at each server is written down in
// one place, the ledger, and only the ledger says whether it may go to another server and which answer is
// true when none of a server's can be passed on. All that the proxy serves by comes from the agent beside it
// over loopback and is held as one immutable snapshot; without the agent it serves on by the last one.
package proxy

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"fieldrelay/internal/policy"
	"fieldrelay/internal/settings"
)

// Options replace what a proxy takes from its settings. The zero value replaces nothing.
type Options struct {
	// Feed is the address, ip:port, at which the agent feeds the proxy.
	Feed string
	// Off are mechanisms that are switched off beside those of the settings.
	Off policy.Switches
}

// Run serves until the context or SIGTERM ends it, and returns when the requests that it took are answered or
// the grace period is nearly over. It returns an error only if it can't start.
func Run(ctx context.Context, configured *settings.Settings, logger *zap.Logger) error {
	return RunWith(ctx, configured, logger, Options{})
}

// RunWith is Run with options.
func RunWith(ctx context.Context, configured *settings.Settings, logger *zap.Logger, options Options) error {
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
	logger.Info("proxy started", zap.String("edge", configured.Binds.Edge), zap.Stringer("off", p.disabled))
	p.serve(terminate.Done(), reload)
	p.drain()
	p.stop()
	logger.Info("proxy ended", p.counterFields()...)
	return nil
}
