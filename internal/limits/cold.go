package limits

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Tuning of the gate to cold servers.
const (
	// plannedPart of the bound is planned for. Where proxies hold two views of who is there, each view gives
	// its first places once: together no more than the bound, whatever the views.
	plannedPart = 0.5
	// sparePart is the part of the bound that places after the first get when nothing but cold servers is left.
	sparePart = 0.25
	// mostHolders is the most proxies that a cold server is given to: with more, each has little more than the
	// one request that it may always send.
	mostHolders = 3
	// leastRate is the least rate, in requests a second, that makes a place worth having.
	leastRate = 0.25
	// learning is how long after its first shares a proxy takes its share to be unknown: after a start of many
	// processes at once, the first shares name few.
	learning = 2 * time.Second
	// settled is how long the members must have been the same before spare places are used.
	settled = 5 * time.Second
	// mostBuckets bounds the cold servers that are accounted for at a time.
	mostBuckets = 4096
	// forgetAfter is how long an account is kept after its last use: longer than any pause between requests.
	forgetAfter = 10 * time.Second
)

// SlowStartConfig holds the figures of the common bound on requests to a cold server: in each second, at most
// Excess times the service's warm rate, and Extra besides.
type SlowStartConfig struct {
	Excess float64
	Extra  float64
}

// WarmingServer is a server that is cold now.
type WarmingServer struct {
	ID       string
	Region   string
	WarmRate float64 // requests a second that it bears, by its service
}

// SlowStartLimiter keeps this proxy's part of the bound on requests to cold servers. Each cold server is given to a
// few proxies by rendezvous hashing, its own region's first; each of them has a bucket of one request that
// fills at an equal rate, so that in any second it sends at most 1 + rate.
//
// With places k and rate r of the first places, k(1+r) is half of the bound. When nothing but cold servers is
// left to a request, the next j places may send as well, j(1+q) a quarter of the bound, but only while the
// members have been the same for some seconds. Then views of two proxies differ by one member at most (a cut
// that has lasted longer keeps the far side from the server's region too), which adds one place of either
// kind: 1/2 + 1/4 + 1/(2k) + 1/(4j) of the bound, no more than the whole for k and j of 3 or more; with fewer
// places there are no spare ones.
type SlowStartLimiter struct {
	config    SlowStartConfig
	host      string
	members   []member
	named     bool          // the shares name enough members to cut the bound by them
	namedAt   time.Duration // since when they have
	changedAt time.Duration
	buckets   map[string]*bucket
}

// bucket is the account of one cold server.
type bucket struct {
	tokens float64 // up to 1
	usedAt time.Duration
}

// plan is how a bound is cut into places.
type plan struct {
	holders int
	rate    float64
	spare   int
	lesser  float64 // rate of the spare places
}

// NewSlowStartLimiter makes the gate of the proxy on a host. Until SetQuotaMembers it does not know its share.
func NewSlowStartLimiter(config SlowStartConfig, host string) *SlowStartLimiter {
	return &SlowStartLimiter{config: config, host: host, buckets: map[string]*bucket{}}
}

// SetQuotaMembers takes in which proxies share the bound.
func (g *SlowStartLimiter) SetQuotaMembers(now time.Duration, shares *pb.Shares) {
	members := membersOf(shares)
	same := len(members) == len(g.members)
	for i := 0; same && i < len(members); i++ {
		same = members[i] == g.members[i]
	}
	if !same {
		g.changedAt = now
	}
	g.members = members
	named := known(shares, members)
	if named && !g.named {
		g.namedAt = now
	}
	g.named = named
}

// Allows tells whether a request may go to a cold server now. lastResort says that nothing but cold servers
// is left to it.
func (g *SlowStartLimiter) Allows(now time.Duration, server WarmingServer, lastResort bool) bool {
	if !g.known(now) {
		// One request of each would be too many: any number of proxies may have started at once.
		return false
	}
	rate, ok := g.share(now, server, lastResort)
	if !ok {
		return false
	}
	held := g.buckets[server.ID]
	if held == nil {
		return len(g.buckets) < mostBuckets || g.forget(now)
	}
	held.fill(now, rate)
	return held.tokens >= 1
}

// Take counts a request to a cold server, which Allows allowed at the same instant.
func (g *SlowStartLimiter) Take(now time.Duration, server WarmingServer) {
	held := g.buckets[server.ID]
	if held == nil {
		held = &bucket{tokens: 1, usedAt: now}
		g.buckets[server.ID] = held
	}
	held.tokens--
	held.usedAt = now
}

// Wait is how long until a request may go to a server that Allows did not allow; false: no time is known.
func (g *SlowStartLimiter) Wait(now time.Duration, server WarmingServer) (time.Duration, bool) {
	if !g.known(now) {
		return g.namedAt + learning - now, g.named
	}
	rate, ok := g.share(now, server, true)
	if !ok {
		return 0, false
	}
	held := g.buckets[server.ID]
	if held == nil {
		return 0, true
	}
	held.fill(now, rate)
	return time.Duration(max(1-held.tokens, 0) / rate * float64(time.Second)), true
}

// known tells whether this proxy knows its share.
func (g *SlowStartLimiter) known(now time.Duration) bool { return g.named && now-g.namedAt >= learning }

// share gives this proxy's rate to a cold server; false when it has none.
func (g *SlowStartLimiter) share(now time.Duration, server WarmingServer, lastResort bool) (float64, bool) {
	place := g.place(server)
	cut := g.cut(server.WarmRate)
	switch {
	case place < 0:
		return 0, false
	case place < cut.holders:
		return cut.rate, true
	case lastResort && place < cut.holders+cut.spare && now-g.changedAt >= settled:
		return cut.lesser, true
	}
	return 0, false
}

// place is this proxy's place in the order for a server: of the members of its region, if there are any.
func (g *SlowStartLimiter) place(server WarmingServer) int {
	inRegion := func(m member) bool { return m.region == server.Region }
	for _, m := range g.members {
		if inRegion(m) {
			return rank(g.members, g.host, server.ID, inRegion)
		}
	}
	return rank(g.members, g.host, server.ID, func(member) bool { return true })
}

// cut divides the bound of a server into places.
func (g *SlowStartLimiter) cut(warmRate float64) plan {
	bound := warmRate*g.config.Excess + g.config.Extra
	holders, rate := places(plannedPart * bound)
	spare, lesser := places(sparePart * bound)
	if holders < mostHolders || spare < mostHolders {
		spare = 0
	}
	return plan{holders: holders, rate: rate, spare: spare, lesser: lesser}
}

// places gives how many buckets of one request share a bound on a second, and the rate of each.
func places(bound float64) (int, float64) {
	for holders := mostHolders; holders > 0; holders-- {
		if rate := bound/float64(holders) - 1; rate >= leastRate {
			return holders, rate
		}
	}
	return 0, 0
}

// fill adds what came since the last use. A bucket whose place changed fills by its new rate.
func (b *bucket) fill(now time.Duration, rate float64) {
	b.tokens = min(b.tokens+rate*(now-b.usedAt).Seconds(), 1)
	b.usedAt = now
}

// forget drops the accounts that have been full for long, and tells whether there was one.
func (g *SlowStartLimiter) forget(now time.Duration) bool {
	dropped := false
	for id, held := range g.buckets {
		if now-held.usedAt >= forgetAfter {
			delete(g.buckets, id)
			dropped = true
		}
	}
	return dropped
}
