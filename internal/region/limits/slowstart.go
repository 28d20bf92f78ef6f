package limits

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Tuning of slow start.
const (
	// primaryFraction of a server's limit is shared by the primary positions. Where proxies know two different sets of
	// proxies, each set fills the primary positions once: together no more than the limit, whatever the sets.
	primaryFraction = 0.5
	// spareFraction of the limit is shared by the spare positions, which come after the primary ones and are used when
	// only servers that are warming up are left.
	spareFraction = 0.25
	// maxPositions is the most primary, or spare, positions of a server: with more, each has little more than the one
	// request that it may always send.
	maxPositions = 3
	// minRate is the least rate, in requests a second, that makes a position worth having.
	minRate = 0.25
	// startupWait is how long after its first usable shares a proxy regards its share as unknown: when many processes
	// start at once, the first shares name few.
	startupWait = 2 * time.Second
	// membershipSettleTime is how long the members must have been the same before spare positions are used.
	membershipSettleTime = 5 * time.Second
	// maxBuckets bounds the servers that are accounted for at a time.
	maxBuckets = 4096
	// bucketIdleTimeout is how long a bucket is kept after its last use. It is longer than any pause between requests, so
	// that a dropped bucket was full.
	bucketIdleTimeout = 10 * time.Second
)

// SlowStartConfig holds the common limit on requests to a server that is warming up: in each second, at most Excess
// times the service's warm rate, plus Extra.
type SlowStartConfig struct {
	Excess float64 // multiple of the warm rate
	Extra  float64 // requests a second
}

// WarmingServer is a server that is warming up now.
type WarmingServer struct {
	ID       string
	Region   string
	WarmRate float64 // requests a second that it can take, from its service's configuration
}

// SlowStartLimiter enforces this proxy's quota share of the limit on requests to servers that are warming up. Each such
// server is assigned to a few proxies by rendezvous hashing, those of its own region first. Each of them has a token
// bucket of one request that fills at an equal rate, so that in any second it sends at most 1 + rate.
//
// With k primary positions of rate r, k(1+r) is half of the limit. When only servers that are warming up are left to a
// request, the next j positions, the spare ones of rate q, may send as well: j(1+q) is a quarter of the limit. They may
// do so only while the members have been the same for some seconds. Then the sets that two proxies know differ by one
// member at most (a partition that has lasted longer keeps the far side from the server's region too), which adds one
// position of either kind: 1/2 + 1/4 + 1/(2k) + 1/(4j) of the limit, no more than the whole for k and j of 3 or more;
// with fewer positions there are no spare ones.
type SlowStartLimiter struct {
	config             SlowStartConfig
	host               string
	members            []member
	majorityKnown      bool          // the shares name enough members to divide the limit among them
	majorityKnownSince time.Duration // since when
	changedAt          time.Duration // when the members last changed
	buckets            map[string]*bucket
}

// bucket is the token bucket of one server.
type bucket struct {
	tokens float64 // up to 1
	usedAt time.Duration
}

// quotaPlan is how the limit of a server is divided into positions. Rates are in requests a second.
type quotaPlan struct {
	primaries   int
	primaryRate float64
	spares      int
	spareRate   float64
}

// NewSlowStartLimiter makes the limiter of the proxy on a host. Until SetQuotaMembers it allows nothing.
func NewSlowStartLimiter(config SlowStartConfig, host string) *SlowStartLimiter {
	return &SlowStartLimiter{config: config, host: host, buckets: map[string]*bucket{}}
}

// SetQuotaMembers replaces the proxies that share the limit.
func (l *SlowStartLimiter) SetQuotaMembers(now time.Duration, quotaMembers *pb.QuotaMembers) {
	members := membersOf(quotaMembers)
	if !slices.Equal(members, l.members) {
		l.changedAt = now
	}
	l.members = members
	majorityKnown := namesMajority(quotaMembers, members)
	if majorityKnown && !l.majorityKnown {
		l.majorityKnownSince = now
	}
	l.majorityKnown = majorityKnown
}

// Allows reports whether a request may be sent to a server now. lastResort says that only servers that are warming up
// are left to it.
func (l *SlowStartLimiter) Allows(now time.Duration, server WarmingServer, lastResort bool) bool {
	if !l.ready(now) {
		// Even one request of each would be too many: any number of proxies may have started at once.
		return false
	}
	rate, ok := l.rate(now, server, lastResort)
	if !ok {
		return false
	}
	b := l.buckets[server.ID]
	if b == nil {
		return len(l.buckets) < maxBuckets || l.dropIdle(now)
	}
	b.fill(now, rate)
	return b.tokens >= 1
}

// Take counts a request to a server, which Allows must have allowed at the same instant.
func (l *SlowStartLimiter) Take(now time.Duration, server WarmingServer) {
	b := l.buckets[server.ID]
	if b == nil {
		b = &bucket{tokens: 1, usedAt: now}
		l.buckets[server.ID] = b
	}
	b.tokens--
	b.usedAt = now
}

// Wait returns the time until a last-resort request may be sent to a server that Allows did not allow; false if no time
// is known.
func (l *SlowStartLimiter) Wait(now time.Duration, server WarmingServer) (time.Duration, bool) {
	if !l.ready(now) {
		return l.majorityKnownSince + startupWait - now, l.majorityKnown
	}
	rate, ok := l.rate(now, server, true)
	if !ok {
		return 0, false
	}
	b := l.buckets[server.ID]
	if b == nil {
		return 0, true
	}
	b.fill(now, rate)
	return time.Duration(max(1-b.tokens, 0) / rate * float64(time.Second)), true
}

// ready reports whether this proxy knows its share.
func (l *SlowStartLimiter) ready(now time.Duration) bool {
	return l.majorityKnown && now-l.majorityKnownSince >= startupWait
}

// rate is this proxy's rate of requests to a server, in requests a second; false if it has no position.
func (l *SlowStartLimiter) rate(now time.Duration, server WarmingServer, lastResort bool) (float64, bool) {
	own := l.position(server)
	plan := l.plan(server.WarmRate)
	switch {
	case own < 0:
		return 0, false
	case own < plan.primaries:
		return plan.primaryRate, true
	case lastResort && own < plan.primaries+plan.spares && now-l.changedAt >= membershipSettleTime:
		return plan.spareRate, true
	}
	return 0, false
}

// position is this proxy's position in the order for a server, among the members of the server's region or, if it has
// none, among all.
func (l *SlowStartLimiter) position(server WarmingServer) int {
	inRegion := func(m member) bool { return m.region == server.Region }
	if slices.ContainsFunc(l.members, inRegion) {
		return position(l.members, l.host, server.ID, inRegion)
	}
	return position(l.members, l.host, server.ID, func(member) bool { return true })
}

// plan divides the limit of a server.
func (l *SlowStartLimiter) plan(warmRate float64) quotaPlan {
	limit := warmRate*l.config.Excess + l.config.Extra
	primaries, primaryRate := divide(primaryFraction * limit)
	spares, spareRate := divide(spareFraction * limit)
	if primaries < maxPositions || spares < maxPositions {
		spares = 0
	}
	return quotaPlan{primaries: primaries, primaryRate: primaryRate, spares: spares, spareRate: spareRate}
}

// divide returns how many buckets of one request share a limit, in requests a second, and the rate of each.
func divide(limit float64) (positions int, rate float64) {
	for positions := maxPositions; positions > 0; positions-- {
		if rate := limit/float64(positions) - 1; rate >= minRate {
			return positions, rate
		}
	}
	return 0, 0
}

// fill adds the tokens since the last use. A bucket whose position changed fills at its new rate.
func (b *bucket) fill(now time.Duration, rate float64) {
	b.tokens = min(b.tokens+rate*(now-b.usedAt).Seconds(), 1)
	b.usedAt = now
}

// dropIdle removes the buckets that have been unused for long, and reports whether there was one.
func (l *SlowStartLimiter) dropIdle(now time.Duration) bool {
	dropped := false
	for id, b := range l.buckets {
		if now-b.usedAt >= bucketIdleTimeout {
			delete(l.buckets, id)
			dropped = true
		}
	}
	return dropped
}
