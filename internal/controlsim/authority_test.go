package controlsim

import (
	"time"

	"fieldrelay/internal/control"
)

const (
	// authorityPeriod is the time between two looks at what the machines claim.
	authorityPeriod = 25 * time.Millisecond
	// authorityAge is how long after its acknowledgement a configuration may be missing in the state that a
	// machine calls authoritative, where messages are on their way for authorityTravel at most.
	authorityAge    = control.FailureTimeout + authorityTravel
	authorityTravel = 300 * time.Millisecond
	// longestLinger is the longest delay of messages in networks that hold some of them up.
	longestLinger = 3 * time.Second
)

// authorityWatch looks at what agents would be told: a machine that claims to hold the agreed state must hold
// what was acknowledged some time before.
type authorityWatch struct {
	world   *world
	acked   []ackedAt // rising
	limit   time.Duration
	claims  int // looked at
	longest time.Duration
}

// ackedAt is a generation and when it was first seen to be acknowledged.
type ackedAt struct {
	generation uint64
	at         time.Duration
}

func (w *world) watchAuthority() *authorityWatch {
	watch := &authorityWatch{world: w, limit: authorityAge}
	if w.network.linger > 0 {
		watch.limit += longestLinger
	}
	watch.look()
	return watch
}

func (a *authorityWatch) look() {
	newest := a.world.checker.newestAcked
	if len(a.acked) == 0 || a.acked[len(a.acked)-1].generation < newest {
		a.acked = append(a.acked, ackedAt{generation: newest, at: a.world.now})
	}
	for _, host := range a.world.living() {
		if host.machine != nil && !host.frozen && host.machine.Authoritative() {
			a.claim(host)
		}
	}
	a.world.after(authorityPeriod, a.look)
}

// claim checks one machine's claim.
func (a *authorityWatch) claim(host *host) {
	a.claims++
	held := host.machine.Committed().Generation()
	missing := a.firstAbove(held)
	if missing == nil {
		return
	}
	stale := a.world.now - missing.at
	a.longest = max(a.longest, stale)
	if stale > a.limit {
		a.world.checker.fail("%s claims to hold the agreed state with generation %d, %d was acknowledged %v before",
			host.name, held, missing.generation, stale)
	}
}

// firstAbove is the oldest acknowledgement of a later generation; nil if there is none.
func (a *authorityWatch) firstAbove(generation uint64) *ackedAt {
	for index := len(a.acked) - 1; index >= 0; index-- {
		if a.acked[index].generation > generation {
			continue
		}
		if index+1 < len(a.acked) {
			return &a.acked[index+1]
		}
		return nil
	}
	return nil
}
