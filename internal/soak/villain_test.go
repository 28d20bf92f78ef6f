package soak

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"
)

// villain does the troubles of a schedule.
type villain struct {
	world *world
	// held are the machines whose processes a trouble has in its hands, by name. A trouble of processes that meets
	// another on the same machine is left out.
	mutex sync.Mutex
	held  map[string]bool
}

// play does all troubles at their times and returns when all are over.
func (v *villain) play(ctx context.Context, schedule []planned) {
	var group sync.WaitGroup
	for _, next := range schedule {
		if !v.world.until(ctx, next.at) {
			break
		}
		group.Go(func() { v.do(ctx, next) })
	}
	group.Wait()
}

// hold takes the machines that are free; it returns those taken.
func (v *villain) hold(machines []string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var taken []string
	for _, name := range machines {
		if !v.held[name] {
			v.held[name] = true
			taken = append(taken, name)
		}
	}
	return taken
}

func (v *villain) release(machines []string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, name := range machines {
		delete(v.held, name)
	}
}

// do does one trouble.
func (v *villain) do(ctx context.Context, next planned) {
	own := next.scope(v.world.plan)
	if next.fault.Drop || next.fault.Rate > 0 || next.fault.Delay > 0 {
		v.noted(own, func() {
			remove := v.world.network.add(next.effectOn(v.world.plan))
			v.world.wait(ctx, next.lasts)
			remove()
		})
		return
	}
	machines := v.hold(append(own.core, own.edges...))
	defer v.release(machines)
	if len(machines) == 0 {
		return
	}
	if next.kind == killAllControls {
		own.core = machines
	}
	v.noted(own, func() { v.strike(ctx, next, machines) })
}

// noted puts a trouble into the history, from before it begins until after it has ended.
func (v *villain) noted(own trouble, strike func()) {
	history := v.world.history
	own.from, own.to = history.now(), forever
	history.do(func() { history.troubles = append(history.troubles, &own) })
	strike()
	ended := history.now()
	history.do(func() { own.to = ended })
}

// strike does a trouble of processes.
func (v *villain) strike(ctx context.Context, next planned, machines []string) {
	processes := v.targets(next.kind, machines)
	switch next.kind {
	case pauseControl, pauseAgent, pauseProxy, pauseEdge:
		each(processes, func(p *process) { p.signal(syscall.SIGSTOP) })
		v.world.wait(ctx, next.lasts)
		each(processes, func(p *process) { p.signal(syscall.SIGCONT) })
		return
	case restartControl, restartEdge:
		each(processes, (*process).terminate)
	default:
		each(processes, (*process).kill)
	}
	if next.kind == wipeControl {
		v.wipe(processes[0])
	}
	v.world.wait(ctx, next.lasts)
	each(processes, func(p *process) {
		if err := p.start(); err != nil {
			v.world.history.fail("%v", err)
		}
	})
}

func (v *villain) targets(of kind, machines []string) []*process {
	var found []*process
	for _, one := range v.world.processes {
		for _, name := range machines {
			spared := of == killAgent && one.role == roleProxy || of == pauseAgent && one.role == roleProxy ||
				of == pauseProxy && one.role == roleAgent
			if one.machine.name == name && !spared {
				found = append(found, one)
			}
		}
	}
	return found
}

// wipe empties the disk of a control machine that is down; it is no longer the first start of the system then.
func (v *villain) wipe(of *process) {
	own := of.machine.settings
	own.Bootstrap = false
	err := os.RemoveAll(own.StateDir)
	if err == nil {
		err = os.Mkdir(own.StateDir, 0o700)
	}
	if err == nil {
		err = v.world.plan.write(of.machine)
	}
	if err != nil {
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

// wait lets a time pass; it returns early when ctx ends.
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

// until waits for a moment.
func (w *world) until(ctx context.Context, at moment) bool {
	return w.wait(ctx, at-w.history.now())
}
