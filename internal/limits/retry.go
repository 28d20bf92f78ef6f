package limits

import (
	"math"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Tuning of the retry budget; all dimensionless. The rest of the bound is for requests that are counted at
// another instant than here, and for proxies whose counts of each other differ.
const (
	ratioPart   = 0.7 // of the ratio, on the requests of the last window
	certainPart = 0.9 // of the ratio, on those that any window of the rule finds
	extraPart   = 0.8 // of the extra retries, over all proxies
	freshPart   = 0.2 // of the extra retries until a window has passed: an earlier life may have used its part
	lentPart    = 0.5 // of what is left when each proxy has its whole number, lent to the first in order
	maxServices = 256 // whose counts are kept
)

// RetryConfig holds the figures of the common bound on retries: in each sliding window, the arrivals at a
// service beyond the first of each request are at most Ratio for each request and Extra besides.
type RetryConfig struct {
	Ratio  float64
	Extra  float64 // over all proxies
	Window time.Duration
}

// RetryBudget keeps this proxy's part of the bound on retries.
type RetryBudget struct {
	config   RetryConfig
	host     string
	proxies  int // 0: unknown
	members  []member
	services map[string]*counts
}

// NewRetryBudget makes the budget of the proxy on a host. Until SetQuotaMembers, it has no part of the extra.
func NewRetryBudget(config RetryConfig, host string) *RetryBudget {
	config.Window = max(config.Window, 2*bucketWidth)
	return &RetryBudget{config: config, host: host, services: map[string]*counts{}}
}

// SetQuotaMembers takes in which proxies share the bound.
func (b *RetryBudget) SetQuotaMembers(shares *pb.Shares) {
	b.members = membersOf(shares)
	b.proxies = 0
	if known(shares, b.members) {
		b.proxies = max(int(shares.GetProxies()), len(b.members))
	}
}

// Request counts a client's request for a service.
func (b *RetryBudget) Request(now time.Duration, service string) {
	if c := b.counts(now, service); c != nil {
		c.requests[c.slot(0)]++
	}
}

// Take asks to send a request to a service once more, and counts that if it is allowed.
func (b *RetryBudget) Take(now time.Duration, service string) bool {
	c := b.counts(now, service)
	if c == nil || float64(c.retried()+1) > b.allowance(now, c, service) {
		return false
	}
	c.retries[c.slot(0)]++
	return true
}

// Refund takes back a retry that was allowed within the last window, because it was not sent.
func (b *RetryBudget) Refund(now time.Duration, service string) {
	c := b.counts(now, service)
	if c == nil {
		return
	}
	for age := range len(c.retries) {
		if slot := c.slot(age); c.retries[slot] > 0 {
			c.retries[slot]--
			return
		}
	}
}

// Left is the number of retries that would be allowed at once.
func (b *RetryBudget) Left(now time.Duration, service string) int {
	c := b.counts(now, service)
	if c == nil {
		return 0
	}
	return max(int(b.allowance(now, c, service))-c.retried(), 0)
}

// allowance is the number of retries that this proxy may send in a window.
func (b *RetryBudget) allowance(now time.Duration, c *counts, service string) float64 {
	byRatio := b.config.Ratio * min(ratioPart*float64(c.requested()), certainPart*c.certain())
	return byRatio + float64(b.extra(now, service))
}

// extra is this proxy's whole number of the extra retries of a service: an equal part, rounded down. Of what
// rounding leaves, one each is lent to the first proxies in an order that the service's name sets.
func (b *RetryBudget) extra(now time.Duration, service string) int {
	if b.proxies == 0 {
		return 0
	}
	all := extraPart * b.config.Extra
	if now < b.config.Window {
		all = freshPart * b.config.Extra
	}
	each := math.Floor(all / float64(b.proxies))
	lent := int(lentPart * (all - each*float64(b.proxies)))
	place := rank(b.members, b.host, service, func(member) bool { return true })
	if place >= 0 && place < lent {
		each++
	}
	return int(each)
}

// counts gives the counts of a service, or nil when too many services are in use.
func (b *RetryBudget) counts(now time.Duration, service string) *counts {
	c, ok := b.services[service]
	if !ok {
		if len(b.services) >= maxServices && !b.dropIdle(now) {
			return nil
		}
		c = newCounts(b.config.Window)
		b.services[service] = c
	}
	c.advance(now)
	return c
}

// dropIdle forgets the services without a request or retry in the last window, and tells if there was one.
func (b *RetryBudget) dropIdle(now time.Duration) bool {
	dropped := false
	for name, c := range b.services {
		c.advance(now)
		if c.idle() {
			delete(b.services, name)
			dropped = true
		}
	}
	return dropped
}
