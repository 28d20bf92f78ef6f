package controlsim

import (
	"time"
)

// diskLossInterval is how long after the last fault a disk may be lost: what the fault budget calls lost includes
// machines that returned lately.
const diskLossInterval = 4 * time.Second

// faultInjector has faults of all kinds happen to a world at random.
type faultInjector struct {
	world           *world
	active          int  // faults in force
	ended           bool // no more faults
	diskLossPending bool // a disk was lost, and the machines have not been whole since; only where losses overlap
}

func (w *world) addRandomFaults() *faultInjector {
	trouble := &faultInjector{world: w}
	w.after(w.durationBetween(10*time.Millisecond, 3*time.Second), trouble.next)
	return trouble
}

func (t *faultInjector) next() {
	if t.ended {
		return
	}
	w := t.world
	switch w.random.IntN(13) {
	case 0, 1:
		t.restart((*host).kill)
	case 2:
		t.restart((*host).losePower)
	case 3:
		t.freeze()
	case 4, 5:
		t.cut()
	case 6:
		t.isolate()
	case 7:
		t.stall()
	case 8:
		t.fill()
	case 9:
		t.restartAll()
	case 10:
		t.terminate()
	default:
		t.loseDisk()
	}
	if w.chance(0.25) {
		w.after(w.durationBetween(diskLossInterval, diskLossInterval+3*time.Second), t.afterCalm)
		return
	}
	w.after(w.durationBetween(50*time.Millisecond, 2500*time.Millisecond), t.next)
}

// afterCalm mostly takes a disk: a calm time is when the fault budget allows it.
func (t *faultInjector) afterCalm() {
	if !t.ended && t.world.chance(0.6) {
		t.loseDisk()
	}
	t.next()
}

// during runs begin now and end after a while.
func (t *faultInjector) during(span time.Duration, end func()) {
	t.active++
	t.world.after(span, func() {
		end()
		t.active--
		t.world.lastFaultEnd = t.world.now
	})
}

// span is mostly short, now and then long.
func (t *faultInjector) span() time.Duration {
	if t.world.chance(0.3) {
		return t.world.durationBetween(time.Second, 6*time.Second)
	}
	return t.world.durationBetween(20*time.Millisecond, time.Second)
}

func (t *faultInjector) restart(end func(*host)) {
	host := t.world.anyHost()
	if host.machine == nil {
		return
	}
	t.world.tracef("%s ends", host.name)
	end(host)
	t.during(t.span(), func() {
		t.world.tracef("%s starts", host.name)
		host.start()
	})
}

// terminate shuts a machine down gracefully, and starts it again when it has.
func (t *faultInjector) terminate() {
	host := t.world.anyHost()
	if host.machine == nil || host.frozen || host.onExit != nil {
		return
	}
	t.world.tracef("%s is told to end", host.name)
	t.active++ // from the signal on, so that all is well only when the machine is back
	host.terminate(func(bool) {
		t.active--
		t.during(t.span(), func() {
			t.world.tracef("%s starts", host.name)
			host.start()
		})
	})
}

func (t *faultInjector) freeze() {
	host := t.world.anyHost()
	if host.machine == nil || host.frozen {
		return
	}
	t.world.tracef("%s freezes", host.name)
	host.frozen = true
	life := host.incarnation
	t.during(t.span(), func() {
		if host.incarnation == life {
			t.world.tracef("%s thaws", host.name)
			host.thaw()
		}
	})
}

func (t *faultInjector) cut() {
	a := t.world.anyHost()
	b := t.world.anyHost()
	if a == b {
		return
	}
	oneWay := t.world.chance(0.4)
	t.world.tracef("cut %s %s one way: %v", a.name, b.name, oneWay)
	t.world.network.setBlocked(a, b, oneWay, true)
	t.during(t.span(), func() {
		t.world.tracef("joined %s %s", a.name, b.name)
		t.world.network.setBlocked(a, b, false, false)
	})
}

// isolate partitions one host, or several, from all others.
func (t *faultInjector) isolate() {
	living := t.world.remaining()
	t.world.random.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
	side := living[:1+t.world.random.IntN(len(living)/2)]
	rest := living[len(side):]
	oneWay := t.world.chance(0.3)
	set := func(blocked bool) {
		for _, a := range side {
			for _, b := range rest {
				t.world.network.setBlocked(a, b, oneWay && blocked, blocked)
			}
		}
	}
	t.world.tracef("isolated %s and %d more, one way: %v", side[0].name, len(side)-1, oneWay)
	set(true)
	t.during(t.span(), func() {
		t.world.tracef("together again")
		set(false)
	})
}

func (t *faultInjector) stall() {
	host := t.world.anyHost()
	t.world.tracef("disk of %s stalls", host.name)
	host.setStalled(true)
	t.during(t.span(), func() {
		t.world.tracef("disk of %s works", host.name)
		host.setStalled(false)
	})
}

func (t *faultInjector) fill() {
	host := t.world.anyHost()
	t.world.tracef("disk of %s is full", host.name)
	host.setFull(true)
	t.during(t.span(), func() {
		t.world.tracef("disk of %s has room", host.name)
		host.setFull(false)
	})
}

// restartAll kills all machines, or takes the power from all.
func (t *faultInjector) restartAll() {
	power := t.world.chance(0.5)
	t.world.tracef("all end, power: %v", power)
	for _, host := range t.world.remaining() {
		if power {
			host.losePower()
		} else if host.machine != nil {
			host.kill()
		}
		t.during(t.world.durationBetween(100*time.Millisecond, time.Second), host.start)
	}
}

// mayLoseDisk reports whether the fault budget allows another loss. Where losses overlap, a disk may be lost in the
// midst of other faults, but not a second one before the machines have been whole again.
func (t *faultInjector) mayLoseDisk() bool {
	calm := t.active == 0 && t.world.now-t.world.lastFaultEnd >= diskLossInterval
	if !t.world.plan.overlappingLosses {
		return calm
	}
	if calm && t.world.converged() {
		t.diskLossPending = false
	}
	return !t.diskLossPending
}

// loseDisk takes a disk, or a machine for good, perhaps while all others lose power.
func (t *faultInjector) loseDisk() {
	if !t.mayLoseDisk() && !t.world.plan.mutation.loseTwoDisks {
		return
	}
	t.diskLossPending = true
	host := t.world.anyHost()
	if t.world.chance(0.3) && len(t.world.hosts) < t.world.plan.machines+4 {
		t.replace(host)
		return
	}
	others := t.world.chance(0.4)
	t.world.tracef("%s loses its disk, others lose power: %v", host.name, others)
	if others {
		for _, other := range t.world.remaining() {
			if other != host {
				other.losePower()
				t.during(t.world.durationBetween(100*time.Millisecond, time.Second), other.start)
			}
		}
	}
	if t.world.chance(0.3) {
		host.corrupt()
	} else {
		host.wipe()
	}
	t.during(t.span(), host.start)
	if t.world.plan.mutation.loseTwoDisks {
		other := t.world.anyHost()
		other.wipe()
		t.during(t.span(), other.start)
	}
}

// replace removes a machine for good; another one starts elsewhere with an empty disk.
func (t *faultInjector) replace(host *host) {
	t.world.tracef("%s goes for good", host.name)
	host.removed = true
	host.wipe()
	t.during(t.span(), func() {
		added := t.world.addHost(false)
		t.world.tracef("%s is new", added.name)
		added.start()
	})
}

// heal ends all faults.
func (t *faultInjector) heal() {
	t.ended = true
	t.world.runUntil(10*time.Second, func() bool { return t.active == 0 })
	t.world.network.blocked = make(map[[2]int]bool)
	t.world.tracef("all is well")
}
