// Command fieldrelay-region runs one process of the regional system: a control machine, an agent or a proxy. It
// also checks settings, configurations and state folders, and shows the status of control machines.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/region/agent"
	"fieldrelay/internal/region/controlserver"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy"
	"fieldrelay/internal/region/roleprocess"
	"fieldrelay/internal/region/settings"
)

// commandLine defines the commands and flags for kong.
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
		helpVariables(),
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

// helpVariables returns the values of the variables in the help texts.
func helpVariables() kong.Vars {
	return kong.Vars{"version": version(), "mechanisms": strings.Join(policy.Names(), ", ")}
}

// version returns the module's version and the commit that the program was built from, if the build
// information contains them.
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

type proxyCommand struct {
	Off []string `help:"Mechanisms of the policy to switch off, beside those of the settings: ${mechanisms}." placeholder:"NAME,..."`
}

// Run runs the proxy until it has received SIGTERM and has drained.
func (c *proxyCommand) Run() error {
	off, err := policy.Parse(c.Off)
	if err != nil {
		return err
	}
	return roleprocess.Run(func(ctx context.Context, initial *settings.Settings, logger *zap.Logger) error {
		return proxy.Run(ctx, initial, logger, proxy.Options{Disabled: off})
	})
}

type agentCommand struct{}

// Run runs the agent until it has received SIGTERM and the proxy on the same machine has ended.
func (agentCommand) Run() error { return roleprocess.Run(agent.Run) }

type controlCommand struct{}

// Run runs the control machine until it has received SIGTERM and has shut down.
func (controlCommand) Run() error { return roleprocess.Run(controlserver.Run) }
