package coordination

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
)

// suspicionTimeout is how long a machine that did not answer a call in time is avoided as a proposer.
const suspicionTimeout = 2 * time.Second

// Peers reports the state of the other control machines.
type Peers interface {
	// IsLive reports whether a machine is not suspected to have failed.
	IsLive(identity string) bool
	// IsLeaving reports whether a machine is about to shut down.
	IsLeaving(identity string) bool
}

// routing chooses the proposer of a register. All origins choose the same machine as long as they have the same
// information about the other machines. Otherwise two proposers may supersede each other, which costs only time.
type routing struct {
	peers          Peers
	suspectedUntil map[string]time.Duration // end of the suspicion of a machine, by identity
}

func newRouting(peers Peers) *routing {
	return &routing{peers: peers, suspectedUntil: make(map[string]time.Duration)}
}

// suspect records that a machine did not answer a call in time.
func (r *routing) suspect(now time.Duration, identity string) {
	r.suspectedUntil[identity] = now + suspicionTimeout
}

// clearSuspicion records that a machine has answered.
func (r *routing) clearSuspicion(identity string) { delete(r.suspectedUntil, identity) }

// retainVoters drops the suspicions of machines that are not voters.
func (r *routing) retainVoters(voters []*pb.Replica) {
	for identity := range r.suspectedUntil {
		votes := slices.ContainsFunc(voters, func(voter *pb.Replica) bool { return voter.GetIdentity() == identity })
		if !votes {
			delete(r.suspectedUntil, identity)
		}
	}
}

// proposerFor returns the voter that should propose for a register; nil if there are no voters. It uses rendezvous
// hashing among the available voters of the region with the most available voters, since a majority is closest there.
func (r *routing) proposerFor(now time.Duration, register string, voters []*pb.Replica) *pb.Replica {
	candidates := slices.DeleteFunc(slices.Clone(voters), func(voter *pb.Replica) bool {
		return !r.isAvailable(now, voter.GetIdentity())
	})
	if len(candidates) == 0 {
		candidates = slices.Clone(voters)
	}
	region := largestRegion(candidates)
	var chosen *pb.Replica
	var highest uint64
	for _, candidate := range candidates {
		weight := xxhash.Sum64String(register + "\x00" + candidate.GetIdentity())
		if candidate.GetRegion() == region && (chosen == nil || weight > highest) {
			chosen, highest = candidate, weight
		}
	}
	return chosen
}

func (r *routing) isAvailable(now time.Duration, identity string) bool {
	isSuspected := r.suspectedUntil[identity] > now
	return r.peers.IsLive(identity) && !r.peers.IsLeaving(identity) && !isSuspected
}

// largestRegion returns the region with the most voters; among several such regions, the first by name.
func largestRegion(voters []*pb.Replica) string {
	counts := make(map[string]int)
	for _, voter := range voters {
		counts[voter.GetRegion()]++
	}
	largest := ""
	for region, count := range counts {
		isLarger := count > counts[largest] || count == counts[largest] && strings.Compare(region, largest) < 0
		if largest == "" || isLarger {
			largest = region
		}
	}
	return largest
}
