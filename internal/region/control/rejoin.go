package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// Backoff of machines that were removed from the chain.
const (
	// minRejoinBackoff is how long a machine that was removed from the chain stays outside. The backoff doubles with
	// each removal up to maxRejoinBackoff, and is reset after rejoinBackoffReset without a removal.
	minRejoinBackoff   = time.Second
	maxRejoinBackoff   = 16 * time.Second
	rejoinBackoffReset = time.Minute
)

// rejoinBackoff keeps a machine that fails repeatedly from changing the chain each time, since each change of the chain
// delays orders.
type rejoinBackoff struct {
	clock    *clock
	removals map[string]removal // last removal of each removed machine, by identity
}

// removal records the number of times that a machine was removed from the chain, and the time of the last removal.
type removal struct {
	count int
	at    time.Duration
}

// mayRejoin reports whether the backoff of a machine that was removed from the chain has passed.
func (r *rejoinBackoff) mayRejoin(identity string) bool {
	last, known := r.removals[identity]
	if !known {
		return true
	}
	backoff := min(minRejoinBackoff<<min(last.count-1, 10), maxRejoinBackoff)
	return r.clock.now-last.at >= backoff
}

// observeChange records the machines that a new view removed from the chain, except those that are leaving.
func (r *rejoinBackoff) observeChange(before, after *pb.View, isLeaving func(identity string) bool) {
	for identity, last := range r.removals {
		if r.clock.now-last.at > rejoinBackoffReset {
			delete(r.removals, identity)
		}
	}
	for _, member := range before.GetChain() {
		identity := member.GetIdentity()
		if quorum.IndexOf(after.GetChain(), identity) != quorum.NotFound || isLeaving(identity) {
			continue
		}
		r.removals[identity] = removal{count: r.removals[identity].count + 1, at: r.clock.now}
	}
}
