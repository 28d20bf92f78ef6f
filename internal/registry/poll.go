package registry

import (
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
	if inDuty && pollTolerances.Same(i.current.servers, servers, done.SentAt-i.current.readAt) {
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
