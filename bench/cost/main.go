// Command cost compares what a request costs two programs of the sidecar, in
// turn in one run: CPU a request, resident memory and descriptors when idle.
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
	a := flag.String("a", "", "the one program")
	b := flag.String("b", "bin/fieldrelay", "the other program")
	rounds := flag.Int("rounds", 3, "of both, in turn")
	rate := flag.Float64("rate", 400, "requests a second")
	length := flag.Duration("for", 10*time.Second, "each time")
	fleet := flag.Bool("fleet", false, "both in a fleet of their own of one")
	tail := flag.String("tail", "", "more sections of the operator's file, for the other program alone")
	operator := flag.String("operator", "", "more keys of its section fleet, likewise")
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
	<-time.After(time.Second) // what a start costs is no part of it
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
	fmt.Printf("%s: %d requests, %d served, CPU %.1f us a request; idle: %d kB resident, %d descriptors, %d threads\n", opts.Binary, v.Requests, v.Served,
		float64((after.CPU-idle.CPU).Microseconds())/float64(v.Requests), idle.ResidentKB, idle.Descriptors, idle.Threads)
	return nil
}
