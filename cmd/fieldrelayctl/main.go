// Command fieldrelayctl is the command line of fieldrelay, which hands its
// arguments to it. It is a program of its own because a parser of arguments
// would take a sidecar of 24 MB a tenth of its memory for good.
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
	exitFault = 1 // a faulty configuration, or a daemon that failed
	exitUsage = 2 // arguments that are not understood
)

// operatorEnv names the operator's file where no argument does.
const operatorEnv = "FIELDRELAY_OPERATOR"

// cli is the command line.
type cli struct {
	Operator string     `help:"The operator's own file." placeholder:"FILE" env:"FIELDRELAY_OPERATOR"`
	Run      runCmd     `cmd:"" default:"1" help:"Serve, in the foreground. The command where none is named."`
	Check    checkCmd   `cmd:"" help:"Read config.json and the operator's file, and name every fault with its place."`
	Config   configCmd  `cmd:"" help:"Print the settings that would be in force, and where each comes from."`
	Fleet    fleetCmd   `cmd:"" help:"Ask the running sidecar for the members of its fleet, as a table."`
	Quotas   queryCmd     `cmd:"" help:"Ask it for the limits of the fleet, as a table."`
	Verdicts queryCmd     `cmd:"" help:"Ask it for what the fleet says of execute nodes, as a table."`
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

// command runs a command line and gives its exit code.
func command(args []string, getenv func(string) string, out, errs io.Writer) int {
	var c cli
	ended := -1                                                                     // by a flag such as --help
	printError := func(fault any) { _, _ = fmt.Fprintln(errs, "fieldrelay:", fault) } // nobody hears of a closed standard error
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

// environment is what a command acts on.
type environment struct {
	getenv    func(string) string
	operator  string // path of the operator's file; "": none
	out, errs io.Writer
}

type runCmd struct{}

// Run becomes the daemon, which takes no arguments: the operator's file goes to it in the environment.
func (runCmd) Run(w *environment) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	env := os.Environ()
	if w.operator != "" { // the last one of a name counts
		env = append(env, operatorEnv+"="+w.operator)
	}
	daemon := filepath.Join(filepath.Dir(self), "fieldrelay")
	return fmt.Errorf("%s: %w", daemon, syscall.Exec(daemon, []string{daemon}, env))
}

type checkCmd struct{}

// Run reads all files; what is wrong with them is the error.
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

// Run prints the settings.
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

// Run prints what the build knows of itself.
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
