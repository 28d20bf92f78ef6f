// Command fieldrelayctl is the command line of fieldrelay: fieldrelay executes
// it and passes on its arguments. It is a separate program because an argument
// parser would permanently occupy a tenth of the sidecar's memory of 24 MB.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/versionskew"
)

// Exit codes.
const (
	exitFault = 1 // the configuration is faulty, the daemon failed or a command failed
	exitUsage = 2 // the arguments are invalid
)

// operatorEnv is the environment variable that names the operator's file if --operator is absent.
const operatorEnv = "FIELDRELAY_OPERATOR"

// cli defines the commands and flags for kong.
type cli struct {
	Operator string     `help:"The operator's own file." placeholder:"FILE" env:"FIELDRELAY_OPERATOR"`
	Run      runCmd     `cmd:"" default:"1" help:"Serve, in the foreground. The command where none is named."`
	Check    checkCmd   `cmd:"" help:"Read config.json and the operator's file, and name every fault with its place."`
	Config   configCmd  `cmd:"" help:"Print the settings that would be in force, and where each comes from."`
	Fleet    fleetCmd   `cmd:"" help:"Ask the running sidecar for the members of its fleet, as a table."`
	Quotas   queryCmd   `cmd:"" help:"Ask it for the limits of the fleet, as a table."`
	Verdicts queryCmd   `cmd:"" help:"Ask it for what the fleet says of execute nodes, as a table."`
	Version  versionCmd `cmd:"" help:"Print the program's version."`
}

const description = `The sidecar of a till process: it takes gift-card requests and places each on a balance server.

LB_CONFIG names config.json, the platform's file; LB_NAME, LB_LISTEN and LB_DISCOVERY come before its keys.

Examples:
  LB_CONFIG=config.json fieldrelay
  fieldrelay check --operator deploy/operator.toml
  fieldrelay config --json

Exit codes: 0 done, 1 a faulty configuration or a daemon that failed, 2 arguments that are not understood.`

func main() {
	os.Exit(command(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// command parses and runs a command line and returns the exit code.
func command(args []string, getenv func(string) string, out, errs io.Writer) int {
	var c cli
	ended := -1                                                                       // exit code set by a flag such as --help; -1: none
	printError := func(fault any) { _, _ = fmt.Fprintln(errs, "fieldrelay:", fault) } // a write error on standard error cannot be reported
	parser, err := kong.New(&c, kong.Name("fieldrelay"), kong.Description(description), kong.Writers(out, errs),
		kong.Exit(func(code int) { ended = code }), kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}))
	if err != nil {
		printError(err)
		return exitFault
	}
	ctx, err := parser.Parse(args)
	if ended >= 0 {
		return ended
	}
	if err != nil {
		printError(fmt.Errorf("%w; see fieldrelay --help", err))
		return exitUsage
	}
	if err := ctx.Run(&environment{getenv: getenv, operator: c.Operator, out: out, errs: errs}); err != nil {
		if faults := (config.FaultsError)(nil); errors.As(err, &faults) {
			for _, f := range faults {
				printError(f)
			}
		} else {
			printError(err)
		}
		return exitFault
	}
	return 0
}

// environment holds the inputs and output streams of a command.
type environment struct {
	getenv    func(string) string
	operator  string // path of the operator's file; empty: none
	out, errs io.Writer
}

type runCmd struct{}

// Run replaces the process by the daemon. The daemon takes no arguments, so the path of the operator's file is passed
// in the environment.
func (runCmd) Run(w *environment) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	env := os.Environ()
	if w.operator != "" { // of several entries for one variable, the last one takes effect
		env = append(env, operatorEnv+"="+w.operator)
	}
	daemon := filepath.Join(filepath.Dir(self), "fieldrelay")
	return fmt.Errorf("%s: %w", daemon, syscall.Exec(daemon, []string{daemon}, env))
}

type checkCmd struct{}

// Run reads all configuration files and returns their faults as the error. If there are none, it prints the number of
// settings and the bounds that follow from them.
func (checkCmd) Run(w *environment) error {
	cfg, err := config.Load(w.getenv, w.operator)
	if err != nil {
		return err
	}
	if r := cfg.Operator.Rules; r.On {
		_, err := versionskew.Configure(r)
		if r.File != "" {
			_, err2 := versionskew.ReadFile(r.File)
			err = errors.Join(err, err2)
		}
		if err != nil {
			return err
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "no fault in %d settings\n", len(cfg.Shown()))
	if s := cfg.Operator.Fleet; s.Enabled() {
		for _, line := range s.Bounds() {
			fmt.Fprintln(&text, line)
		}
		for _, q := range cfg.Operator.Quota {
			fmt.Fprintln(&text, q.Bound())
		}
		if r := cfg.Operator.Rules; r.On {
			for _, line := range versionskew.Bounds(s.LeaseTime(), s.DriftFraction()) {
				fmt.Fprintln(&text, line)
			}
		}
	}
	_, err = io.WriteString(w.out, text.String())
	return err
}

type configCmd struct {
	JSON bool `help:"One JSON list in place of a table." name:"json"`
}

// Run prints the effective settings and the origin of each.
func (c configCmd) Run(w *environment) error {
	cfg, err := config.Load(w.getenv, w.operator)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(w.out)
		enc.SetIndent("", " ")
		return enc.Encode(cfg.Shown())
	}
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	for _, s := range cfg.Shown() {
		fmt.Fprintf(table, "%s\t%v\t%s\n", s.Key, s.Value, s.From)
	}
	return table.Flush()
}

type versionCmd struct{}

// Run prints the version, the revision, the version of the operator's file format and the Go version.
func (versionCmd) Run(w *environment) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(w.out, "fieldrelay %s, revision %s, operator's file version %d, %s\n",
		version, revision, config.OperatorVersion, runtime.Version())
	return err
}
