package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Proximities of control machines, nearest first. Nearer machines are preferred, since traffic between zones and
// between regions is billed.
const (
	sameZone = iota
	sameRegion
	otherRegion
	unknownProximity // a seed that is not among the voters of the newest view
)

const (
	// failureCooldown is how long a control machine that failed is not chosen while other control machines are
	// available.
	failureCooldown = 2 * time.Second
	// failbackCooldown is the time after its last failure from which a control machine may replace a farther one.
	failbackCooldown = 10 * time.Second
	// maxRecordedFailures is the maximum number of control machines whose last failure is recorded.
	maxRecordedFailures = 64
)

// controlEndpoints holds the known control machines, identified by the address of their link service. The known
// machines are the seeds and the voters of the newest view.
type controlEndpoints struct {
	zone     string // zone of this machine
	region   string // region of this machine
	random   *rand.Rand
	seeds    []string                 // link addresses of the seeds
	voters   []*pb.Replica            // voters of the newest view
	failures map[string]time.Duration // time of the last failure, by address
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

// recordFailure records that a control machine failed, or lacked authority for too long.
func (e *controlEndpoints) recordFailure(now time.Duration, address string) {
	if len(e.failures) >= maxRecordedFailures {
		clear(e.failures)
	}
	e.failures[address] = now
}

// choose is like chooseExcept with one excluded machine, but returns the excluded machine if no other machine is known.
func (e *controlEndpoints) choose(now time.Duration, except string) string {
	chosen := e.chooseExcept(now, []string{except})
	if chosen == "" && e.known(except) {
		return except
	}
	return chosen
}

// chooseExcept returns one of the nearest control machines that have not failed recently and are not excluded, at
// random among equally near machines. If all of them have failed recently, chooseExcept returns the machine whose last
// failure is oldest; if all machines are excluded, it returns the empty string.
func (e *controlEndpoints) chooseExcept(now time.Duration, excluded []string) string {
	chosen := e.pick(func(address string) bool {
		return !slices.Contains(excluded, address) && e.usable(now, address, failureCooldown)
	})
	if chosen != "" {
		return chosen
	}
	return e.oldestFailure(excluded)
}

// nearer returns a control machine that is nearer than the current one and has not failed within failbackCooldown, or
// the empty string if there is none.
func (e *controlEndpoints) nearer(now time.Duration, current string) string {
	proximity := e.proximity(current)
	return e.pick(func(address string) bool {
		return e.proximity(address) < proximity && e.usable(now, address, failbackCooldown)
	})
}

// known reports whether a seed or a voter has the given address.
func (e *controlEndpoints) known(address string) bool { return slices.Contains(e.addresses(), address) }

// pick returns one of the nearest acceptable control machines at random, or the empty string if none is acceptable. It
// uses reservoir sampling: the n-th of equally near machines replaces the choice with a probability of 1/n.
func (e *controlEndpoints) pick(acceptable func(address string) bool) string {
	chosen, nearest, ties := "", unknownProximity+1, 0
	for _, address := range e.addresses() {
		if !acceptable(address) {
			continue
		}
		proximity := e.proximity(address)
		if proximity < nearest {
			chosen, nearest, ties = address, proximity, 1
			continue
		}
		if proximity == nearest {
			ties++
			if e.random.IntN(ties) == 0 {
				chosen = address
			}
		}
	}
	return chosen
}

// oldestFailure returns the control machine whose last failure is oldest among those that are not excluded.
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

// usable reports whether a control machine has not failed within a cooldown.
func (e *controlEndpoints) usable(now time.Duration, address string, cooldown time.Duration) bool {
	failedAt, failed := e.failures[address]
	return !failed || now-failedAt >= cooldown
}

// addresses returns the addresses of the voters, followed by those of the seeds that are not voters.
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

// voter returns the voter with the given address; nil if there is none.
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
