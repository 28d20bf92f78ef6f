package controlsim

import (
	"time"
)

// farWorld is a world while a far run is under way.
type farWorld struct {
	*world
	far      far
	writer   *writer
	member   *host
	struck   bool          // the obstacle has come
	lost     int           // answers that were lost
	restores []func()      // put the disks back, for a planted fault
	calm     time.Duration // when the member returned, or the last trouble on its way ended
	caught   time.Duration // what it needed from then on
}

// playFar runs a world and returns it with the checker's findings.
func playFar(run far) *farWorld {
	w := &farWorld{world: newWorld(run.plan), far: run}
	w.writer = w.addWriter(run.routes)
	if !w.reach(beforeAbsence, firstChangesWithin) {
		return w
	}
	w.member = w.anyMember()
	w.addReader()
	w.leave()
	if !w.reach(run.distance, time.Duration(run.distance)*changeWithin) {
		return w
	}
	w.plan.restless = 0
	w.comeBack()
	w.writer.ended = true
	w.run(operatorPatience)
	w.network.blocked = make(map[[2]int]bool)
	w.checkLiveness()
	w.checker.finish()
	return w
}

// reach lets so many more changes be committed.
func (w *farWorld) reach(count uint64, limit time.Duration) bool {
	target := w.checker.last + count
	if w.runUntil(limit, func() bool { return w.checker.last >= target }) {
		return true
	}
	w.checker.fail("%d changes are missing after %v", target-w.checker.last, limit)
	return false
}

// anyMember is one of the voters, in the chain or not.
func (w *farWorld) anyMember() *host { return w.hosts[w.random.IntN(w.plan.machines)] }

func (w *farWorld) leave() {
	if w.plan.mutation.oldDisks {
		for _, host := range w.hosts {
			w.restores = append(w.restores, host.disk.Save())
		}
	}
	w.note("%s is away: %v", w.member.name, w.far.absence)
	switch member := w.member; w.far.absence {
	case absentKilled:
		member.kill()
	case absentPower:
		member.losePower()
	case absentFrozen:
		member.frozen = true
	case absentCut, absentDeaf, absentMute:
		w.setCut(true)
	case absentFull:
		member.setFull(true)
	case absentStalled:
		member.setStalled(true)
	case absentWiped:
		member.wipe()
	case absentCorrupt:
		member.corrupt()
	case absentLeft:
		member.terminate(func(bool) {})
	}
}

func (w *farWorld) setCut(blocked bool) {
	for _, other := range w.hosts {
		if other == w.member {
			continue
		}
		if w.far.absence != absentMute {
			w.network.cut(other, w.member, true, blocked)
		}
		if w.far.absence != absentDeaf {
			w.network.cut(w.member, other, true, blocked)
		}
	}
}

// comeBack ends the absence and measures how long the member needs for what was committed when it returned.
func (w *farWorld) comeBack() {
	target := w.checker.last
	w.writer.ended = !w.far.busy
	w.watchObstacle()
	w.calm = w.now
	w.note("%s is back", w.member.name)
	switch member := w.member; w.far.absence {
	case absentKilled, absentPower, absentWiped, absentCorrupt, absentLeft:
		member.start()
	case absentFrozen:
		member.thaw()
	case absentCut, absentDeaf, absentMute:
		w.setCut(false)
	case absentFull:
		member.setFull(false)
	case absentStalled:
		member.setStalled(false)
	}
	if !w.runUntil(time.Minute, func() bool { return w.holds(target) }) {
		w.checker.fail("%s has not caught up within a minute", w.member.name)
	}
	if w.caught = w.now - w.calm; w.caught > w.far.limit() {
		w.checker.fail("%s has caught up after %v", w.member.name, w.caught)
	}
	w.hooks = hooks{}
}

func (w *farWorld) holds(target uint64) bool {
	machine := w.member.machine
	return machine != nil && machine.Committed() != nil && machine.Committed().Sequence() >= target
}
