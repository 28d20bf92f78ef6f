package controlsim

import (
	"time"

	"fieldrelay/internal/control"
)

// watchObstacle has the run's obstacle come when the member is answered with the state, or writes a snapshot.
func (w *farWorld) watchObstacle() {
	w.hooks.onSend = func(from *host, send control.Send) bool {
		if w.byPeer[send.Address] != w.member || send.Message.GetSyncResponse() == nil {
			return true
		}
		return w.atAnswer(from)
	}
	if w.far.obstacle == obstacleTorn {
		w.hooks.onPersist = func(host *host, write control.Persist) {
			if host == w.member && write.Snapshot != nil && !w.struck {
				w.strike(func() { w.tear(host) })
			}
		}
	}
}

// met is the obstacle that came indeed: a member that needs no state is not answered with one.
func (w *farWorld) met() obstacle {
	if w.struck || w.lost > 0 {
		return w.far.obstacle
	}
	return obstacleNone
}

// strike has the obstacle come once, after the step that is under way.
func (w *farWorld) strike(do func()) {
	w.struck = true
	w.after(0, do)
}

// lostAnswers is the number of answers that are lost one after the other.
const lostAnswers = 3

func (w *farWorld) atAnswer(from *host) bool {
	if w.far.obstacle == obstacleLost && w.lost < lostAnswers {
		w.lost++
		w.calm = w.now
		return false
	}
	if w.struck {
		return true
	}
	switch w.far.obstacle {
	case obstacleSourceKilled:
		w.strike(func() { w.restart(from, (*host).kill) })
		return false
	case obstacleSourceGone:
		w.strike(func() { w.replace(from) })
		return false
	case obstacleAllKilled:
		w.strike(func() { w.restartAll((*host).kill) })
	case obstacleAllPower:
		w.strike(func() { w.restartAll((*host).losePower) })
	}
	return true
}

func (w *farWorld) tear(host *host) {
	if host.tearSnapshot() {
		w.note("%s loses power in a snapshot", host.name)
		w.startSoon(host)
	}
}

// startSoon starts a process that has ended; until then its trouble lasts.
func (w *farWorld) startSoon(host *host) {
	w.after(w.between(100*time.Millisecond, time.Second), func() {
		w.calm = w.now
		host.start()
	})
}

func (w *farWorld) restart(host *host, end func(*host)) {
	if host.machine == nil {
		return
	}
	w.note("%s ends", host.name)
	end(host)
	w.startSoon(host)
}

func (w *farWorld) restartAll(end func(*host)) {
	for _, host := range w.living() {
		w.restart(host, end)
	}
	for _, restore := range w.restores {
		restore()
	}
}

// replace takes a machine away for good; another one starts soon.
func (w *farWorld) replace(host *host) {
	w.note("%s goes for good", host.name)
	host.gone = true
	host.wipe()
	w.startSoon(w.addHost(false))
}
