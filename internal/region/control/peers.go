package control

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

const (
	// FailureTimeout is the time without a message from a peer after which the peer is suspected to have failed.
	FailureTimeout = 1200 * time.Millisecond
	// peerRetention is how long a peer that is not a voter stays in the table after its last message.
	peerRetention = 30 * time.Second
	// maxPeers bounds the table of peers.
	maxPeers = 64
	// stableAfter is how long a peer must have been live before it is added to a chain that already has enough
	// members.
	stableAfter = time.Second
)

// peer is what this machine knows about another control machine.
type peer struct {
	replica     *pb.Replica // the newest description that the peer sent of itself
	lastContact time.Duration
	liveSince   time.Duration
	heartbeat   *pb.Heartbeat // last heartbeat received; nil before the first
	// lastPromptHeartbeat is the time of the last heartbeat that had not waited while this process was stalled.
	lastPromptHeartbeat time.Duration
	// leavingIncarnation is the last incarnation of the peer that announced its graceful shutdown; 0: there is none.
	leavingIncarnation uint64
}

// acceptHeartbeat stores a heartbeat. It returns false for a heartbeat that was sent before one already stored: an
// incarnation that has announced its shutdown never withdraws the announcement, and sends nothing after the next
// incarnation has started.
//
// A machine that restarts after a graceful shutdown counts as stable at once, so that it can serve in the chain as soon
// as it is synchronized.
func (p *peer) acceptHeartbeat(heartbeat *pb.Heartbeat, now time.Duration, delayed bool) bool {
	incarnation := heartbeat.GetIncarnation()
	if p.leavingIncarnation != 0 && incarnation == p.leavingIncarnation {
		hasReturned := p.heartbeat.GetIncarnation() != p.leavingIncarnation
		if hasReturned || !heartbeat.GetLeaving() {
			return false
		}
	}
	if p.heartbeat.GetLeaving() && incarnation != p.leavingIncarnation {
		p.liveSince = now - stableAfter
	}
	if heartbeat.GetLeaving() {
		p.leavingIncarnation = incarnation
	}
	p.heartbeat = heartbeat
	if !delayed {
		p.lastPromptHeartbeat = now
	}
	return true
}

// peerTable is the failure detector: it records the messages of the other machines, and suspects the machines that have
// sent none within FailureTimeout. A suspicion only causes proposals of views and rejections of orders; the guarantees
// for orders do not depend on it.
type peerTable struct {
	clock *clock
	local *localMachine
	known map[string]*peer // the other machines, by identity
}

// observe records a message of a machine. If the table is full, it returns a peer that is not stored.
func (t *peerTable) observe(replica *pb.Replica) *peer {
	now := t.clock.now
	found, known := t.known[replica.GetIdentity()]
	if !known {
		if len(t.known) >= maxPeers {
			return &peer{replica: replica, lastContact: now}
		}
		found = &peer{liveSince: now}
		t.known[replica.GetIdentity()] = found
	} else if now-found.lastContact > FailureTimeout {
		found.liveSince = now
	}
	found.replica = replica
	found.lastContact = now
	return found
}

// compensateStall moves each last contact forward by the duration of a stall of this process, since the peers' messages
// could not be handled in that time.
func (t *peerTable) compensateStall(gap time.Duration) {
	for _, found := range t.known {
		found.lastContact = min(found.lastContact+gap, t.clock.now)
	}
}

// expire removes machines that are not voters and have sent nothing for peerRetention.
func (t *peerTable) expire(view *pb.View) {
	for identity, found := range t.known {
		votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
		if !votes && t.clock.now-found.lastContact > peerRetention {
			delete(t.known, identity)
		}
	}
}

// identities lists the known peers in sorted order, which is the same in each run.
func (t *peerTable) identities() []string { return sortedKeys(t.known) }

// isLive reports whether a machine is not suspected to have failed. This machine always counts as live.
func (t *peerTable) isLive(identity string) bool {
	if identity == t.local.identity() {
		return true
	}
	found, known := t.known[identity]
	return known && t.clock.now-found.lastContact <= FailureTimeout
}

// sinceContact returns the time since the last message of a machine. For an unknown machine, it returns the time since
// this machine started.
func (t *peerTable) sinceContact(identity string) time.Duration {
	if identity == t.local.identity() {
		return 0
	}
	found, known := t.known[identity]
	if !known {
		return t.clock.uptime()
	}
	return t.clock.now - found.lastContact
}

// liveVoters lists the live voters of a view, in the order of the view.
func (t *peerTable) liveVoters(view *pb.View) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(view.GetVoters()), func(voter *pb.Replica) bool {
		return !t.isLive(voter.GetIdentity())
	})
}

// hasMajority reports whether a majority of the voters of a view is live; false without a view.
func (t *peerTable) hasMajority(view *pb.View) bool {
	return view != nil && len(t.liveVoters(view)) >= quorum.Majority(view)
}

// heartbeatsWithin counts the replicas of which a heartbeat arrived within FailureTimeout without waiting for a stalled
// process; this machine counts as one of them. Unlike isLive, it makes no allowance for a stall of this process.
func (t *peerTable) heartbeatsWithin(replicas []*pb.Replica) int {
	count := 0
	for _, replica := range replicas {
		found, known := t.known[replica.GetIdentity()]
		prompt := known && found.heartbeat != nil && t.clock.now-found.lastPromptHeartbeat <= FailureTimeout
		if prompt || t.local.is(replica) {
			count++
		}
	}
	return count
}

// addressOf returns the address of a replica's peer service. An address that the replica itself sent takes precedence
// over its address in the view.
func (t *peerTable) addressOf(replica *pb.Replica) string {
	if found, known := t.known[replica.GetIdentity()]; known {
		return found.replica.GetAddress()
	}
	return replica.GetAddress()
}

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
