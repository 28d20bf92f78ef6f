package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Times and rates of polls. Each call to the platform incurs a cost, and all control machines together must stay far
// below the platform's rate.
const (
	// PollInterval is the time between two polls of the owner.
	PollInterval = time.Second

	// PollTimeout is the maximum time from the sending of the first call of a poll to the complete receipt of its last
	// response. The result of a longer poll is discarded.
	PollTimeout = 1500 * time.Millisecond

	// minInitialRetryDelay is the minimum delay before a machine without a list polls again. A random delay of up to
	// the same length is added.
	minInitialRetryDelay = 300 * time.Millisecond

	// maxTakeoverBackoff is the backoff interval at which doubling ends for a machine whose takeover polls fail.
	maxTakeoverBackoff = 2 * time.Second

	// rateDivisor is the divisor of the fraction of the platform's rate that a polling machine uses at most.
	rateDivisor = 3

	// partitionedRateDivisor is a further divisor of the rate for a machine without contact to a majority: each side of
	// a partition polls independently.
	partitionedRateDivisor = 4

	// initialEpochRange is the size of the range from which the first epoch is drawn.
	initialEpochRange = 1 << 32
)

// tick starts a poll if one is due.
func (i *ServerInventory) tick(now time.Duration) []Action {
	i.trackPreemption(now)
	if now < i.nextPollAt {
		return nil
	}
	return i.startPoll(now)
}

// startPoll starts a poll, if this machine may poll and none is in flight.
func (i *ServerInventory) startPoll(now time.Duration) []Action {
	if i.polling || !i.mayPoll(now) {
		return nil
	}
	i.polling = true
	// Late ticks must not lengthen the interval on average, and missed polls are not made up for.
	interval := i.pollInterval()
	i.nextPollAt = max(i.nextPollAt+interval, now+interval*3/4)
	return []Action{StartPoll{}}
}

// pollInterval returns the time between two polls. It is longer than PollInterval if the list has so many pages that
// polls would exceed the allowed fraction of the platform's rate, or if takeover polls of this machine have failed.
func (i *ServerInventory) pollInterval() time.Duration {
	interval := PollInterval
	if i.rate > 0 {
		divisor := rateDivisor
		if i.partitioned {
			divisor *= partitionedRateDivisor
		}
		seconds := float64(i.lastPages*divisor) / i.rate
		interval = max(interval, time.Duration(seconds*float64(time.Second)))
	}
	if i.IsOwner() {
		return interval
	}
	for range i.consecutiveFailures {
		if interval >= maxTakeoverBackoff {
			break
		}
		interval *= 2
	}
	return interval
}

// finishPoll processes the result of a poll. The list is published if it is complete and in time, and if this machine
// may still poll: a list of another machine that arrived in the meantime ends a takeover.
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

// publish makes the servers of a poll the current list. If this machine owns the highest epoch, an unchanged list is
// only confirmed, and a changed list is the next revision; otherwise the list starts a new epoch of this machine.
func (i *ServerInventory) publish(now time.Duration, done PollDone) []Action {
	servers := sortServers(done.Servers)
	ownsHighestEpoch := i.IsOwner() && !i.mustRaiseEpoch && i.current.version.GetEpoch() == i.highestEpoch
	if ownsHighestEpoch && pollTolerances.Same(i.current.servers, servers, done.SentAt-i.current.readAt) {
		i.current = i.current.confirmed(done.SentAt)
		return []Action{SendList{List: i.current.Confirmation(now)}}
	}
	version := &pb.ListVersion{Epoch: i.nextEpoch(), Holder: i.self, Revision: 1}
	if ownsHighestEpoch {
		version.Epoch = i.highestEpoch
		version.Revision = i.current.version.GetRevision() + 1
	}
	i.highestEpoch = version.Epoch
	i.lastSentAt = now
	i.setCurrent(&ServerList{version: version, servers: servers, readAt: done.SentAt, confirmedAt: done.SentAt})
	return []Action{ListChanged{}, SendList{List: i.current.Message(now)}}
}

// nextEpoch returns an epoch above every observed one. If no epoch has been observed since the start, it is drawn at
// random, so that it differs from the epochs before a restart of all control machines, from which agents may still have
// lists.
func (i *ServerInventory) nextEpoch() uint64 {
	if i.highestEpoch == 0 {
		return 1 + i.random.Uint64N(initialEpochRange)
	}
	return i.highestEpoch + 1
}
