package registry

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// tick starts a reading when this machine has the duty, or has to take it, and the time has come.
func (i *ServerInventory) tick(now time.Duration) []Action {
	i.noteFirst(now)
	if now < i.nextPoll {
		return nil
	}
	return i.startPoll(now)
}

// startPoll starts a reading if this machine is entitled to it and none is under way.
func (i *ServerInventory) startPoll(now time.Duration) []Action {
	if i.polling || !i.entitled(now) {
		return nil
	}
	i.polling = true
	// Late ticks must not stretch the period; readings that were long overdue are not made up for.
	period := i.period()
	i.nextPoll = max(i.nextPoll+period, now+period*3/4)
	return []Action{StartPoll{}}
}

// noteFirst keeps the time since when this machine is the first in order while another one has the duty.
func (i *ServerInventory) noteFirst(now time.Duration) {
	first := len(i.order) > 0 && i.order[0] == i.self && !i.IsOwner()
	if first && !i.isFirst {
		i.firstSince = now
	}
	i.isFirst = first
}

// entitled reports whether this machine may read the list now.
func (i *ServerInventory) entitled(now time.Duration) bool {
	if !slices.Contains(i.order, i.self) {
		return false
	}
	if i.IsOwner() {
		return true
	}
	if i.current == nil {
		return now >= i.startedAt+i.firstWait()
	}
	if now < i.startedAt+settling {
		return false
	}
	if i.isFirst && now >= i.firstSince+preemptAfter {
		return true
	}
	return now >= i.current.news+i.patience()
}

// firstWait is how long this machine listens after its start before it reads the list because it has none.
// Machines that start together read it together: the list under the highest epoch stays.
func (i *ServerInventory) firstWait() time.Duration {
	if i.promised {
		return settling + time.Duration(i.rank())*rankWait
	}
	atOnce := max(1, int(i.rate/firstReadingCalls))
	return introduction + time.Duration(i.place/atOnce)*firstReadersWait
}

// patience is the age of the news at which this machine takes the duty over: the machines that come before it
// in order have the chance to do so earlier.
func (i *ServerInventory) patience() time.Duration {
	return staleAfter + time.Duration(i.rank())*rankWait + i.jitter
}

// rank is the place of this machine in order. The one that let the news grow old does not count.
func (i *ServerInventory) rank() int {
	rank := 0
	for _, host := range i.order {
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
func (i *ServerInventory) period() time.Duration {
	period := PollInterval
	if i.rate > 0 {
		share := rateShare
		if i.apart {
			share *= apartShare
		}
		seconds := float64(i.lastPages*share) / i.rate
		period = max(period, time.Duration(seconds*float64(time.Second)))
	}
	if i.IsOwner() {
		return period
	}
	for range i.failures {
		if period >= slowestPeriod {
			break
		}
		period *= 2
	}
	return period
}

// pollDone takes the result of a reading: if it is good and this machine is still entitled to it, it is
// published under an epoch of this machine.
func (i *ServerInventory) pollDone(now time.Duration, done PollDone) []Action {
	if !i.polling {
		return nil
	}
	i.polling = false
	if done.Pages > 0 {
		i.lastPages = done.Pages
	}
	if done.Failed || len(done.Servers) == 0 || now-done.SentAt > PollTimeout {
		i.failures++
		if i.current == nil {
			i.nextPoll = now + firstRetry + time.Duration(i.random.Int64N(int64(firstRetry)))
		}
		return nil
	}
	i.failures = 0
	if !i.entitled(now) {
		return nil
	}
	return i.publish(now, done)
}

// publish makes the servers that were read the current list, or only confirms the current one if it says the
// same.
func (i *ServerInventory) publish(now time.Duration, done PollDone) []Action {
	servers := sortServers(done.Servers)
	inDuty := i.IsOwner() && !i.overtaken && i.current.version.GetEpoch() == i.highest
	if inDuty && sameServers(i.current.servers, servers, done.SentAt-i.current.readAt) {
		i.current = i.current.confirmed(done.SentAt)
		return []Action{SendList{List: i.current.Confirmation(now)}}
	}
	version := &pb.ListVersion{Epoch: i.newEpoch(), Holder: i.self, Revision: 1}
	if inDuty {
		version.Epoch = i.highest
		version.Revision = i.current.version.GetRevision() + 1
	}
	i.highest = version.Epoch
	i.sentAt = now
	i.replace(&ServerList{version: version, servers: servers, readAt: done.SentAt, news: done.SentAt})
	return []Action{ListChanged{}, SendList{List: i.current.Message(now)}}
}

// newEpoch returns an epoch higher than any seen. The first of a life in which none was seen is drawn at
// random, so that it is not one of an earlier life of all control machines: agents may still hold its list.
func (i *ServerInventory) newEpoch() uint64 {
	if i.highest == 0 {
		return 1 + i.random.Uint64N(firstEpochs)
	}
	return i.highest + 1
}

// replace puts a newer list in place.
func (i *ServerInventory) replace(list *ServerList) {
	i.current = list
	i.fenced = false
	i.overtaken = false
	i.drawJitter()
}

// listReceived takes a list of another control machine unless it is older than the current one or of an epoch
// that has been replaced.
func (i *ServerInventory) listReceived(now time.Duration, list *pb.ServerList) []Action {
	version := list.GetVersion()
	if version.GetEpoch() == 0 || version.GetEpoch() < i.highest {
		return nil
	}
	i.seeEpoch(version)
	readAt := now - time.Duration(list.GetAgeMs())*time.Millisecond
	difference := CompareVersions(version, i.current.Version())
	if difference == 0 {
		i.current = i.current.confirmed(readAt)
		return nil
	}
	if difference < 0 || len(list.GetServers()) == 0 {
		return nil
	}
	i.replace(&ServerList{version: version, servers: list.GetServers(), readAt: readAt, news: readAt})
	return []Action{ListChanged{}}
}

// versionSeen learns epochs; in the duty it sends the whole list again to control machines that lag.
func (i *ServerInventory) versionSeen(now time.Duration, seen VersionObserved) []Action {
	i.seeEpoch(seen.Version)
	if i.current == nil && seen.Peer && seen.Version.GetHolder() != "" {
		i.promised = true
	}
	if !i.IsOwner() {
		return nil
	}
	difference := CompareVersions(seen.Version, i.current.version)
	if difference > 0 {
		return i.seeHigher(now, seen)
	}
	pause := resendEvery
	if seen.Version.GetHolder() == "" {
		pause = resendFirst
	}
	if difference == 0 || !seen.Peer || now < i.sentAt+pause {
		return nil
	}
	if i.isStale(now) && seen.Version != nil {
		return nil
	}
	i.sentAt = now
	return []Action{SendList{List: i.current.Message(now)}}
}

// isStale reports whether this machine has had the duty in vain for some time. Another machine may hold a list
// that was read later, under a lower epoch, if they were cut off from one another.
func (i *ServerInventory) isStale(now time.Duration) bool {
	return i.IsOwner() && now-i.current.news >= staleAfter
}

// seeHigher takes note that someone holds a version above that of this machine, which has the duty. If it is
// another control machine, that one or a third one took the duty over and its list is under way. Otherwise it
// is a version that outlived its holder, and this machine has to go above it: with a list that it reads now, for
// it may have been this machine that slept.
func (i *ServerInventory) seeHigher(now time.Duration, seen VersionObserved) []Action {
	if seen.Peer && seen.Version.GetHolder() != "" {
		i.fenced = true
		return nil
	}
	if i.overtaken {
		return nil
	}
	i.overtaken = true
	return i.startPoll(now)
}
