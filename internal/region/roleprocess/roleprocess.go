// Package roleprocess runs the processes of the regional system. Every process reads its settings, sets the limits of
// the Go runtime accordingly, logs to standard error and runs its role until SIGTERM.
package roleprocess

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/region/runtimelimits"
	"fieldrelay/internal/region/settings"
)

// Role is the work of a process. It returns when ctx ends.
type Role func(ctx context.Context, initial *settings.Settings, logger *zap.Logger) error

// Run reads the settings, sets the limits of the Go runtime and runs a role until SIGTERM or an interrupt.
func Run(run Role) error {
	// SIGHUP reloads the settings. Until the role handles it, it must not end the process: the settings are read now
	// anyway.
	signal.Ignore(syscall.SIGHUP)
	path, err := settings.Path()
	if err != nil {
		return err
	}
	initial, err := settings.Load(path)
	if err != nil {
		return err
	}
	runtimelimits.Apply(int(initial.Limits.MemoryMB))
	logger, err := newLogger()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, initial, logger)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger() (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.OutputPaths = []string{"stderr"}
	config.ErrorOutputPaths = []string{"stderr"}
	logger, err := config.Build()
	return logger, errors.Wrap(err, "create the logger")
}
