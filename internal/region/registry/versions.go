package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
)

const (
	// resendInterval is the minimum time between two sends of the complete list to machines that lag.
	resendInterval = 500 * time.Millisecond

	// initialResendInterval replaces resendInterval if the lagging machine has no list at all: it started after the
	// last send, and its agents are waiting.
	initialResendInterval = 100 * time.Millisecond
)

// AdvertisedVersion returns the version to advertise to the other control machines: the version of the current list, or
// only an epoch, without an owner, if a higher epoch was observed or if this machine is the owner but cannot confirm
// its list. A machine that can poll the platform then publishes under a higher epoch.
func (i *ServerInventory) AdvertisedVersion() *pb.ListVersion {
	if i.highestEpoch > i.current.Version().GetEpoch() || i.ownsStaleList(i.now) {
		return &pb.ListVersion{Epoch: i.highestEpoch}
	}
	return i.current.Version()
}

// receiveList adopts a list of another control machine, unless it is older than the current list or its epoch is lower
// than an observed one. A list of the current version confirms the current list, with or without servers.
func (i *ServerInventory) receiveList(now time.Duration, list *pb.ServerList) []Action {
	version := list.GetVersion()
	if version.GetEpoch() == 0 || version.GetEpoch() < i.highestEpoch {
		return nil
	}
	i.observeEpoch(version)
	readAt := now - time.Duration(list.GetAgeMs())*time.Millisecond
	difference := serverlist.CompareVersions(version, i.current.Version())
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

// observeVersion records the epoch of a version that another machine advertises. The owner sends the complete list
// again to control machines that lag, and handles versions above its own.
func (i *ServerInventory) observeVersion(now time.Duration, observed VersionObserved) []Action {
	i.observeEpoch(observed.Version)
	if i.current == nil && observed.Peer && observed.Version.GetHolder() != "" {
		i.epochAnnounced = true
	}
	if !i.IsOwner() {
		return nil
	}
	difference := serverlist.CompareVersions(observed.Version, i.current.version)
	if difference > 0 {
		return i.observeNewerVersion(now, observed)
	}
	interval := resendInterval
	if observed.Version.GetHolder() == "" {
		interval = initialResendInterval
	}
	if difference == 0 || !observed.Peer || now < i.lastSentAt+interval {
		return nil
	}
	// A stale list must not replace a list that was read later under a lower epoch, but it is useful to a machine that
	// has no list.
	if i.ownsStaleList(now) && observed.Version != nil {
		return nil
	}
	i.lastSentAt = now
	return []Action{SendList{List: i.current.Message(now)}}
}

// observeNewerVersion handles a version above that of this machine, which is the owner. If a control machine has a list
// of that version, that machine or a third one has taken over the role, and the list is in transit. Otherwise the
// version has outlived its owner, and this machine must publish a higher version. The list is polled now, since this
// machine may have been suspended and its own list may be outdated.
func (i *ServerInventory) observeNewerVersion(now time.Duration, observed VersionObserved) []Action {
	if observed.Peer && observed.Version.GetHolder() != "" {
		i.fencedByPeer = true
		return nil
	}
	if i.mustRaiseEpoch {
		return nil
	}
	i.mustRaiseEpoch = true
	return i.startPoll(now)
}

func (i *ServerInventory) observeEpoch(version *pb.ListVersion) {
	i.highestEpoch = max(i.highestEpoch, version.GetEpoch())
}
