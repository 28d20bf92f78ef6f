package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/testkit/fakebackend"
)

// options are the settings that all measurements of a run share.
type options struct {
	clients, nodes, rounds int
	warm, length           time.Duration
	alike                  bool
}

// sample is the result of one measurement of one program.
type sample struct {
	cpu         time.Duration // CPU time of the process under load
	took        time.Duration
	served      int64
	other       int64 // requests that were not served
	descriptors int   // number of open file descriptors at the end, under load
	opened      int64 // number of connections to nodes since the start of the process
}

// microseconds returns the CPU time per served request.
func (s sample) microseconds() float64 {
	return float64(s.cpu.Microseconds()) / float64(max(1, s.served))
}

// measureAll starts all programs, each with its own nodes, and then measures
// them one after the other for a short time in each round, so that other load
// on the machine in a round affects all of them.
func measureAll(o options, programs []program) (map[string][]sample, error) {
	subjects, err := startAll(o, programs)
	defer func() {
		for _, s := range subjects {
			s.end()
		}
	}()
	if err != nil {
		return nil, err
	}
	seen := map[string][]sample{}
	for round := range o.rounds {
		for i := range subjects {
			subject := subjects[(round+i)%len(subjects)]
			s, err := subject.measure(o)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", subject.name, err)
			}
			seen[subject.name] = append(seen[subject.name], s)
		}
	}
	return seen, nil
}

// subject is a running program with its nodes.
type subject struct {
	name    string
	nodes   *nodes
	process *process
}

func (s subject) end() {
	s.process.end()
	s.nodes.close()
}

func startAll(o options, programs []program) (all []subject, err error) {
	for _, p := range programs {
		nodes, err := startNodes(o.nodes, o.alike)
		if err != nil {
			return all, err
		}
		process, err := p.start(nodes)
		if err != nil {
			nodes.close()
			return all, fmt.Errorf("%s: %w", p.name, err)
		}
		all = append(all, subject{p.name, nodes, process})
	}
	return all, nil
}

// measure puts load on the program and reads its CPU time and its number of
// open descriptors while the load continues.
func (s subject) measure(o options) (seen sample, err error) {
	load := startLoad(s.process.address, o.clients)
	defer load.stop()
	time.Sleep(o.warm)
	before, begun := load.counts(), time.Now()
	cpuBefore, err := s.process.cpu()
	if err != nil {
		return seen, err
	}
	time.Sleep(o.length)
	cpuAfter, err := s.process.cpu()
	after := load.counts()
	seen.took = time.Since(begun)
	seen.cpu, seen.served, seen.other = cpuAfter-cpuBefore, after.served-before.served, after.other-before.other
	var err2 error
	seen.descriptors, err2 = s.process.descriptors()
	seen.opened = s.nodes.opened.Load()
	return seen, errors.Join(err, err2)
}

// load is a closed-loop load: a number of clients, each of which sends its
// next request as soon as the previous one is answered or has failed.
type load struct {
	served, other atomic.Int64
	ended         chan struct{}
	clients       sync.WaitGroup
}

type counts struct{ served, other int64 }

func (l *load) counts() counts { return counts{l.served.Load(), l.other.Load()} }

func startLoad(address string, clients int) *load {
	l := &load{ended: make(chan struct{})}
	for i := range clients {
		l.clients.Go(func() { l.client(address, i) })
	}
	return l
}

func (l *load) stop() {
	close(l.ended)
	l.clients.Wait()
}

const requestTimeout = 2 * time.Second

func (l *load) client(address string, number int) {
	client := &fasthttp.HostClient{Addr: address, MaxConns: 1, NoDefaultUserAgentHeader: true, ReadTimeout: requestTimeout}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	for n := 0; ; n++ {
		select {
		case <-l.ended:
			return
		default:
		}
		request.SetRequestURI("http://" + address + "/look")
		request.Header.Set("X-Call-Id", fmt.Sprintf("c%d-%d", number, n))
		request.Header.Set("X-Budget", "2")
		if err := client.DoTimeout(request, response, requestTimeout); err == nil && response.StatusCode() == fasthttp.StatusOK {
			l.served.Add(1)
		} else {
			l.other.Add(1)
		}
	}
}

// nodes are execute nodes that answer immediately, and the discovery service that lists them.
type nodes struct {
	listeners []*countedListener
	discovery *fakebackend.Discovery
	opened    atomic.Int64 // number of accepted connections
}

// processorTime returns the CPU time of a process, summed over its current threads.
func processorTime(pid int) (sum time.Duration, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			return 0, err
		}
		ran, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
