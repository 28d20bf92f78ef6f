package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/serverlist"
)

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

// observeEpoch remembers the highest epoch.
func (i *ServerInventory) observeEpoch(version *pb.ListVersion) {
	i.highestEpoch = max(i.highestEpoch, version.GetEpoch())
}

// CompareVersions orders server lists, see serverlist.CompareVersions.
func CompareVersions(first, second *pb.ListVersion) int {
	return serverlist.CompareVersions(first, second)
}
