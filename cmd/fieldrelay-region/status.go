package main

import (
	"context"
	"os"

	"fieldrelay/internal/region/status"
)

// statusCommand shows the status of the control machines.
type statusCommand struct {
	Address string `arg:"" help:"Peer port of any control machine, ip:port: the first port of its port-range."`
	JSON    bool   `name:"json" help:"Write JSON, for programs."`
	Only    bool   `help:"Ask this machine only, not the other voters of its view."`
}

// Run queries the control machines and prints the result. It returns an error only if the machine at Address does not
// answer or the output cannot be written.
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

// survey queries the machines that the arguments select.
func (c statusCommand) survey(ctx context.Context) (*status.Survey, error) {
	surveyor := status.NewSurveyor()
	if c.Only {
		return surveyor.SurveyOne(ctx, c.Address)
	}
	return surveyor.Survey(ctx, c.Address)
}
