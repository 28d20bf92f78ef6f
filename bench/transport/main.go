// Command transport measures the cost of a request in a sidecar and in two
// plain proxies, on one core: CPU time, open file descriptors and connections
// opened to execute nodes. All programs get the same load of keep-alive
// clients and use equal execute nodes that answer immediately. They are
// measured alternately in one run so that other load on the machine affects
// all of them equally. The command fails if the last sidecar named exceeds a
// limit.
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

// Default limits. A sidecar without load has a dozen open descriptors; each of
// the sixteen clients adds one, and each of the three nodes at most as many as
// there are clients.
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
	serve := flag.String("serve", "", "run as a plain proxy of this kind with the remaining arguments (internal use)")
	sidecars := flag.String("sidecars", "now=bin/fieldrelay", "list of name=program, separated by commas; the limits apply to the last one")
	flag.IntVar(&o.clients, "clients", 16, "number of keep-alive clients")
	flag.IntVar(&o.nodes, "nodes", 3, "number of execute nodes, which answer immediately")
	flag.IntVar(&o.rounds, "rounds", 15, "number of rounds; each round measures every program once")
	flag.DurationVar(&o.warm, "warm", 200*time.Millisecond, "duration of the load before each measurement")
	flag.DurationVar(&o.length, "for", time.Second, "duration of each measurement")
	flag.BoolVar(&o.alike, "alike", true, "send the same answer to all requests; if false, each answer contains the id of its request")
	ratio := flag.Float64("ratio", maxRatio, "maximum ratio of CPU time per request to that of ReverseProxy")
	descriptors := flag.Int("descriptors", maxDescriptors, "maximum number of open file descriptors")
	flag.Parse()
	if *serve != "" {
		return serveProxy(*serve, flag.Args())
	}
	var programs []program
	for _, entry := range strings.Split(*sidecars, ",") {
		name, path, ok := strings.Cut(entry, "=")
		if !ok {
			return fmt.Errorf("sidecar %q: want name=program", entry)
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

// report prints the medians and returns an error for each exceeded limit. The ratio is the median of the ratios of all
// rounds.
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
			broken = append(broken, fmt.Errorf("%s: ratio of CPU time per request to that of ReverseProxy is %.2f, limit %.2f", limited, costRatio, ratio))
		}
		if open > float64(descriptors) {
			broken = append(broken, fmt.Errorf("%s: %.0f file descriptors are open, limit %d", limited, open, descriptors))
		}
	}
	return broken
}

// costRatios returns, for each round, the ratio of the CPU time per request in samples to that in others.
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
