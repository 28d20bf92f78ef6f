// Package daemon is the sidecar as a program: wiring and signals. It decides
// nothing.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/config"
	"fieldrelay/internal/fleet/options"
	"fieldrelay/internal/fleet/settings"
	"fieldrelay/internal/quota"
	rules "fieldrelay/internal/skew/settings"
	"fieldrelay/internal/verdict"
	"fieldrelay/logic"
)

// operatorEnv names the operator's file.
const operatorEnv = "FIELDRELAY_OPERATOR"

// What the programs beside this one are called.
const (
	ctlName     = "fieldrelayctl"
	fleetSuffix = "-fleet"
)

// Fleet is this process's part in a fleet of sidecars. Its methods may be called from any goroutine.
type Fleet interface {
	Peers() ([]string, error)       // a line a member
	Figures(prefix string) []string // StatsD lines
	Recover() error                 // the voters begin anew with this process
	SetQuotas(all quota.All)        // the limits of the fleet
	// CheckRules reads the file of rules of new settings; SetRules takes it over and pushes what it says.
	CheckRules(next rules.Settings) error
	SetRules(next rules.Settings)
	Rules() ([]string, error)      // what there is to tell of rules
	SetTenants(all []logic.Tenant) // of the settings
	Quotas() []string              // a line a limit
	// Verdicts has a line for each execute node that is spoken of.
	Verdicts() ([]string, error)
	Outcome(node string, failed bool, took time.Duration) // of a claim
	Listed(nodes []verdict.Node)                          // those that take claims
	// DrainChanged tells that the list has an execute node, by its start, as draining or gone; or no longer so.
	Drains(node string, since time.Duration, drains bool)
	// Say tells the whole fleet that an execute node is suspended, or restored.
	Say(node string, suspended bool) error
	// Admit lets a request through the limits of the fleet, or tells after what time to come again. It does not wait.
	Admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool)
	// BeforeAttempt lets an attempt at an execute node through, or not. done, if there is one, is called once it has ended.
	Claim(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool)
	Set(next settings.Settings) // of which only what is live differs
	Close()                     // leaves: the others are told
	Abandon()                   // ends without a word
}

// StartFleet opens the sockets and joins.
type StartFleet func(o FleetOptions, log zerolog.Logger) (Fleet, error)

// FleetOptions are what a fleet is started with.
type FleetOptions = options.Options

// Main is the program. Without start it has no fleet in it, and becomes the program beside it that has where one is named.
func Main(start StartFleet) {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	if len(os.Args) > 1 {
		fmt.Fprintln(os.Stderr, "fieldrelay:", execSibling(func(string) string { return ctlName }, os.Args[1:]))
		os.Exit(1)
	}
	if start == nil && config.NamesFleet(os.Getenv(operatorEnv)) {
		fmt.Fprintln(os.Stderr, "fieldrelay: fleet:", execSibling(func(self string) string { return self + fleetSuffix }, nil))
		os.Exit(1)
	}
	if err := run(os.Getenv, os.Stderr, start); err != nil {
		printError(os.Stderr, err)
		os.Exit(1)
	}
}

// become turns this process into a program beside it. It returns only if that cannot be.
func execSibling(name func(self string) string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	other := filepath.Join(filepath.Dir(self), name(filepath.Base(self)))
	return fmt.Errorf("%s: %w", other, syscall.Exec(other, append([]string{other}, args...), os.Environ()))
}

// successor is the program that replaces this one: it reads the operator's file anew.
func successor(self string) string {
	// The file may have been replaced: what the system then calls the old one is no path.
	return strings.TrimSuffix(strings.TrimSuffix(self, " (deleted)"), fleetSuffix)
}

// tell writes a line for an error, or for each fault of a configuration.
func printError(w io.Writer, err error) {
	if faults := (config.Faults)(nil); errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintln(w, "fieldrelay:", f)
		}
		return
	}
	fmt.Fprintln(w, "fieldrelay:", err)
}
