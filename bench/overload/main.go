// Command overload measures the sidecar's memory usage and request handling
// under floods of requests. Each case starts its own sidecar. Run it from the
// root of the repository:
//
//	go run ./bench/overload -memory 24,32,64,192
//	go run ./bench/overload -case length,answers -binary path/to/another/fieldrelay
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"fieldrelay/internal/testkit/overload"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "overload:", err)
		os.Exit(1)
	}
}

// settings are the command-line settings: which cases to run, and the output format.
type settings struct {
	options overload.Options
	cases   []string
	memory  []string // memory limits in MB
	json    bool
	logs    string // folder for the sidecars' logs; empty: logs are deleted at the end
}

func parseFlags() settings {
	read := settings{options: overload.Defaults()}
	names := make([]string, len(overload.Cases))
	for i, c := range overload.Cases {
		names[i] = c.Name
	}
	cases := flag.String("case", strings.Join(names, ","), "cases to run, separated by commas")
	memory := flag.String("memory", "24,32,64,192", "memory limits in MB, separated by commas; each case runs at each limit")
	flag.BoolVar(&read.json, "json", false, "print one line of JSON per run")
	opts := &read.options
	flag.StringVar(&opts.Binary, "binary", "", "path of the sidecar binary; if empty, it is built from this source tree")
	flag.IntVar(&opts.Submitters, "submitters", opts.Submitters, "number of concurrent clients that submit the flood")
	flag.IntVar(&opts.Rounds, "rounds", opts.Rounds, "number of requests per submitter")
	flag.IntVar(&opts.Rate, "rate", opts.Rate, "small requests per second during the flood")
	flag.DurationVar(&opts.Delay, "delay", opts.Delay, "time an execute node takes to answer a large request")
	flag.StringVar(&read.logs, "logs", "", "folder for the sidecars' logs; if empty, they are deleted")
	flag.Parse()
	read.cases, read.memory = strings.Split(*cases, ","), strings.Split(*memory, ",")
	return read
}

func run() error {
	given := parseFlags()
	dir, err := os.MkdirTemp("", "flood")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if given.options.Binary == "" {
		given.options.Binary = filepath.Join(dir, "fieldrelay")
		if err := build(given.options.Binary); err != nil {
			return err
		}
	}
	if given.logs == "" {
		given.logs = dir
	}
	broken := 0
	for _, mb := range given.memory {
		for _, name := range given.cases {
			result, err := given.runCase(name, mb)
			if err != nil {
				return err
			}
			if result.PeakKB > result.MemoryMB<<10 || result.Exit != "" || result.Left > 0 {
				broken++
			}
			if err := given.print(result); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d runs exceeded their memory limit, left bytes in use or exited abnormally", broken)
	}
	return nil
}

// build compiles the sidecar to the path.
func build(binary string) error {
	command := exec.Command("go", "build", "-o", binary, "fieldrelay/cmd/fieldrelay")
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	return nil
}

// runCase runs the named case with a memory limit of mb megabytes.
func (s settings) runCase(name, mb string) (result overload.Result, err error) {
	opts := s.options
	if opts.MemoryMB, err = strconv.Atoi(mb); err != nil {
		return result, fmt.Errorf("memory limit %q is not a whole number of MB", mb)
	}
	c, err := overload.Named(name)
	if err != nil {
		return result, err
	}
	opts.Dir = filepath.Join(s.logs, name+mb)
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return result, err
	}
	result, err = overload.Run(c, opts)
	if err != nil {
		return result, fmt.Errorf("%s at %s MB: %w", name, mb, err)
	}
	return result, nil
}

// print writes a result to standard output, as JSON or as text.
func (s settings) print(res overload.Result) error {
	if s.json {
		return json.NewEncoder(os.Stdout).Encode(res)
	}
	if res.Replaced+res.Reloaded+res.Kept > 0 {
		fmt.Printf("replaced %d times, reloaded %d, kept unchanged %d\n", res.Replaced, res.Reloaded, res.Kept)
	}
	fmt.Printf("%-8s %3d MB: peak %5.1f MB, 2 s later %5.1f MB, CPU %.2f s %s\n   flood: %v\n   small: %v\n   calm:  %v\n",
		res.Case, res.MemoryMB, float64(res.PeakKB)/1024, float64(res.AfterKB)/1024, res.CPU.Seconds(), res.Exit,
		&res.Flood, &res.Small, &res.Calm)
	return nil
}
