package limits

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Parameters of slow start.
const (
	// primaryFraction is the fraction of a server's limit that the primary positions share. If proxies know two
	// different sets of proxies, each set may assign all primary positions to different proxies; together these use
	// at most the whole limit.
	primaryFraction = 0.5
	// spareFraction is the fraction of the limit that the spare positions share. Spare positions follow the primary
	// positions, and are used when only servers that are warming up are available.
	spareFraction = 0.25
	// maxPositions bounds the primary positions of a server, and also its spare positions. With more positions, each
	// would have little more than its burst of one request.
	maxPositions = 3
	// minRate is the lowest useful rate of a position, in requests a second.
	minRate = 0.25
	// startupWait is how long a proxy treats its share as unknown after it first learnt a majority of the members.
	// When many processes start at once, the first member lists are incomplete.
	startupWait = 2 * time.Second
	// membershipStabilizationWindow is how long the members must have been unchanged before spare positions are used.
	membershipStabilizationWindow = 5 * time.Second
	// maxBuckets bounds the number of servers with a token bucket.
	maxBuckets = 4096
	// bucketIdleTimeout is how long a bucket is kept after its last use. It is longer than a bucket takes to fill, so
	// that a removed bucket was full.
	bucketIdleTimeout = 10 * time.Second
)

// SlowStartConfig holds the limit on requests to a server that is warming up, which all proxies share: in each
// second, at most Excess times the warm rate of the service, plus Extra.
type SlowStartConfig struct {
	Excess float64 // multiple of the warm rate
	Extra  float64 // requests a second
}

// WarmingServer is a server that is currently warming up.
type WarmingServer struct {
	ID       string
	Region   string
	WarmRate float64 // requests a second while warming up, from the configuration of the service
}

// SlowStartLimiter enforces this proxy's share of the limit on requests to servers that are warming up. Rendezvous
// hashing assigns each such server to a few proxies, preferably of the server's own region. Each of these proxies has
// a token bucket for the server with a burst of one request. Buckets of the same kind fill at equal rates, so that in
// any second a proxy sends at most 1 + rate requests.
//
// With k primary positions of rate r, k(1+r) is half of the limit. If only servers that are warming up are available
// for a request, the proxies in the next j positions, the spare positions of rate q, may send as well: j(1+q) is a
// quarter of the limit. Spare positions are used only after the members have been unchanged for
// membershipStabilizationWindow. The sets that two proxies know then differ by at most one member (a longer network
// partition also separates the far side from the server's region), which adds one position of each kind. The sum is
// 1/2 + 1/4 + 1/(2k) + 1/(4j) of the limit, which is at most the whole limit if k and j are 3 or more. With fewer
// positions of either kind there are no spare positions.
type SlowStartLimiter struct {
	config             SlowStartConfig
	host               string
	members            []member
	majorityKnown      bool          // the member list contains a majority of the proxies
	majorityKnownSince time.Duration // when majorityKnown last became true
	changedAt          time.Duration // when the members last changed
	buckets            map[string]*bucket
}

// bucket is the token bucket for one server.
type bucket struct {
	tokens float64 // number of requests that may be sent now; at most 1
	usedAt time.Duration
}

// quotaPlan is the division of a server's limit into positions. Rates are in requests a second.
type quotaPlan struct {
	primaries   int
	primaryRate float64
	spares      int
	spareRate   float64
}

// NewSlowStartLimiter returns the limiter of the proxy on a host. It allows no request until SetQuotaMembers is
// called.
func NewSlowStartLimiter(config SlowStartConfig, host string) *SlowStartLimiter {
	return &SlowStartLimiter{config: config, host: host, buckets: map[string]*bucket{}}
}

// SetQuotaMembers replaces the set of proxies that share the limit.
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

// Allows reports whether a request may be sent to a server now. lastResort means that only servers that are warming
// up are available for the request.
func (l *SlowStartLimiter) Allows(now time.Duration, server WarmingServer, lastResort bool) bool {
	if !l.ready(now) {
		// Any number of proxies may have started at once: even one request from each could exceed the limit.
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

// Take records a request to a server. Allows must have returned true for the server at the same instant.
func (l *SlowStartLimiter) Take(now time.Duration, server WarmingServer) {
	b := l.buckets[server.ID]
	if b == nil {
		b = &bucket{tokens: 1, usedAt: now}
		l.buckets[server.ID] = b
	}
	b.tokens--
	b.usedAt = now
}

// Wait returns the time until a last-resort request may be sent to a server for which Allows returned false. It
// returns false if that time is not known.
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

// rate returns the rate of requests that this proxy may send to a server, in requests a second. It returns false if
// this proxy has no usable position for the server.
func (l *SlowStartLimiter) rate(now time.Duration, server WarmingServer, lastResort bool) (float64, bool) {
	own := l.position(server)
	plan := l.plan(server.WarmRate)
	switch {
	case own < 0:
		return 0, false
	case own < plan.primaries:
		return plan.primaryRate, true
	case lastResort && own < plan.primaries+plan.spares && now-l.changedAt >= membershipStabilizationWindow:
		return plan.spareRate, true
	}
	return 0, false
}

// position returns this proxy's position for a server among the members in the server's region, or among all members
// if that region has none.
func (l *SlowStartLimiter) position(server WarmingServer) int {
	inRegion := func(m member) bool { return m.region == server.Region }
	if slices.ContainsFunc(l.members, inRegion) {
		return position(l.members, l.host, server.ID, inRegion)
	}
	return position(l.members, l.host, server.ID, func(member) bool { return true })
}

// plan divides a server's limit into positions.
func (l *SlowStartLimiter) plan(warmRate float64) quotaPlan {
	limit := warmRate*l.config.Excess + l.config.Extra
	primaries, primaryRate := divide(primaryFraction * limit)
	spares, spareRate := divide(spareFraction * limit)
	if primaries < maxPositions || spares < maxPositions {
		spares = 0
	}
	return quotaPlan{primaries: primaries, primaryRate: primaryRate, spares: spares, spareRate: spareRate}
}

// divide returns how many token buckets with a burst of one request can share a limit, in requests a second, and the
// fill rate of each.
func divide(limit float64) (positions int, rate float64) {
	for positions := maxPositions; positions > 0; positions-- {
		if rate := limit/float64(positions) - 1; rate >= minRate {
			return positions, rate
		}
	}
	return 0, 0
}

// fill adds the tokens accrued since the last use. If this proxy's position has changed since then, the whole
// interval counts at the new rate.
func (b *bucket) fill(now time.Duration, rate float64) {
	b.tokens = min(b.tokens+rate*(now-b.usedAt).Seconds(), 1)
	b.usedAt = now
}

// dropIdle removes the buckets that have not been used for bucketIdleTimeout, and reports whether it removed any.
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
