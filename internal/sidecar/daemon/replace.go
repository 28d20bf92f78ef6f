package daemon

import (
	"context"
	"net"
	"os"

	"fieldrelay/internal/sidecar/handover"
)

// replacement is the result of starting a new process.
type replacement struct {
	pid int
	err error
}

// replace starts a new process from the present executable file and passes it the listeners.
func (d *daemon) replace(listeners map[string]net.Listener) {
	options := &d.running.Operator.Replace
	if !options.Enabled || d.replacing {
		d.log.Warn().Bool("enabled", options.Enabled).Bool("under way", d.replacing).Msg("replacement not started")
		return
	}
	binary, err := os.Executable()
	if err != nil {
		d.log.Error().Err(err).Msg("replacement not started")
		return
	}
	binary = successor(binary)
	d.replacing = true
	timeout := options.Timeout()
	d.log.Info().Str("binary", binary).Dur("timeout", timeout).Msg("replacement started")
	ctx, cancel := context.WithCancel(context.Background())
	d.cancelReplacement = cancel
	go func() {
		defer cancel()
		pid, err := handover.Start(ctx, binary, nil, listeners, timeout)
		d.replaced <- replacement{pid, err}
	}()
}

// endReplacement cancels the start of a new process that is in progress: this process is terminating, and its requests must
// be answered before it is killed, which leaves no time to wait. It reports whether the new process took over nevertheless.
func (d *daemon) endReplacement() bool {
	if !d.replacing {
		return false
	}
	d.cancelReplacement()
	d.reloadPending = false
	return d.replacedBy(<-d.replaced)
}

// replacedBy handles the result of a replacement. It reports whether the new process has taken over.
func (d *daemon) replacedBy(r replacement) bool {
	d.replacing = false
	if r.err == nil {
		d.log.Info().Int("pid", r.pid).Msg("replaced")
		return true
	}
	d.log.Error().Err(r.err).Msg("replacement failed, this process continues to serve")
	if d.reloadPending {
		d.reloadPending = false
		d.reload()
	}
	return false
}
