// Command fleet is a fleet of three sidecars on one machine, for trying: three
// stand-in execute nodes, discovery, and bin/fieldrelay three times. It ends
// them with itself.
//
//	go run ./example/fleet
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"fieldrelay/internal/testkit/processfleet"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run() (err error) {
	binary, err := filepath.Abs("bin/fieldrelay")
	if err != nil {
		return err
	}
	if _, err := os.Stat(binary); err != nil {
		return fmt.Errorf("%w; build it first: see the README", err)
	}
	dir, err := os.MkdirTemp("", "fieldrelay-fleet-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := processfleet.New(processfleet.Options{Binary: binary, Sidecars: 3, Nodes: 3, Work: 20 * time.Millisecond, Dir: dir, Direct: true})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	if err := r.Start(); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	for _, s := range r.Sidecars {
		fmt.Printf("%s, process %d, its files in %s\n  curl -H 'X-Call-Id: a1' -H 'X-Budget: 1' http://%s/look\n  bin/fieldrelayctl fleet --mgmt %s\n",
			s.Name, s.PID(), filepath.Join(dir, s.Name), s.ClientAddress, s.Mgmt)
	}
	fmt.Println("Kill one of them by its process id and ask another one. Interrupt this to end all.")
	<-stop
	return nil
}
