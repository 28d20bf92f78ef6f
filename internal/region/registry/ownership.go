package registry

import (
	"slices"
	"time"
)

// Delays before a machine assumes the singleton role. Longer delays let the list grow older when an owner fails; with
// shorter delays two machines poll at the same time more often.
const (
	// startupListenWindow is the time after the start in which a machine without a list does not poll: a peer that has
	// a list sends it with its first heartbeat.
	startupListenWindow = 60 * time.Millisecond

	// startupGracePeriod is the time after the start for which a machine waits for a list that a peer has advertised,
	// and during which it does not take over the role.
	startupGracePeriod = time.Second

	// callsPerInitialPoll is the number of calls that the first poll of a machine is assumed to take. Right after the
	// listen window, as many machines poll at the same time as the platform's rate allows: a proxy serves no request
	// without a list, and a call costs less than one rejected request.
	callsPerInitialPoll = 10

	// initialPollStagger is the delay of the first poll between one group of machines and the next, in which the
	// earlier group can read the first list.
	initialPollStagger = 250 * time.Millisecond

	// staleThreshold is the age of the list from which other machines take over the role, after a further delay by rank
	// and jitter.
	staleThreshold = 2 * time.Second

	// rankDelay is the additional takeover delay of each machine compared to the machine before it in order.
	rankDelay = 700 * time.Millisecond

	// maxJitter is the upper bound of the random part of a takeover delay.
	maxJitter = 300 * time.Millisecond

	// preemptionDelay is the time for which a machine must be the first in order, while another machine is the owner,
	// before it takes the role back. The delay prevents a flapping machine from moving the role each time.
	preemptionDelay = 3 * time.Second
)

// IsOwner reports whether this machine has the singleton role, as far as it knows: it published the current list, and
// no peer is known to have a newer list.
func (i *ServerInventory) IsOwner() bool {
	return i.current != nil && i.current.version.GetHolder() == i.self && !i.fencedByPeer
}

// ownsStaleList reports whether this machine is the owner and has not confirmed its list for staleThreshold. A peer
// that was partitioned from this machine may then have a list that was read later, under a lower epoch.
func (i *ServerInventory) ownsStaleList(now time.Duration) bool {
	return i.IsOwner() && now-i.current.confirmedAt >= staleThreshold
}

// mayPoll reports whether this machine may poll now: it is the owner, or it is time for it to become the owner.
func (i *ServerInventory) mayPoll(now time.Duration) bool {
	if !slices.Contains(i.liveHosts, i.self) {
		return false
	}
	if i.IsOwner() {
		return true
	}
	if i.current == nil {
		return now >= i.startedAt+i.initialPollDelay()
	}
	if now < i.startedAt+startupGracePeriod {
		return false
	}
	if i.awaitsPreemption && now >= i.awaitsPreemptionSince+preemptionDelay {
		return true
	}
	return now >= i.current.confirmedAt+i.takeoverDelay()
}

// trackPreemption records the time since which this machine is the first in order without being the owner.
func (i *ServerInventory) trackPreemption(now time.Duration) {
	first := len(i.liveHosts) > 0 && i.liveHosts[0] == i.self && !i.IsOwner()
	if first && !i.awaitsPreemption {
		i.awaitsPreemptionSince = now
	}
	i.awaitsPreemption = first
}

// initialPollDelay returns the time after the start at which a machine without a list polls. Machines that start
// together poll in groups by their position; the list of the highest version wins.
func (i *ServerInventory) initialPollDelay() time.Duration {
	if i.epochAnnounced {
		return startupGracePeriod + time.Duration(i.successionRank())*rankDelay
	}
	groupSize := max(1, int(i.rate/callsPerInitialPoll))
	return startupListenWindow + time.Duration(i.position/groupSize)*initialPollStagger
}

// takeoverDelay returns the age of the list at which this machine takes over the role. The delay is shorter for
// machines that precede it in order.
func (i *ServerInventory) takeoverDelay() time.Duration {
	return staleThreshold + time.Duration(i.successionRank())*rankDelay + i.jitter
}

// successionRank returns the number of live machines that take over the role before this one. The owner is not counted,
// since it is the machine that has not confirmed its list.
func (i *ServerInventory) successionRank() int {
	rank := 0
	for _, host := range i.liveHosts {
		if host == i.self {
			break
		}
		if host != i.current.Version().GetHolder() {
			rank++
		}
	}
	return rank
}

func (i *ServerInventory) drawJitter() {
	i.jitter = time.Duration(i.random.Int64N(int64(maxJitter)))
}
