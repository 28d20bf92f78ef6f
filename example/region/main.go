// Command region runs the whole regional system on loopback: three control machines, an edge machine with its agent
// and proxy, and stubs for the platform and for two model servers. It applies a configuration, sends one streamed
// request, prints the status of the control machines and the result of each step, and exits.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// limit is the timeout of the whole run.
const limit = time.Minute

func main() {
	program := flag.String("program", "", "path of fieldrelay-region; if empty, the example builds it")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, *program, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "region:", err)
		os.Exit(1)
	}
}

// run runs the example in a temporary folder and removes the folder afterwards.
func run(ctx context.Context, program string, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	folder, err := os.MkdirTemp("", "fieldrelay-region-")
	if err != nil {
		return errors.Wrap(err, "create the temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if program == "" {
		if program, err = build(ctx, folder); err != nil {
			return err
		}
	}
	return runExample(ctx, program, folder, output)
}

// build compiles fieldrelay-region into folder and returns the path of the program.
func build(ctx context.Context, folder string) (string, error) {
	path := filepath.Join(folder, "fieldrelay-region")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, "fieldrelay/cmd/fieldrelay-region").CombinedOutput()
	return path, errors.Wrapf(err, "build fieldrelay-region: %s", output)
}

// runExample starts the stubs and the processes, runs the steps, prints the status and stops everything.
func runExample(ctx context.Context, program, folder string, output io.Writer) error {
	platform, err := startPlatform()
	if err != nil {
		return err
	}
	defer platform.stop()
	servers, err := startServers(platform)
	if err != nil {
		return err
	}
	defer stopServers(servers)
	layout, err := newLayout(folder, platform.address)
	if err != nil {
		return err
	}
	started, err := startProcesses(program, layout)
	defer started.stop(output)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(output, "started %d processes, a platform and %d model servers\n", len(started.list), len(servers)); err != nil {
		return errors.Wrap(err, "print what was started")
	}
	if err := runSteps(ctx, layout, output); err != nil {
		return errors.Wrapf(err, "logs of the processes:\n%s", started.logs())
	}
	return showStatus(ctx, program, layout, output)
}

// runSteps performs the steps of an operator, who applies a configuration, and of a client, which looks up a proxy and
// sends a request.
func runSteps(ctx context.Context, layout *layout, output io.Writer) error {
	generation, err := putConfiguration(ctx, layout.controls[0].Binds.Control)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(output, "configuration %d is acknowledged\n", generation); err != nil {
		return errors.Wrap(err, "print the generation")
	}
	edge, err := lookUp(ctx, layout.controls[0].Binds.Directory)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(output, "the directory sends clients to %s\n", edge); err != nil {
		return errors.Wrap(err, "print the proxy's address")
	}
	return stream(ctx, edge, output)
}

// showStatus runs the command status of fieldrelay-region against the first control machine.
func showStatus(ctx context.Context, program string, layout *layout, output io.Writer) error {
	command := exec.CommandContext(ctx, program, "status", layout.controls[0].Port(0))
	command.Stdout = output
	command.Stderr = output
	if _, err := fmt.Fprintf(output, "\nfieldrelay-region status %s:\n", layout.controls[0].Port(0)); err != nil {
		return errors.Wrap(err, "print the status command")
	}
	return errors.Wrap(command.Run(), "run fieldrelay-region status")
}
