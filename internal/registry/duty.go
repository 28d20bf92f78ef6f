package registry

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// tick starts a reading when this machine has the duty, or has to take it, and the time has come.
func (i *ServerInventory) tick(now time.Duration) []Action {
	i.trackFirstInOrder(now)
	if now < i.nextPollAt {
		return nil
	}
	return i.startPoll(now)
}

// startPoll starts a reading if this machine is entitled to it and none is under way.
func (i *ServerInventory) startPoll(now time.Duration) []Action {
	if i.polling || !i.mayPoll(now) {
		return nil
	}
	i.polling = true
	// Late ticks must not stretch the period; readings that were long overdue are not made up for.
	period := i.pollInterval()
	i.nextPollAt = max(i.nextPollAt+period, now+period*3/4)
	return []Action{StartPoll{}}
}

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

// period is the time between two readings: longer than PollInterval if the list has so many pages that the
// platform's rate would be used up, or if this machine tries to take the duty over without success.
func (i *ServerInventory) pollInterval() time.Duration {
	period := PollInterval
	if i.rate > 0 {
		share := rateDivisor
		if i.partitioned {
			share *= partitionedRateDivisor
		}
		seconds := float64(i.lastPages*share) / i.rate
		period = max(period, time.Duration(seconds*float64(time.Second)))
	}
	if i.IsOwner() {
		return period
	}
	for range i.consecutiveFailures {
		if period >= maxTakeoverBackoff {
			break
		}
		period *= 2
	}
	return period
}

// finishPoll takes the result of a reading: if it is good and this machine is still entitled to it, it is
// published under an epoch of this machine.
func (i *ServerInventory) finishPoll(now time.Duration, done PollDone) []Action {
	if !i.polling {
		return nil
	}
	i.polling = false
	if done.Pages > 0 {
		i.lastPages = done.Pages
	}
	if done.Failed || len(done.Servers) == 0 || now-done.SentAt > PollTimeout {
		i.consecutiveFailures++
		if i.current == nil {
			i.nextPollAt = now + minInitialRetryDelay + time.Duration(i.random.Int64N(int64(minInitialRetryDelay)))
		}
		return nil
	}
	i.consecutiveFailures = 0
	if !i.mayPoll(now) {
		return nil
	}
	return i.publish(now, done)
}

// publish makes the servers that were read the current list, or only confirms the current one if it says the
// same.
func (i *ServerInventory) publish(now time.Duration, done PollDone) []Action {
	servers := sortServers(done.Servers)
	inDuty := i.IsOwner() && !i.newerVersionAtAgent && i.current.version.GetEpoch() == i.highestEpoch
	if inDuty && sameServers(i.current.servers, servers, done.SentAt-i.current.readAt) {
		i.current = i.current.confirmed(done.SentAt)
		return []Action{SendList{List: i.current.Confirmation(now)}}
	}
	version := &pb.ListVersion{Epoch: i.nextEpoch(), Holder: i.self, Revision: 1}
	if inDuty {
		version.Epoch = i.highestEpoch
		version.Revision = i.current.version.GetRevision() + 1
	}
	i.highestEpoch = version.Epoch
	i.lastSentAt = now
	i.setCurrent(&ServerList{version: version, servers: servers, readAt: done.SentAt, confirmedAt: done.SentAt})
	return []Action{ListChanged{}, SendList{List: i.current.Message(now)}}
}

// nextEpoch returns an epoch higher than any seen. The first of a life in which none was seen is drawn at
// random, so that it is not one of an earlier life of all control machines: agents may still hold its list.
func (i *ServerInventory) nextEpoch() uint64 {
	if i.highestEpoch == 0 {
		return 1 + i.random.Uint64N(initialEpochRange)
	}
	return i.highestEpoch + 1
}

// replace puts a newer list in place.
func (i *ServerInventory) setCurrent(list *ServerList) {
	i.current = list
	i.fencedByPeer = false
	i.newerVersionAtAgent = false
	i.drawJitter()
}

// receiveList takes a list of another control machine unless it is older than the current one or of an epoch
// that has been replaced.
func (i *ServerInventory) receiveList(now time.Duration, list *pb.ServerList) []Action {
	version := list.GetVersion()
	if version.GetEpoch() == 0 || version.GetEpoch() < i.highestEpoch {
		return nil
	}
	i.observeEpoch(version)
	readAt := now - time.Duration(list.GetAgeMs())*time.Millisecond
	difference := CompareVersions(version, i.current.Version())
	if difference == 0 {
		i.current = i.current.confirmed(readAt)
		return nil
	}
	if difference < 0 || len(list.GetServers()) == 0 {
		return nil
	}
	i.setCurrent(&ServerList{version: version, servers: list.GetServers(), readAt: readAt, confirmedAt: readAt})
	return []Action{ListChanged{}}
}

// observeVersion learns epochs; in the duty it sends the whole list again to control machines that lag.
func (i *ServerInventory) observeVersion(now time.Duration, seen VersionObserved) []Action {
	i.observeEpoch(seen.Version)
	if i.current == nil && seen.Peer && seen.Version.GetHolder() != "" {
		i.epochAnnounced = true
	}
	if !i.IsOwner() {
		return nil
	}
	difference := CompareVersions(seen.Version, i.current.version)
	if difference > 0 {
		return i.observeNewerVersion(now, seen)
	}
	pause := resendInterval
	if seen.Version.GetHolder() == "" {
		pause = initialResendInterval
	}
	if difference == 0 || !seen.Peer || now < i.lastSentAt+pause {
		return nil
	}
	if i.ownsStaleList(now) && seen.Version != nil {
		return nil
	}
	i.lastSentAt = now
	return []Action{SendList{List: i.current.Message(now)}}
}

// ownsStaleList reports whether this machine has had the duty in vain for some time. Another machine may hold a list
// that was read later, under a lower epoch, if they were cut off from one another.
func (i *ServerInventory) ownsStaleList(now time.Duration) bool {
	return i.IsOwner() && now-i.current.confirmedAt >= staleThreshold
}

// observeNewerVersion takes note that someone holds a version above that of this machine, which has the duty. If it is
// another control machine, that one or a third one took the duty over and its list is under way. Otherwise it
// is a version that outlived its holder, and this machine has to go above it: with a list that it reads now, for
// it may have been this machine that slept.
func (i *ServerInventory) observeNewerVersion(now time.Duration, seen VersionObserved) []Action {
	if seen.Peer && seen.Version.GetHolder() != "" {
		i.fencedByPeer = true
		return nil
	}
	if i.newerVersionAtAgent {
		return nil
	}
	i.newerVersionAtAgent = true
	return i.startPoll(now)
}
