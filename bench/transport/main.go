// Command transport measures what a request costs a sidecar beside two plain
// proxies, on one core: processor time, open descriptors and connections
// opened to execute nodes. All of them serve the same keep-alive clients with
// the same instant execute nodes, in turn in one run, so that a busy machine
// weighs on each alike. It fails where the last sidecar named is over a bound.
//
//	go run ./bench/transport -sidecars before=OLD/bin/fieldrelay,now=bin/fieldrelay
//	go run ./bench/transport -sidecars now=bin/fieldrelay -alike=false -rounds 7
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// The bounds that hold by default. A dozen descriptors belong to a sidecar
// without any load, each of the sixteen clients has one, and each of the three
// nodes no more than there are clients.
const (
	maxRatio       = 0.9
	maxDescriptors = 80
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "transport:", err)
		os.Exit(1)
	}
}

func run() error {
	var o options
	serve := flag.String("serve", "", "be a plain proxy of this kind for the rest of the arguments (used by the program itself)")
	sidecars := flag.String("sidecars", "now=bin/fieldrelay", "name=program, separated by commas; the last one is held to the bounds")
	flag.IntVar(&o.clients, "clients", 16, "keep-alive clients")
	flag.IntVar(&o.nodes, "nodes", 3, "instant execute nodes")
	flag.IntVar(&o.rounds, "rounds", 15, "of all programs, in turn")
	flag.DurationVar(&o.warm, "warm", 200*time.Millisecond, "load before each measurement")
	flag.DurationVar(&o.length, "for", time.Second, "each measurement")
	flag.BoolVar(&o.alike, "alike", true, "all answers are alike; else each has its request's id")
	ratio := flag.Float64("ratio", maxRatio, "of processor time to that of ReverseProxy, at the most")
	descriptors := flag.Int("descriptors", maxDescriptors, "open at the most")
	flag.Parse()
	if *serve != "" {
		return serveProxy(*serve, flag.Args())
	}
	var programs []program
	for _, entry := range strings.Split(*sidecars, ",") {
		name, path, ok := strings.Cut(entry, "=")
		if !ok {
			return fmt.Errorf("%q is not name=program", entry)
		}
		programs = append(programs, program{name: name, sidecar: path})
	}
	limited := programs[len(programs)-1].name
	for _, kind := range proxyKinds {
		programs = append(programs, program{name: kind})
	}
	seen, err := measureAll(o, programs)
	if err != nil {
		return err
	}
	return errors.Join(report(programs, seen, limited, *ratio, *descriptors)...)
}

// report prints the medians and tells which bounds are broken. The ratio is the median of those of each round.
func report(programs []program, seen map[string][]sample, limited string, ratio float64, descriptors int) (broken []error) {
	fmt.Printf("%-14s %10s %8s %12s %12s %12s %10s\n", "median of", "us/request", "ratio", "descriptors", "connections", "requests/s", "unserved")
	for _, p := range programs {
		samples := seen[p.name]
		cost := median(samples, sample.microseconds)
		costRatio := median(costRatios(samples, seen[reverseProxy]), func(ratio float64) float64 { return ratio })
		open := median(samples, func(s sample) float64 { return float64(s.descriptors) })
		rate := median(samples, func(s sample) float64 { return float64(s.served) / s.took.Seconds() })
		last := samples[len(samples)-1]
		unserved := int64(0)
		for _, s := range samples {
			unserved += s.other
		}
		fmt.Printf("%-14s %10.1f %8.2f %12.0f %12d %12.0f %10d\n", p.name, cost, costRatio, open, last.opened, rate, unserved)
		if p.name != limited {
			continue
		}
		if costRatio > ratio {
			broken = append(broken, fmt.Errorf("%s: processor time a request is %.2f of that of ReverseProxy, over %.2f", limited, costRatio, ratio))
		}
		if open > float64(descriptors) {
			broken = append(broken, fmt.Errorf("%s: %.0f descriptors are open, over %d", limited, open, descriptors))
		}
	}
	return broken
}

// costRatios is the processor time of each round by that of the other program in it.
func costRatios(samples, others []sample) (ratios []float64) {
	for i, s := range samples {
		ratios = append(ratios, s.microseconds()/others[i].microseconds())
	}
	return ratios
}

func median[T any](samples []T, of func(T) float64) float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = of(s)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
