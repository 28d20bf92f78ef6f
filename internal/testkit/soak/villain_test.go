package soak

import (
	"context"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/testkit/faultline"
)

const (
	longestAnswer = time.Second // until a trouble that waits for an acknowledgement begins
	seriesRounds  = 3
)

// villain does the troubles of a schedule.
type villain struct {
	world *world
	// held are the names of the machines whose processes a trouble has in its hands. A trouble of processes that meets
	// another on the same machine is left out.
	held sync.Map
}

// play does all troubles at their times and returns when all are over.
func (v *villain) play(ctx context.Context, schedule []planned) {
	var group sync.WaitGroup
	for _, next := range schedule {
		if !v.world.wait(ctx, next.at-v.world.history.now()) {
			break
		}
		group.Go(func() { v.do(ctx, next) })
	}
	group.Wait()
}

// do does one trouble.
func (v *villain) do(ctx context.Context, next planned) {
	on, own := next.strikes(v.world.plan)
	if next.kind.covers != nil {
		v.noted(own, func() {
			covers := func(way faultline.Way) bool { return next.kind.covers(on, way) }
			remove := v.world.network.Add(faultline.Effect{Covers: covers, Fault: next.fault})
			v.world.wait(ctx, next.lasts)
			remove()
		})
		return
	}
	machines := v.hold(slices.Concat(own.core, own.edges))
	if len(machines) == 0 {
		return
	}
	if own.unstable {
		own.core = machines
	}
	v.noted(own, func() { v.strike(ctx, next, machines) })
	for _, name := range machines {
		v.held.Delete(name)
	}
}

// hold takes the machines that are free; it returns those taken.
func (v *villain) hold(machines []string) []string {
	return slices.DeleteFunc(machines, func(name string) bool {
		_, held := v.held.LoadOrStore(name, true)
		return held
	})
}

// noted puts a trouble into the history, from before it begins until after it has ended.
func (v *villain) noted(own *trouble, strike func()) {
	history := v.world.history
	history.do(func() {
		own.from, own.to = history.now(), forever
		history.troubles = append(history.troubles, own)
	})
	strike()
	history.do(func() { own.to = history.now() })
}

// strike does a trouble of processes.
func (v *villain) strike(ctx context.Context, next planned, machines []string) {
	processes := slices.DeleteFunc(slices.Clone(v.world.processes), func(one *process) bool {
		return !slices.Contains(machines, one.machine.Hostname) || one.role == next.kind.spares
	})
	if next.kind.afterAnswer {
		v.awaitAnswer(ctx)
	}
	switch next.kind.does {
	case wipesInTurn:
		v.wipeInTurn(ctx, next.lasts, processes)
		return
	case series:
		v.signalSeries(ctx, next.lasts, processes)
	case restarts:
		v.restartSeries(ctx, next.lasts, processes)
		return
	case stops:
		each(processes, func(p *process) { p.signal(syscall.SIGSTOP) })
		v.world.wait(ctx, next.lasts)
		each(processes, func(p *process) { p.signal(syscall.SIGCONT) })
		return
	case terminates:
		each(processes, (*process).terminate)
	default:
		each(processes, (*process).kill)
	}
	if next.kind.does == wipes {
		each(processes, v.wipe)
	}
	v.world.wait(ctx, next.lasts)
	each(processes, v.start)
}

func (v *villain) start(one *process) {
	if err := one.start(); err != nil {
		v.world.history.fail("%v", err)
	}
}

// awaitAnswer waits for the next acknowledgement of a call, for some time.
func (v *villain) awaitAnswer(ctx context.Context) {
	acknowledged := v.world.applications.acknowledgement()
	timer := time.NewTimer(longestAnswer)
	defer timer.Stop()
	select {
	case <-acknowledged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// wipeInTurn has machines lose their disks one after another. Each has sync-s to come back before the next one goes.
func (v *villain) wipeInTurn(ctx context.Context, lasts time.Duration, processes []*process) {
	for _, one := range processes {
		one.kill()
		v.wipe(one)
		v.world.wait(ctx, lasts)
		v.start(one)
		v.world.wait(ctx, max(backAfter, one.machine.Bounds.SyncFor()))
	}
}

// restartSeries ends processes with SIGTERM and starts them again, several times. A start may be ended before the process
// is ready.
func (v *villain) restartSeries(ctx context.Context, lasts time.Duration, processes []*process) {
	span := lasts / (2 * seriesRounds)
	for range seriesRounds {
		each(processes, (*process).terminate)
		v.world.wait(ctx, span)
		each(processes, v.start)
		v.world.wait(ctx, span)
	}
}

// signalSeries stops processes and lets them go on, in spans that overlap from one to the next, and kills them while they
// are stopped for the last time.
func (v *villain) signalSeries(ctx context.Context, lasts time.Duration, processes []*process) {
	span := lasts / (2 * seriesRounds)
	var group sync.WaitGroup
	for index, one := range processes {
		group.Go(func() {
			v.world.wait(ctx, span*time.Duration(index)/time.Duration(len(processes)))
			for range seriesRounds {
				one.signal(syscall.SIGSTOP)
				v.world.wait(ctx, span)
				one.signal(syscall.SIGCONT)
				v.world.wait(ctx, span)
			}
			one.signal(syscall.SIGSTOP)
			one.kill()
		})
	}
	group.Wait()
}

// wipe empties the disk of a control machine that is down; it is no longer the first start of the system then.
func (v *villain) wipe(of *process) {
	own := of.machine
	own.Bootstrap = false
	err := errors.CombineErrors(os.RemoveAll(own.StateDir), os.Mkdir(own.StateDir, 0o700))
	_, written := v.world.plan.Write(own)
	if err = errors.CombineErrors(err, written); err != nil {
		v.world.history.fail("wipe %s: %v", of.name(), err)
	}
}

// each does something to all processes at once.
func each(processes []*process, do func(*process)) {
	var group sync.WaitGroup
	for _, one := range processes {
		group.Go(func() { do(one) })
	}
	group.Wait()
}

// wait lets a time pass; it returns false early when ctx ends.
func (w *world) wait(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
