// Command fieldrelay-region runs one process of the regional system: a control machine, an agent or a proxy. It
// also checks settings and configuration files.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/agent"
	"fieldrelay/internal/controlserver"
	"fieldrelay/internal/proxy"
	"fieldrelay/internal/runtimelimits"
	"fieldrelay/internal/settings"
)

// commandLine is what the program takes.
type commandLine struct {
	Proxy   proxyCommand     `cmd:"" help:"Run a proxy: it takes clients' requests and passes them on to servers."`
	Agent   agentCommand     `cmd:"" help:"Run an agent: it keeps the link to the control machines and feeds the proxy beside it."`
	Control controlCommand   `cmd:"" help:"Run a control machine: the control state, the operator's API, the directory."`
	Check   checkCommand     `cmd:"" help:"Check a settings file (TOML), a configuration (JSON) or the state folder of a control machine and print every fault."`
	Status  statusCommand    `cmd:"" help:"Ask control machines what they know: view, chain, versions, duties, agents."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var commands commandLine
	parsed := kong.Parse(&commands,
		kong.Name("fieldrelay-region"),
		kong.Description("One process of the regional system. The roles read the settings file that "+
			settings.PathVariable+" names."),
		kong.Vars{"version": version()},
		kong.UsageOnError(),
	)
	if err := parsed.Run(); err != nil {
		var faulty *FaultyFileError
		if !errors.As(err, &faulty) {
			fmt.Fprintln(os.Stderr, "fieldrelay-region:", err)
		}
		os.Exit(1)
	}
}

// version tells the module's version and the commit that the program was built from, as far as known.
func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "fieldrelay-region (unknown build)"
	}
	text := "fieldrelay-region " + info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}

// proxyCommand runs a proxy.
type proxyCommand struct{}

// Run runs it until SIGTERM and its drain.
func (proxyCommand) Run() error { return runRole(proxy.Run) }

// agentCommand runs an agent.
type agentCommand struct{}

// Run runs it until SIGTERM and until the proxy beside it needs it no more.
func (agentCommand) Run() error { return runRole(agent.Run) }

// controlCommand runs a control machine.
type controlCommand struct{}

// Run runs it until SIGTERM.
func (controlCommand) Run() error { return runRole(controlserver.Run) }

// role is the whole work of a process, done when ctx ends.
type role func(ctx context.Context, initial *settings.Settings, logger *zap.Logger) error

// runRole reads the settings, fits the runtime to them and runs a role until SIGTERM.
func runRole(run role) error {
	// A hangup before the role listens for it must not end the process: the settings are read now anyway.
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
	return logger, errors.Wrap(err, "open the log")
}
