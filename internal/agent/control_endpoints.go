package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Ranks of control machines: bytes between zones and regions have a price.
const (
	sameZone = iota
	sameRegion
	otherRegion
	unknownProximity // a seed that isn't among the voters heard of
)

const (
	// failureCooldown is how long a control machine that failed isn't chosen while there are others.
	failureCooldown = 2 * time.Second
	// failbackCooldown is how long after its last failure a nearer control machine is gone back to.
	failbackCooldown = 10 * time.Second
	// maxRecordedFailures bounds how many failures are remembered.
	maxRecordedFailures = 64
)

// targets are the control machines known: the seeds and the voters of the newest view.
type controlEndpoints struct {
	zone     string
	region   string
	random   *rand.Rand
	seeds    []string // addresses of link services
	voters   []*pb.Replica
	failures map[string]time.Duration // last failure by address
}

func newControlEndpoints(zone, region string, seeds []string, random *rand.Rand) controlEndpoints {
	return controlEndpoints{
		zone:     zone,
		region:   region,
		random:   random,
		seeds:    seeds,
		failures: make(map[string]time.Duration),
	}
}

// fail notes that a control machine was of no use.
func (e *controlEndpoints) recordFailure(now time.Duration, address string) {
	if len(e.failures) >= maxRecordedFailures {
		clear(e.failures)
	}
	e.failures[address] = now
}

// choose picks a control machine, a near one if it can be had, at random among equals; the one whose failure is
// longest ago if all have failed lately. It is empty if none is known.
func (e *controlEndpoints) choose(now time.Duration, except string) string {
	chosen := e.pick(func(address string) bool {
		return address != except && e.usable(now, address, failureCooldown)
	})
	if chosen != "" {
		return chosen
	}
	return e.oldestFailureOr(except)
}

// chooseExcept picks like choose among those that are not taken; empty if there are none.
func (e *controlEndpoints) chooseExcept(now time.Duration, excluded []string) string {
	chosen := e.pick(func(address string) bool {
		return !slices.Contains(excluded, address) && e.usable(now, address, failureCooldown)
	})
	if chosen != "" {
		return chosen
	}
	return e.oldestFailure(excluded)
}

// nearer is a control machine of a better rank than the current one, empty if there is none that works.
func (e *controlEndpoints) nearer(now time.Duration, current string) string {
	proximity := e.proximity(current)
	return e.pick(func(address string) bool {
		return e.proximity(address) < proximity && e.usable(now, address, failbackCooldown)
	})
}

// known tells whether an address is that of a seed or of a voter.
func (e *controlEndpoints) known(address string) bool {
	for _, candidate := range e.addresses() {
		if candidate == address {
			return true
		}
	}
	return false
}

// pick chooses at random among the candidates of the best rank that are acceptable.
func (e *controlEndpoints) pick(acceptable func(address string) bool) string {
	chosen, best, ties := "", unknownProximity+1, 0
	for _, address := range e.addresses() {
		if !acceptable(address) {
			continue
		}
		rank := e.proximity(address)
		if rank < best {
			chosen, best, ties = address, rank, 1
			continue
		}
		if rank == best {
			ties++
			if e.random.IntN(ties) == 0 {
				chosen = address
			}
		}
	}
	return chosen
}

// oldestFailureOr is the candidate whose failure is longest ago, except itself if there is no other.
func (e *controlEndpoints) oldestFailureOr(fallback string) string {
	chosen := e.oldestFailure([]string{fallback})
	if chosen == "" && e.known(fallback) {
		return fallback
	}
	return chosen
}

// oldestFailure is the candidate whose failure is longest ago among those that are not taken.
func (e *controlEndpoints) oldestFailure(excluded []string) string {
	chosen := ""
	for _, address := range e.addresses() {
		if slices.Contains(excluded, address) {
			continue
		}
		if chosen == "" || e.failures[address] < e.failures[chosen] {
			chosen = address
		}
	}
	return chosen
}

func (e *controlEndpoints) usable(now time.Duration, address string, cooldown time.Duration) bool {
	failedAt, failed := e.failures[address]
	return !failed || now-failedAt >= cooldown
}

// addresses are those of the voters, then of the seeds that are no voters.
func (e *controlEndpoints) addresses() []string {
	addresses := make([]string, 0, len(e.voters)+len(e.seeds))
	for _, voter := range e.voters {
		addresses = append(addresses, voter.GetAddress())
	}
	for _, seed := range e.seeds {
		if e.voter(seed) == nil {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (e *controlEndpoints) voter(address string) *pb.Replica {
	for _, voter := range e.voters {
		if voter.GetAddress() == address {
			return voter
		}
	}
	return nil
}

func (e *controlEndpoints) proximity(address string) int {
	voter := e.voter(address)
	switch {
	case voter == nil:
		return unknownProximity
	case voter.GetZone() == e.zone:
		return sameZone
	case voter.GetRegion() == e.region:
		return sameRegion
	}
	return otherRegion
}
