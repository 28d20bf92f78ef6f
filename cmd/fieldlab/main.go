// Command fieldlab evaluates fieldrelay: it emulates placement policies and fleets
// in simulated time, at sizes that real sockets do not reach, and injects faults
// into fleets of real processes.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"fieldrelay/internal/testkit/emulate"
)

// cli defines the commands for kong.
type cli struct {
	Emulate emulateCmd `cmd:"" help:"Run a scenario in simulated time, with the decision module or another policy."`
	Chaos   chaosCmd   `cmd:"" help:"Run a fleet of real sidecars, inject faults between and into them, and judge the history."`
	Peers   peersCmd   `cmd:"" help:"Measure how soon real sidecars know of a crash, and what knowing each other costs."`
	Storm   stormCmd   `cmd:"" help:"Play drawn faults against the members' machines in simulated time, and judge their views."`
}

type emulateCmd struct {
	Scenario string   `arg:"" help:"TOML file of the scenario." type:"existingfile"`
	Seed     uint64   `help:"Of all that is drawn." default:"1"`
	Policy   []string `help:"One or more of ${policies}, or all." default:"module"`
	JSON     string   `help:"Write the results here, one JSON line a policy; - is standard output." name:"json" placeholder:"FILE"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("fieldlab"), kong.Vars{"policies": fmt.Sprint(emulate.Policies())},
		kong.Description("The lab of fieldrelay.\n\nExample:\n  fieldlab emulate example/lab/rough.toml --policy all --seed 3"))
	err := ctx.Run()
	if errors.Is(err, errRunFailed) { // the command has already printed what failed
		os.Exit(1)
	}
	ctx.FatalIfErrorf(err)
}

// Run emulates the scenario under each policy, prints a table of the results to standard error and writes them as JSON if
// the user asks for it.
func (c *emulateCmd) Run() (err error) {
	s, err := emulate.Read(c.Scenario)
	if err != nil {
		return err
	}
	policies := c.Policy
	if len(policies) == 1 && policies[0] == "all" {
		policies = emulate.Policies()
	}
	out := io.Discard
	switch c.JSON {
	case "":
	case "-":
		out = os.Stdout
	default:
		file, openErr := os.Create(c.JSON)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = file
	}
	table := tabwriter.NewWriter(os.Stderr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tclass\tasked\tserved\tin aim\trefused\tfailed\tmean ms\tp50\tp99\tworth\tbroken rules\trequests/s\t")
	for _, policy := range policies {
		start := time.Now()
		r, err := emulate.Run(s, policy, c.Seed)
		if err != nil {
			return err
		}
		took := time.Since(start).Seconds()
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
		for i, k := range r.Classes {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%.2f\t%.2f\t", policy, k.Name, k.Requests, fraction(k.Served, k.Requests),
				fraction(k.InTime, k.Requests), fraction(k.Refused, k.Requests), fraction(k.Failed+k.Unanswered, k.Requests), k.MeanMs, k.P50Ms, k.P99Ms)
			if i == 0 {
				fmt.Fprintf(table, "%.4f\t%v\t%.0f\t", r.Value, r.Broken, float64(r.Attempts)/took)
			} else {
				fmt.Fprint(table, "\t\t\t")
			}
			fmt.Fprintln(table)
		}
	}
	return table.Flush()
}

// fraction returns part/of, or 0 if of is 0.
func fraction(part, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}
