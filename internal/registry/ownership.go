package registry

import (
	"slices"
	"time"
)

// trackFirstInOrder keeps the time since when this machine is the first in order while another one has the duty.
func (i *ServerInventory) trackFirstInOrder(now time.Duration) {
	first := len(i.liveHosts) > 0 && i.liveHosts[0] == i.self && !i.IsOwner()
	if first && !i.firstInOrder {
		i.firstInOrderSince = now
	}
	i.firstInOrder = first
}

// entitled reports whether this machine may read the list now.
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
	if i.firstInOrder && now >= i.firstInOrderSince+preemptionDelay {
		return true
	}
	return now >= i.current.confirmedAt+i.takeoverDelay()
}

// initialPollDelay is how long this machine listens after its start before it reads the list because it has none.
// Machines that start together read it together: the list under the highest epoch stays.
func (i *ServerInventory) initialPollDelay() time.Duration {
	if i.epochAnnounced {
		return startupGracePeriod + time.Duration(i.successionRank())*rankDelay
	}
	atOnce := max(1, int(i.rate/callsPerInitialPoll))
	return startupListenWindow + time.Duration(i.position/atOnce)*initialPollStagger
}

// patience is the age of the news at which this machine takes the duty over: the machines that come before it
// in order have the chance to do so earlier.
func (i *ServerInventory) takeoverDelay() time.Duration {
	return staleThreshold + time.Duration(i.successionRank())*rankDelay + i.jitter
}

// rank is the place of this machine in order. The one that let the news grow old does not count.
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

// ownsStaleList reports whether this machine has had the duty in vain for some time. Another machine may hold a list
// that was read later, under a lower epoch, if they were cut off from one another.
func (i *ServerInventory) ownsStaleList(now time.Duration) bool {
	return i.IsOwner() && now-i.current.confirmedAt >= staleThreshold
}

// IsOwner reports whether this machine has the duty, as far as it knows.
func (i *ServerInventory) IsOwner() bool {
	return i.current != nil && i.current.version.GetHolder() == i.self && !i.fencedByPeer
}

func (i *ServerInventory) drawJitter() {
	i.jitter = time.Duration(i.random.Int64N(int64(maxJitter)))
}
