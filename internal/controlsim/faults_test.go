package controlsim

import (
	"time"
)

// healing is how long after the last trouble a disk may be lost: what the fault budget calls lost includes
// machines that returned lately.
const healing = 4 * time.Second

// trouble is what may happen to a world.
type trouble struct {
	world  *world
	active int  // troubles under way
	ended  bool // no more troubles
	owed   bool // a disk was lost, and the machines have not been whole since; only where losses overlap
}

func (w *world) addTrouble() *trouble {
	trouble := &trouble{world: w}
	w.after(w.between(10*time.Millisecond, 3*time.Second), trouble.next)
	return trouble
}

func (t *trouble) next() {
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
		t.all()
	case 10:
		t.terminate()
	default:
		t.loseDisk()
	}
	if w.chance(0.25) {
		w.after(w.between(healing, healing+3*time.Second), t.afterCalm)
		return
	}
	w.after(w.between(50*time.Millisecond, 2500*time.Millisecond), t.next)
}

// afterCalm mostly takes a disk: a calm time is when the fault budget allows it.
func (t *trouble) afterCalm() {
	if !t.ended && t.world.chance(0.6) {
		t.loseDisk()
	}
	t.next()
}

// during runs begin now and end after a while.
func (t *trouble) during(span time.Duration, end func()) {
	t.active++
	t.world.after(span, func() {
		end()
		t.active--
		t.world.lastHurt = t.world.now
	})
}

// span is mostly short, now and then long.
func (t *trouble) span() time.Duration {
	if t.world.chance(0.3) {
		return t.world.between(time.Second, 6*time.Second)
	}
	return t.world.between(20*time.Millisecond, time.Second)
}

func (t *trouble) restart(end func(*host)) {
	host := t.world.anyHost()
	if host.machine == nil {
		return
	}
	t.world.note("%s ends", host.name)
	end(host)
	t.during(t.span(), func() {
		t.world.note("%s starts", host.name)
		host.start()
	})
}

// terminate tells a machine to end, and starts it again when it has.
func (t *trouble) terminate() {
	host := t.world.anyHost()
	if host.machine == nil || host.frozen || host.ended != nil {
		return
	}
	t.world.note("%s is told to end", host.name)
	t.active++ // from the signal on, so that all is well only when the machine is back
	host.terminate(func(bool) {
		t.active--
		t.during(t.span(), func() {
			t.world.note("%s starts", host.name)
			host.start()
		})
	})
}

func (t *trouble) freeze() {
	host := t.world.anyHost()
	if host.machine == nil || host.frozen {
		return
	}
	t.world.note("%s freezes", host.name)
	host.frozen = true
	life := host.life
	t.during(t.span(), func() {
		if host.life == life {
			t.world.note("%s thaws", host.name)
			host.thaw()
		}
	})
}

func (t *trouble) cut() {
	a := t.world.anyHost()
	b := t.world.anyHost()
	if a == b {
		return
	}
	oneWay := t.world.chance(0.4)
	t.world.note("cut %s %s one way: %v", a.name, b.name, oneWay)
	t.world.network.cut(a, b, oneWay, true)
	t.during(t.span(), func() {
		t.world.note("joined %s %s", a.name, b.name)
		t.world.network.cut(a, b, false, false)
	})
}

// isolate cuts one host, or several, from all others.
func (t *trouble) isolate() {
	living := t.world.living()
	t.world.random.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
	side := living[:1+t.world.random.IntN(len(living)/2)]
	rest := living[len(side):]
	oneWay := t.world.chance(0.3)
	set := func(blocked bool) {
		for _, a := range side {
			for _, b := range rest {
				t.world.network.cut(a, b, oneWay && blocked, blocked)
			}
		}
	}
	t.world.note("isolated %s and %d more, one way: %v", side[0].name, len(side)-1, oneWay)
	set(true)
	t.during(t.span(), func() {
		t.world.note("together again")
		set(false)
	})
}

func (t *trouble) stall() {
	host := t.world.anyHost()
	t.world.note("disk of %s stalls", host.name)
	host.setStalled(true)
	t.during(t.span(), func() {
		t.world.note("disk of %s works", host.name)
		host.setStalled(false)
	})
}

func (t *trouble) fill() {
	host := t.world.anyHost()
	t.world.note("disk of %s is full", host.name)
	host.setFull(true)
	t.during(t.span(), func() {
		t.world.note("disk of %s has room", host.name)
		host.setFull(false)
	})
}

// all kills all machines, or takes the power from all.
func (t *trouble) all() {
	power := t.world.chance(0.5)
	t.world.note("all end, power: %v", power)
	for _, host := range t.world.living() {
		if power {
			host.losePower()
		} else if host.machine != nil {
			host.kill()
		}
		t.during(t.world.between(100*time.Millisecond, time.Second), host.start)
	}
}

// mayLoseDisk reports whether the fault budget allows another loss. Where losses overlap, a disk may be lost in the
// midst of other troubles, but not a second one before the machines have been whole again.
func (t *trouble) mayLoseDisk() bool {
	calm := t.active == 0 && t.world.now-t.world.lastHurt >= healing
	if !t.world.plan.overlapping {
		return calm
	}
	if calm && t.world.converged() {
		t.owed = false
	}
	return !t.owed
}

// loseDisk takes a disk, or a machine for good, perhaps while all others lose power.
func (t *trouble) loseDisk() {
	if !t.mayLoseDisk() && !t.world.plan.mutation.wipeTwo {
		return
	}
	t.owed = true
	host := t.world.anyHost()
	if t.world.chance(0.3) && len(t.world.hosts) < t.world.plan.machines+4 {
		t.replace(host)
		return
	}
	others := t.world.chance(0.4)
	t.world.note("%s loses its disk, others lose power: %v", host.name, others)
	if others {
		for _, other := range t.world.living() {
			if other != host {
				other.losePower()
				t.during(t.world.between(100*time.Millisecond, time.Second), other.start)
			}
		}
	}
	if t.world.chance(0.3) {
		host.corrupt()
	} else {
		host.wipe()
	}
	t.during(t.span(), host.start)
	if t.world.plan.mutation.wipeTwo {
		other := t.world.anyHost()
		other.wipe()
		t.during(t.span(), other.start)
	}
}

// replace takes a machine away for good; another one starts elsewhere with an empty disk.
func (t *trouble) replace(host *host) {
	t.world.note("%s goes for good", host.name)
	host.gone = true
	host.wipe()
	t.during(t.span(), func() {
		added := t.world.addHost(false)
		t.world.note("%s is new", added.name)
		added.start()
	})
}

// heal ends all troubles.
func (t *trouble) heal() {
	t.ended = true
	t.world.runUntil(10*time.Second, func() bool { return t.active == 0 })
	t.world.network.blocked = make(map[[2]int]bool)
	t.world.note("all is well")
}
