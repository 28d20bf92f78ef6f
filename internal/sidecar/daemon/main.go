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

// operatorEnv is the environment variable with the path of the operator's file.
const operatorEnv = "FIELDRELAY_OPERATOR"

// Names of the programs in the same folder as this one: the control program, and the suffix of the program with fleet
// support.
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
	// Recover restarts the voter group from this process, after the loss of its majority.
	Recover() error
	// SetQuotas replaces the limits of the fleet.
	SetQuotas(all quota.SettingsList)
	// CheckRules reads and checks the rules file that new settings name.
	CheckRules(next rules.Settings) error
	// SetRules applies the rules that CheckRules has read, and pushes them to the fleet.
	SetRules(next rules.Settings)
	// Rules returns lines that describe the rules in force.
	Rules() ([]string, error)
	// SetTenants replaces the tenants of the settings.
	SetTenants(all []logic.Tenant)
	// Quotas returns a line for each limit.
	Quotas() []string
	// Verdicts returns a line for each server whose health the fleet has decided on.
	Verdicts() ([]string, error)
	// RecordOutcome records whether an attempt failed, and the time that it took.
	RecordOutcome(node string, failed bool, took time.Duration)
	// SetNodes replaces the set of servers that take attempts.
	SetNodes(nodes []verdict.Node)
	// SetDraining records whether the server list has a server as draining or gone. since is the start time of the server.
	SetDraining(node string, since time.Duration, drains bool)
	// SetSuspended suspends a server for the whole fleet, or restores it.
	SetSuspended(node string, suspended bool) error
	// Admit applies the limits of the fleet to a request. If it is not admitted, after is the time to wait before a retry.
	// done must be called when the request has ended.
	Admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool)
	// AdmitAttempt applies the limits of the fleet to an attempt at a server. done, unless nil, must be called when the
	// attempt has ended.
	AdmitAttempt(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool)
	// Reload applies settings that differ from those in force only in keys that may change while the fleet runs.
	Reload(next settings.Settings)
	// Close leaves the fleet and notifies the other members.
	Close()
	// Abandon ends the membership without notifying the other members.
	Abandon()
}

// StartFleet opens the sockets of a fleet and joins it.
type StartFleet func(o FleetOptions, log zerolog.Logger) (Fleet, error)

// FleetOptions are the settings and callbacks of a fleet.
type FleetOptions = options.Options

// Main is the program. If start is nil, the program has no fleet support: where the operator's file names a fleet, it
// executes the program with fleet support from the same folder.
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

// execSibling replaces this process by a program from the same folder, by exec. It returns only on an error.
func execSibling(name func(self string) string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	other := filepath.Join(filepath.Dir(self), name(filepath.Base(self)))
	return fmt.Errorf("%s: %w", other, syscall.Exec(other, append([]string{other}, args...), os.Environ()))
}

// successor returns the path of the program to start as the replacement of this process: the one without fleet support,
// which reads the operator's file again and executes the one with fleet support if the file names a fleet.
func successor(self string) string {
	// If the executable file was replaced, the operating system adds a suffix to the path of the old one.
	return strings.TrimSuffix(strings.TrimSuffix(self, " (deleted)"), fleetSuffix)
}

// printError writes a line for an error, or for each fault of a configuration. Errors of the writer are ignored.
func printError(w io.Writer, err error) {
	if faults := (config.FaultsError)(nil); errors.As(err, &faults) {
		for _, f := range faults {
			_, _ = fmt.Fprintln(w, "fieldrelay:", f)
		}
		return
	}
	_, _ = fmt.Fprintln(w, "fieldrelay:", err)
}
