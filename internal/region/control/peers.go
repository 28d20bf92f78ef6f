package control

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

const (
	// FailureTimeout is the time without a message from a peer after which it is suspected to have failed.
	FailureTimeout = 1200 * time.Millisecond
	// peerRetention is how long a peer that does not vote is remembered after its last message.
	peerRetention = 30 * time.Second
	// maxPeers bounds the table of peers.
	maxPeers = 64
	// stableAfter is how long a peer must have been live before it is added to the chain without need.
	stableAfter = time.Second
)

// peer is what is known of another control machine.
type peer struct {
	replica     *pb.Replica // as the peer described itself last
	lastContact time.Duration
	liveSince   time.Duration
	heartbeat   *pb.Heartbeat // the last one; nil before the first
	// lastPromptHeartbeat is when the last heartbeat came that had not waited for this process to run.
	lastPromptHeartbeat time.Duration
	// leavingIncarnation is the incarnation that announced its graceful shutdown last; 0: none has.
	leavingIncarnation uint64
}

// acceptHeartbeat keeps a heartbeat. It returns false for one that was sent before a heartbeat already kept: an
// incarnation that has announced its shutdown never takes that back, and does not follow its own successor.
//
// A machine that returns after a graceful shutdown counts as stable at once, so that it serves in the chain as soon as
// it holds the state.
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

// peerTable is the failure detector: it knows the other machines by their messages, and suspects those that it has not
// received from within FailureTimeout. Suspicion only leads to proposals of views and refusals of orders; what is
// promised for orders does not rest on it.
type peerTable struct {
	clock *clock
	local *localMachine
	known map[string]*peer // by identity; never this machine
}

// observe records a message of a machine. When the table is full, the returned peer is of this call only.
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

// compensateStall moves each last contact forward by the time that this process was stalled: the silence of that time is
// not the peers' own.
func (t *peerTable) compensateStall(gap time.Duration) {
	for _, found := range t.known {
		found.lastContact = min(found.lastContact+gap, t.clock.now)
	}
}

// expire forgets machines that do not vote and have been silent for peerRetention.
func (t *peerTable) expire(view *pb.View) {
	for identity, found := range t.known {
		votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
		if !votes && t.clock.now-found.lastContact > peerRetention {
			delete(t.known, identity)
		}
	}
}

// identities lists the known peers in an order that does not differ from run to run.
func (t *peerTable) identities() []string { return sortedKeys(t.known) }

// isLive reports whether a machine is not suspected to have failed; this machine never is.
func (t *peerTable) isLive(identity string) bool {
	if identity == t.local.identity() {
		return true
	}
	found, known := t.known[identity]
	return known && t.clock.now-found.lastContact <= FailureTimeout
}

// sinceContact is the time since the last message of a machine; for one that is not known, since the start.
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

// liveVoters lists the live voters of a view in its order.
func (t *peerTable) liveVoters(view *pb.View) []*pb.Replica {
	return slices.DeleteFunc(slices.Clone(view.GetVoters()), func(voter *pb.Replica) bool {
		return !t.isLive(voter.GetIdentity())
	})
}

// hasMajority reports whether a majority of the voters of a view is live; false without a view.
func (t *peerTable) hasMajority(view *pb.View) bool {
	return view != nil && len(t.liveVoters(view)) >= quorum.Majority(view)
}

// heartbeatsWithin counts the replicas from which a heartbeat came within FailureTimeout and did not wait for this
// process; this machine counts as one of them. Unlike isLive, a stall of this process is no excuse here.
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

// addressOf is the peer service of a replica; the address that the replica itself sent last comes before the one in the
// view.
func (t *peerTable) addressOf(replica *pb.Replica) string {
	if found, known := t.known[replica.GetIdentity()]; known {
		return found.replica.GetAddress()
	}
	return replica.GetAddress()
}

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
