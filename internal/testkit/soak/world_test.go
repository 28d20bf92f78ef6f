package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/faultline"
	"fieldrelay/internal/testkit/localcluster"
)

// plan is what is asked of a run.
type runPlan struct {
	seed            uint64
	controls, edges int
	routes          int           // of the first configuration
	troubled        time.Duration // how long troubles begin
	applications    bool          // they call for locks, numbers, keys and watches
	largeValues     bool          // some of the values of keys are large
	calm            time.Duration // after everything is in force again, under further changes
}

const (
	// startLimit bounds the first acknowledgement and the first answers.
	startLimit = 2 * time.Minute
	// warmUp is the time from the first answers to the first trouble.
	warmUp = time.Second
	// lastReads bounds the tries to read at each control machine at the end.
	lastReads  = 200
	healPeriod = 50 * time.Millisecond
	// lastOrders is the number of orders all of whose routes are probed at the end.
	lastOrders = 20
)

// world is a run.
type world struct {
	plan      *localcluster.Layout
	folder    string
	history   *history
	network   *faultline.Network
	standins  *standins
	processes []*process
	chief     *chief
	calls     *http.Client
	// applications is nil in runs without them.
	applications *applications
}

// newWorld starts everything in a folder.
func newWorld(asked runPlan, folder string) (*world, error) {
	seen := newHistory()
	calls := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w := &world{history: seen, standins: startStandins(seen), network: faultline.NewNetwork(asked.seed), calls: calls}
	plan, err := localcluster.New(localcluster.Options{
		Controls: asked.controls, Edges: asked.edges, Folder: folder, Platform: w.standins.platform.Listener.Addr().String(), GraceS: graceS,
	})
	if err != nil {
		return w, err
	}
	w.plan, w.folder = plan, folder
	if err := openLinks(plan, folder, w.network); err != nil {
		return w, err
	}
	for _, one := range plan.All() {
		path, err := plan.Write(one)
		if err != nil {
			return w, err
		}
		for _, own := range map[bool][]role{true: {roleControl}, false: {roleProxy, roleAgent}}[one.QuorumMember] {
			started := &process{machine: one, role: own, settingsPath: path, folder: folder, history: seen}
			if err := started.start(); err != nil {
				return w, err
			}
			w.processes = append(w.processes, started)
		}
	}
	w.chief = newChief(w, asked.seed)
	if asked.applications {
		w.applications = newApplications(w, asked)
	}
	return w, nil
}

// close ends everything.
func (w *world) close() {
	each(w.processes, (*process).terminate)
	w.network.Close()
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
	go watchStandstills(watching, func(found standstill) { w.history.stoodStill(found, w.plan.All()...) })
	schedule, err := w.play(ctx, asked)
	w.close()
	if err != nil {
		w.history.fail("%v", err)
	}
	if err := w.readLogs(); err != nil {
		return verdict{}, err
	}
	found := newJudge(w.history, touch{bounds: w.plan.Controls[0].Bounds, controls: asked.controls}).run()
	return found, errors.CombineErrors(w.writeCalls(), w.writeReport(asked, schedule, found))
}

// play has the operator, the clients and the troubles at work, and then a calm time.
func (w *world) play(ctx context.Context, asked runPlan) ([]planned, error) {
	starting, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	w.chief.found(starting, asked.routes)
	if !w.awaitInForce(starting, startLimit) {
		return nil, errors.New("the first configuration did not come in force")
	}
	working, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var group sync.WaitGroup
	group.Go(func() { w.readAlong(working, asked.seed) })
	for index, edge := range w.plan.Edges {
		for number := range probers {
			group.Go(func() { newProber(w, edge, index*probers+number, asked.seed).work(working) })
		}
	}
	calling, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	if w.applications != nil {
		callers.Go(func() { w.applications.work(calling) })
	}
	ordering, stopOrders := context.WithCancel(ctx)
	defer stopOrders()
	var orders sync.WaitGroup
	orders.Go(func() { w.chief.work(ctx, ordering) })

	from := w.history.now() + warmUp
	schedule := scheduleOf(kindsFor(asked), asked.seed, from, from+asked.troubled, asked.controls, asked.edges)
	(&villain{world: w}).play(ctx, schedule)
	w.wait(ctx, asked.calm)
	stopOrders()
	orders.Wait()
	err := w.end(ctx)
	stopCalls()
	callers.Wait()
	if w.applications != nil {
		w.applications.finish(ctx)
	}
	stopWork()
	group.Wait()
	return schedule, err
}

// end has a last configuration come in force everywhere, reads it back at every control machine and probes all of it.
func (w *world) end(ctx context.Context) error {
	limit := w.plan.Controls[0].Bounds.HealWithin()
	ending, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	w.chief.finish(ending)
	if !w.awaitInForce(ctx, limit) {
		return errors.Newf("the last configuration is not in force everywhere %s after it was acknowledged", limit)
	}
	for _, control := range w.plan.Controls {
		if !w.awaitRead(ctx, control) {
			return errors.Newf("%s answers none of %d reads at the end", control.Hostname, lastReads)
		}
	}
	w.probeAll(ctx)
	return nil
}

func (w *world) awaitRead(ctx context.Context, control *settings.Settings) (answered bool) {
	for range lastReads {
		if _, answered = w.readAt(ctx, control, true); answered || !w.wait(ctx, healPeriod) {
			return answered
		}
	}
	return false
}

// awaitInForce waits until each proxy serves the first and the last route that the base of the operator touched. It
// counts tries, so that time in which this process stood still doesn't count.
func (w *world) awaitInForce(ctx context.Context, limit time.Duration) bool {
	touched := w.chief.base.touched
	for _, edge := range w.plan.Edges {
		own := newProber(w, edge, 0, w.chief.base.sum)
		defer own.client.CloseIdleConnections()
		for _, prefix := range []string{touched[0], touched[len(touched)-1]} {
			for spent := time.Duration(0); ; spent += healPeriod {
				seen := own.probe(ctx, prefix, false)
				if seen.definite() && w.chief.base.table.allows(&seen) {
					break
				}
				spent += min(seen.answeredAt-seen.sentAt, probeLimit)
				if spent >= limit || !w.wait(ctx, healPeriod) {
					return false
				}
			}
		}
	}
	return true
}

// probeAll probes at each proxy all routes of the newest configuration, and what the last orders removed.
func (w *world) probeAll(ctx context.Context) {
	prefixes := maps.Clone(w.chief.base.table)
	for _, older := range w.chief.sent[max(0, len(w.chief.sent)-lastOrders):] {
		for _, prefix := range older.touched {
			prefixes[prefix] |= 0 // it may be gone
		}
	}
	var group sync.WaitGroup
	for index, edge := range w.plan.Edges {
		own := newProber(w, edge, index, w.chief.base.sum)
		group.Go(func() {
			defer own.client.CloseIdleConnections()
			for prefix := range prefixes {
				own.probe(ctx, prefix, true)
			}
		})
	}
	group.Wait()
}

// readLogs takes in what the processes wrote of themselves.
func (w *world) readLogs() error {
	for _, one := range w.processes {
		stood := func(found standstill) { w.history.stoodStill(found, one.machine) }
		if err := readLog(one.logPath(), stood, w.history.fail); err != nil {
			return err
		}
	}
	return nil
}

// writeReport keeps seed, troubles, orders and findings beside the logs.
func (w *world) writeReport(asked runPlan, schedule []planned, found verdict) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%+v\n%s\n\nplanned troubles:\n", asked, strings.Join(found.broken, "\n"))
	for _, one := range schedule {
		fmt.Fprintf(&text, "%s, %s: %s (%d %d %d) %+v\n", one.at, one.lasts, one.kind.name, one.edge, one.control, one.other, one.fault)
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
	return os.WriteFile(filepath.Join(w.folder, "report.txt"), []byte(text.String()), 0o600)
}

// summary is a line on a run.
func (v verdict) summary() string {
	return fmt.Sprintf("%d probes by the plain bound, at most %s late, %d by the stretched one, at most %s late, %d reads, %d calls of which %d answered", v.plain.probes,
		v.plain.longest.Round(time.Millisecond), v.stretched.probes, v.stretched.longest.Round(time.Millisecond), v.reads, v.calls, v.answered)
}
