package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// plan is what is asked of a run.
type runPlan struct {
	seed            uint64
	controls, edges int
	troubled        time.Duration // how long troubles begin
	calm            time.Duration // after everything is in force again, under further changes
}

const (
	// startLimit bounds the first acknowledgement and the first answers.
	startLimit = 60 * time.Second
	// warmUp is the time from the first answers to the first trouble.
	warmUp = time.Second
	// lastReadLimit bounds the wait for each control machine's answer at the end.
	lastReadLimit = 10 * time.Second
	healPeriod    = 50 * time.Millisecond
	// removedProbes is the number of routes of older configurations that are probed at the end.
	removedProbes = 30
)

// world is a run.
type world struct {
	plan      *layout
	history   *history
	network   *network
	standins  *standins
	processes []*process
	chief     *chief
	calls     *http.Client
}

// newWorld starts everything in a folder.
func newWorld(asked runPlan, folder string) (*world, error) {
	seen := newHistory()
	w := &world{history: seen, standins: startStandins(seen), calls: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	plan, err := newLayout(asked.controls, asked.edges, folder, addressOf(w.standins.platform.Listener))
	if err != nil {
		return w, err
	}
	w.plan = plan
	network, routes, err := newNetwork(plan, asked.seed)
	if err != nil {
		return w, err
	}
	w.network = network
	if err := plan.writeLinks(routes); err != nil {
		return w, err
	}
	for _, one := range plan.machines() {
		for _, own := range rolesOf(one) {
			started := &process{machine: one, role: own, plan: plan, history: seen}
			if err := started.start(); err != nil {
				return w, err
			}
			w.processes = append(w.processes, started)
		}
	}
	w.chief = newChief(w, asked.seed)
	return w, nil
}

func rolesOf(one *machine) []role {
	if one.control {
		return []role{roleControl}
	}
	return []role{roleProxy, roleAgent}
}

// close ends everything.
func (w *world) close() {
	each(w.processes, (*process).terminate)
	if w.network != nil {
		w.network.close()
	}
	w.standins.stop()
}

// run plays a whole run and judges it.
func run(ctx context.Context, asked runPlan, folder string) (verdict, error) {
	w, err := newWorld(asked, folder)
	if err != nil {
		w.close()
		return verdict{}, err
	}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go watchStandstills(watching, func(found standstill) { w.history.stoodStill(found, w.names(false), w.names(true)) })
	schedule, err := w.play(ctx, asked)
	w.close()
	if err != nil {
		w.history.fail("%v", err)
	}
	if err := w.readLogs(); err != nil {
		return verdict{}, err
	}
	found := newJudge(w.history, touch{bounds: w.plan.controls[0].settings.Bounds, controls: asked.controls}).run()
	return found, w.writeReport(asked, schedule, found)
}

// play has the operator, the clients and the troubles at work, and then a calm time.
func (w *world) play(ctx context.Context, asked runPlan) ([]planned, error) {
	starting, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	w.chief.found(starting)
	if !w.awaitInForce(starting, startLimit) {
		return nil, errors.New("the first configuration did not come in force")
	}
	working, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var group sync.WaitGroup
	group.Go(func() { w.readAlong(working, asked.seed) })
	for index, edge := range w.plan.edges {
		for number := range probers {
			group.Go(func() { newProber(w, edge, index*probers+number, asked.seed).work(working) })
		}
	}
	ordering, stopOrders := context.WithCancel(ctx)
	defer stopOrders()
	var orders sync.WaitGroup
	orders.Go(func() { w.chief.work(ordering) })

	from := w.history.now() + warmUp
	schedule := scheduleOf(asked.seed, from, from+asked.troubled, asked.controls, asked.edges)
	(&villain{world: w, held: make(map[string]bool)}).play(ctx, schedule)
	w.wait(ctx, asked.calm)
	stopOrders()
	orders.Wait()
	err := w.end(ctx)
	stopWork()
	group.Wait()
	return schedule, err
}

// end has a last configuration come in force everywhere, reads it back at every control machine and probes all of it.
func (w *world) end(ctx context.Context) error {
	limit := w.plan.controls[0].settings.Bounds.HealWithin()
	ending, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	w.chief.finish(ending)
	if !w.awaitInForce(ctx, limit) {
		return errors.Newf("the last configuration is not in force everywhere %s after it was acknowledged", limit)
	}
	for _, control := range w.plan.controls {
		if !w.awaitRead(ctx, control) {
			return errors.Newf("%s answers no read within %s at the end", control.name, lastReadLimit)
		}
	}
	w.probeAll(ctx)
	return nil
}

func (w *world) awaitRead(ctx context.Context, control *machine) bool {
	reading, stop := context.WithTimeout(ctx, lastReadLimit)
	defer stop()
	for !w.readAt(reading, control, true) {
		if !w.wait(reading, healPeriod) {
			return false
		}
	}
	return true
}

// awaitInForce waits until each proxy serves the first and the last route that the base of the operator touched. The
// time in which this process stood still is added to the limit.
func (w *world) awaitInForce(ctx context.Context, limit time.Duration) bool {
	began := w.history.now()
	touched := w.chief.base.touched
	for _, edge := range w.plan.edges {
		own := newProber(w, edge, 0, uint64(began))
		for _, prefix := range []string{touched[0], touched[len(touched)-1]} {
			for {
				seen := own.probe(ctx, prefix, false)
				if seen.definite() && w.chief.base.table.allows(&seen) {
					break
				}
				if ctx.Err() != nil || w.history.now() > began+limit+w.stoodStillSince(began) {
					return false
				}
				w.wait(ctx, healPeriod)
			}
		}
		own.client.CloseIdleConnections()
	}
	return true
}

// stoodStillSince is how long this process stood still since a moment.
func (w *world) stoodStillSince(from moment) (sum time.Duration) {
	w.history.do(func() {
		for _, one := range w.history.troubles {
			if one.kind == standstillMessage && one.from >= from {
				sum += one.to - one.from
			}
		}
	})
	return sum
}

// probeAll probes at each proxy all routes of the newest configuration, and some that are gone.
func (w *world) probeAll(ctx context.Context) {
	newest := w.chief.base
	gone := make(map[string]bool)
	for _, older := range w.chief.sent {
		for _, prefix := range older.touched {
			if newest.table[prefix] == 0 && len(gone) < removedProbes {
				gone[prefix] = true
			}
		}
	}
	var group sync.WaitGroup
	for index, edge := range w.plan.edges {
		own := newProber(w, edge, index, newest.sum)
		group.Go(func() {
			defer own.client.CloseIdleConnections()
			for prefix := range newest.table {
				own.probe(ctx, prefix, true)
			}
			for prefix := range gone {
				own.probe(ctx, prefix, true)
			}
		})
	}
	group.Wait()
}

// names are the names of the control machines, or of the edge machines.
func (w *world) names(control bool) (names []string) {
	for _, one := range w.plan.machines() {
		if one.control == control {
			names = append(names, one.name)
		}
	}
	return names
}

// readLogs takes in what the processes wrote of themselves.
func (w *world) readLogs() error {
	for _, one := range w.processes {
		var edges, core []string
		if one.machine.control {
			core = []string{one.machine.name}
		} else {
			edges = []string{one.machine.name}
		}
		stood := func(found standstill) { w.history.stoodStill(found, edges, core) }
		if err := readLog(one.logPath(), stood, w.history.fail); err != nil {
			return err
		}
	}
	return nil
}

// writeReport keeps seed, troubles, orders and findings beside the logs.
func (w *world) writeReport(asked runPlan, schedule []planned, found verdict) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%+v\n\n", asked)
	for _, broken := range found.broken {
		fmt.Fprintln(&text, broken)
	}
	fmt.Fprintln(&text, "\nplanned troubles:")
	for _, one := range schedule {
		fmt.Fprintln(&text, one)
	}
	fmt.Fprintln(&text, "\ntroubles as they came:")
	for _, one := range w.history.troubles {
		fmt.Fprintf(&text, "%s to %s: %s %v %v\n", one.from, one.to, one.kind, one.edges, one.core)
	}
	fmt.Fprintln(&text, "\norders:")
	for _, one := range w.history.orders {
		fmt.Fprintf(&text, "%d on %d: sent %s, answered %s, %d, invalid %t, %d routes, %d bytes, touches %v\n", one.generation, one.base,
			one.sentAt, one.answeredAt, one.status, one.invalid, len(one.routes), len(one.body), one.touched[:min(len(one.touched), 6)])
	}
	return os.WriteFile(filepath.Join(w.plan.folder, "report.txt"), []byte(text.String()), 0o600)
}

// summary is a line on a run.
func (w verdict) summary() string {
	return fmt.Sprintf("%d probes judged by the plain bound, %d by the stretched one, %d reads", w.plain, w.stretched, w.reads)
}
