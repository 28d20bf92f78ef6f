package main

import (
	"context"
	"os"

	"fieldrelay/internal/status"
)

// statusCommand shows what the control machines know.
type statusCommand struct {
	Address string `arg:"" help:"Peer port of any control machine, ip:port: the first port of its port-range."`
	JSON    bool   `name:"json" help:"Write JSON, for programs."`
	Only    bool   `help:"Ask this machine only, not the other voters of its view."`
}

// Run asks and prints. The exit code tells only whether the named machine answered.
func (c statusCommand) Run() error {
	survey, err := c.survey(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return survey.WriteJSON(os.Stdout)
	}
	return survey.WriteText(os.Stdout)
}

func (c statusCommand) survey(ctx context.Context) (*status.Survey, error) {
	asker := status.NewSurveyor()
	if c.Only {
		return asker.SurveyOne(ctx, c.Address)
	}
	return asker.Survey(ctx, c.Address)
}
