// Command hollow measures how the control plane of the regional system grows, with many real agents beside
// hollow proxies; see package hollow. It prints one line for each phase of a trial.
//
//	hollow trial --binary target/fieldrelay-region --folder FOLDER --agents 390
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"fieldrelay/internal/hollow"
	"fieldrelay/internal/runtimelimits"
)

// commands of the program.
type commands struct {
	Trial  trialCommand  `cmd:"" help:"Play a trial and print what it cost."`
	Worker workerCommand `cmd:"" hidden:"" help:"Run a part of a trial's agents."`
}

type trialCommand struct {
	hollow.Trial `embed:""`
}

type workerCommand struct {
	hollow.Worker `embed:""`
}

// Run plays a trial.
func (c *trialCommand) Run(ctx context.Context) error { return c.Trial.Run(ctx, os.Stdout) }

// Run runs agents until it is told to end.
func (c *workerCommand) Run(ctx context.Context) error {
	runtimelimits.Apply(0)
	return c.Worker.Run(ctx)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&commands{}, kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}
