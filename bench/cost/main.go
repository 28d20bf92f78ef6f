// Command cost compares the resource usage of two sidecar binaries, measured
// alternately in one run: CPU time per request, and resident memory, file
// descriptors and threads when idle.
//
//	go run ./bench/cost -a OLD/bin/fieldrelay -b bin/fieldrelay
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/processfleet"
)

func main() {
	a := flag.String("a", "", "path of the first sidecar binary")
	b := flag.String("b", "bin/fieldrelay", "path of the second sidecar binary")
	rounds := flag.Int("rounds", 3, "number of rounds; each round measures both binaries")
	rate := flag.Float64("rate", 400, "requests per second")
	length := flag.Duration("for", 10*time.Second, "duration of the load in each measurement")
	fleet := flag.Bool("fleet", false, "run each sidecar as a fleet of one")
	tail := flag.String("tail", "", "additional sections of the operator file, for the second binary only")
	operator := flag.String("operator", "", "additional keys of the section fleet of the operator file, for the second binary only")
	flag.Parse()
	for range *rounds {
		for i, binary := range []string{*a, *b} {
			opts := processfleet.Options{Binary: binary, Sidecars: 1, Nodes: 3, Work: 5 * time.Millisecond, Seed: 1, NoFleet: !*fleet, Direct: true}
			if i == 1 {
				opts.Tail, opts.Operator = strings.ReplaceAll(*tail, `\n`, "\n"), *operator
			}
			if err := once(opts, *rate, *length); err != nil {
				fmt.Fprintln(os.Stderr, "cost:", err)
				os.Exit(1)
			}
		}
	}
}

func once(opts processfleet.Options, rate float64, length time.Duration) (err error) {
	dir, err := os.MkdirTemp("", "fieldrelay-cost-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	opts.Dir = dir
	r, err := processfleet.New(opts)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.Close()) }()
	if err := r.Start(); err != nil {
		return err
	}
	<-time.After(time.Second) // excludes the cost of startup from the measurement
	idle, err := r.Sidecars[0].Resources()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	r.Load(ctx, rate)
	after, err := r.Sidecars[0].Resources()
	if err != nil {
		return err
	}
	v := checker.Check(r.History.Entries(), processfleet.Classes, 0)
	fmt.Printf("%s: %d requests, %d served, CPU %.1f us per request; idle: %d kB resident, %d descriptors, %d threads\n", opts.Binary, v.Requests, v.Served,
		float64((after.CPU-idle.CPU).Microseconds())/float64(v.Requests), idle.ResidentKB, idle.Descriptors, idle.Threads)
	return nil
}
