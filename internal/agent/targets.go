package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Ranks of control machines: bytes between zones and regions have a price.
const (
	rankZone = iota
	rankRegion
	rankElsewhere
	rankUnknown // a seed that isn't among the voters heard of
)

const (
	// avoidFor is how long a control machine that failed isn't chosen while there are others.
	avoidFor = 2 * time.Second
	// returnAfter is how long after its last failure a nearer control machine is gone back to.
	returnAfter = 10 * time.Second
	// maxFailures bounds how many failures are remembered.
	maxFailures = 64
)

// targets are the control machines known: the seeds and the voters of the newest view.
type targets struct {
	zone     string
	region   string
	random   *rand.Rand
	seeds    []string // addresses of link services
	voters   []*pb.Replica
	failures map[string]time.Duration // last failure by address
}

func newTargets(zone, region string, seeds []string, random *rand.Rand) targets {
	return targets{
		zone:     zone,
		region:   region,
		random:   random,
		seeds:    seeds,
		failures: make(map[string]time.Duration),
	}
}

// fail notes that a control machine was of no use.
func (t *targets) fail(now time.Duration, address string) {
	if len(t.failures) >= maxFailures {
		clear(t.failures)
	}
	t.failures[address] = now
}

// choose picks a control machine, a near one if it can be had, at random among equals; the one whose failure is
// longest ago if all have failed lately. It is empty if none is known.
func (t *targets) choose(now time.Duration, except string) string {
	chosen := t.pick(func(address string) bool {
		return address != except && t.usable(now, address, avoidFor)
	})
	if chosen != "" {
		return chosen
	}
	return t.longestAgo(except)
}

// chooseOther picks like choose among those that are not taken; empty if there are none.
func (t *targets) chooseOther(now time.Duration, taken []string) string {
	chosen := t.pick(func(address string) bool {
		return !slices.Contains(taken, address) && t.usable(now, address, avoidFor)
	})
	if chosen != "" {
		return chosen
	}
	return t.oldestFailure(taken)
}

// nearer is a control machine of a better rank than the current one, empty if there is none that works.
func (t *targets) nearer(now time.Duration, current string) string {
	rank := t.rank(current)
	return t.pick(func(address string) bool {
		return t.rank(address) < rank && t.usable(now, address, returnAfter)
	})
}

// known tells whether an address is that of a seed or of a voter.
func (t *targets) known(address string) bool {
	for _, candidate := range t.addresses() {
		if candidate == address {
			return true
		}
	}
	return false
}

// pick chooses at random among the candidates of the best rank that are acceptable.
func (t *targets) pick(acceptable func(address string) bool) string {
	chosen, best, equals := "", rankUnknown+1, 0
	for _, address := range t.addresses() {
		if !acceptable(address) {
			continue
		}
		rank := t.rank(address)
		if rank < best {
			chosen, best, equals = address, rank, 1
			continue
		}
		if rank == best {
			equals++
			if t.random.IntN(equals) == 0 {
				chosen = address
			}
		}
	}
	return chosen
}

// longestAgo is the candidate whose failure is longest ago, except itself if there is no other.
func (t *targets) longestAgo(except string) string {
	chosen := t.oldestFailure([]string{except})
	if chosen == "" && t.known(except) {
		return except
	}
	return chosen
}

// oldestFailure is the candidate whose failure is longest ago among those that are not taken.
func (t *targets) oldestFailure(taken []string) string {
	chosen := ""
	for _, address := range t.addresses() {
		if slices.Contains(taken, address) {
			continue
		}
		if chosen == "" || t.failures[address] < t.failures[chosen] {
			chosen = address
		}
	}
	return chosen
}

func (t *targets) usable(now time.Duration, address string, since time.Duration) bool {
	failedAt, failed := t.failures[address]
	return !failed || now-failedAt >= since
}

// addresses are those of the voters, then of the seeds that are no voters.
func (t *targets) addresses() []string {
	addresses := make([]string, 0, len(t.voters)+len(t.seeds))
	for _, voter := range t.voters {
		addresses = append(addresses, voter.GetAddress())
	}
	for _, seed := range t.seeds {
		if t.voter(seed) == nil {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (t *targets) voter(address string) *pb.Replica {
	for _, voter := range t.voters {
		if voter.GetAddress() == address {
			return voter
		}
	}
	return nil
}

func (t *targets) rank(address string) int {
	voter := t.voter(address)
	switch {
	case voter == nil:
		return rankUnknown
	case voter.GetZone() == t.zone:
		return rankZone
	case voter.GetRegion() == t.region:
		return rankRegion
	}
	return rankElsewhere
}
