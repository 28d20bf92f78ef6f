// Package daemon is the sidecar as a program: it wires the parts together, handles signals and the management commands,
// reloads the configuration and replaces its own process. It decides nothing about requests.
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

	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/fleet/options"
	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
	rules "fieldrelay/internal/sidecar/versionskew/settings"
)

// operatorEnv names the operator's file.
const operatorEnv = "FIELDRELAY_OPERATOR"

// Names of the programs beside this one.
const (
	ctlName     = "fieldrelayctl"
	fleetSuffix = "-fleet"
)

// Fleet is this process's membership in a fleet of sidecars. Its methods may be called from any goroutine and, but for
// Close and Recover, do not block.
type Fleet interface {
	// Peers returns a line for each member.
	Peers() ([]string, error)
	// Figures returns StatsD lines whose names begin with a prefix.
	Figures(prefix string) []string
	// Recover has the voters begin anew with this process.
	Recover() error
	// SetQuotas replaces the limits of the fleet.
	SetQuotas(all quota.SettingsList)
	// CheckRules reads the rules' file of new settings.
	CheckRules(next rules.Settings) error
	// SetRules takes over what CheckRules has read, and pushes it.
	SetRules(next rules.Settings)
	// Rules returns lines on the rules in force.
	Rules() ([]string, error)
	// SetTenants replaces the tenants of the settings.
	SetTenants(all []logic.Tenant)
	// Quotas returns a line for each limit.
	Quotas() []string
	// Verdicts returns a line for each server with a decision on its health.
	Verdicts() ([]string, error)
	// RecordOutcome is how an attempt ended, and the time that it took.
	RecordOutcome(node string, failed bool, took time.Duration)
	// SetNodes is all servers that take attempts.
	SetNodes(nodes []verdict.Node)
	// SetDraining is that the list has a server, by its start, as draining or gone, or no longer so.
	SetDraining(node string, since time.Duration, drains bool)
	// SetSuspended suspends a server for the whole fleet, or restores it.
	SetSuspended(node string, suspended bool) error
	// Admit lets a request through the limits of the fleet, or says after what time to retry. done is called once it has
	// ended.
	Admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool)
	// AdmitAttempt lets an attempt at a server through the limits of the fleet, or not. done, unless nil, is called once it has
	// ended.
	AdmitAttempt(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool)
	// Reload takes over settings that differ only in what may change while it runs.
	Reload(next settings.Settings)
	// Close leaves the fleet and notifies the others.
	Close()
	// Abandon ends without notifying the others.
	Abandon()
}

// StartFleet opens the sockets of a fleet and joins it.
type StartFleet func(o FleetOptions, log zerolog.Logger) (Fleet, error)

// FleetOptions are the settings and callbacks of a fleet.
type FleetOptions = options.Options

// Main is the program. Without start it has no fleet in it, and executes the program beside it that has one if the
// operator's file names a fleet.
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

// execSibling executes a program beside this one in its place. It returns only with an error.
func execSibling(name func(self string) string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	other := filepath.Join(filepath.Dir(self), name(filepath.Base(self)))
	return fmt.Errorf("%s: %w", other, syscall.Exec(other, append([]string{other}, args...), os.Environ()))
}

// successor is the path of the program that replaces this one. It is the one without a fleet, which reads the operator's
// file anew and executes the other one if a fleet is named.
func successor(self string) string {
	// If the file was replaced, the system adds a suffix to the path of the old one.
	return strings.TrimSuffix(strings.TrimSuffix(self, " (deleted)"), fleetSuffix)
}

// printError writes a line for an error, or for each fault of a configuration. Errors of the writer have no remedy.
func printError(w io.Writer, err error) {
	if faults := (config.FaultsError)(nil); errors.As(err, &faults) {
		for _, f := range faults {
			_, _ = fmt.Fprintln(w, "fieldrelay:", f)
		}
		return
	}
	_, _ = fmt.Fprintln(w, "fieldrelay:", err)
}
