package limits

import (
	"math"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Fractions of the retry limit that the proxies use; all dimensionless. The rest is a margin for requests that are
// counted at another instant than here, and for proxies that know different sets of proxies.
const (
	// ratioFraction is used of the ratio.
	ratioFraction = 0.9
	// extraFraction is used of the extra retries, over all proxies.
	extraFraction = 0.8
	// remainderFraction of the extra retries that are left by rounding down is given to the first proxies in order.
	remainderFraction = 0.5
)

// maxServices is the most services whose requests are counted.
const maxServices = 256

// RetryConfig holds the common limit on retries: in each sliding window, the attempts at a service beyond the first of
// each request are at most Ratio times the requests, plus Extra.
type RetryConfig struct {
	Ratio  float64       // retries per request
	Extra  float64       // retries per window, over all proxies
	Window time.Duration // length of the sliding window
}

// RetryBudget enforces this proxy's share of the limit on retries, for each service.
type RetryBudget struct {
	config   RetryConfig
	host     string
	proxies  int // 0: unknown
	members  []member
	services map[string]*windowCounts
}

// NewRetryBudget makes the budget of the proxy on a host. Until SetQuotaMembers, it has no share of the extra retries.
func NewRetryBudget(config RetryConfig, host string) *RetryBudget {
	config.Window = max(config.Window, 2*bucketWidth)
	return &RetryBudget{config: config, host: host, services: map[string]*windowCounts{}}
}

// SetQuotaMembers replaces the proxies that share the limit.
func (b *RetryBudget) SetQuotaMembers(quotaMembers *pb.QuotaMembers) {
	b.members = membersOf(quotaMembers)
	b.proxies = 0
	if namesMajority(quotaMembers, b.members) {
		b.proxies = max(int(quotaMembers.GetProxies()), len(b.members))
	}
}

// Request counts a client's request for a service.
func (b *RetryBudget) Request(now time.Duration, service string) {
	if c := b.windowCounts(now, service); c != nil {
		c.requests[c.slot(0)]++
	}
}

// Take reports whether a retry may be sent to a service, and counts it if so.
func (b *RetryBudget) Take(now time.Duration, service string) bool {
	c := b.windowCounts(now, service)
	if c == nil || b.remainingRetries(now, c, service) < 1 {
		return false
	}
	c.retries[c.slot(0)]++
	return true
}

// Refund returns a retry that Take allowed within the last window and that was not sent. Of the retries of that time the
// oldest is struck off, whichever it was: no window then counts fewer retries than were sent in it.
func (b *RetryBudget) Refund(now time.Duration, service string) {
	c := b.windowCounts(now, service)
	if c == nil {
		return
	}
	for age := c.oldestAge; age >= 0; age-- {
		if slot := c.slot(age); c.retries[slot] > 0 {
			c.retries[slot]--
			return
		}
	}
}

// remainingRetries is the number of further retries that this proxy may send now.
func (b *RetryBudget) remainingRetries(now time.Duration, c *windowCounts, service string) float64 {
	return c.remainingRetries(ratioFraction*b.config.Ratio, float64(b.extraShare(now, service)))
}

// extraShare is this proxy's whole number of the extraShare retries of a service: an equal share, rounded down. Of what rounding
// leaves over, one each goes to the first proxies in an order that depends on the service's name. A process has none
// until a window has passed since its start: earlier incarnations of it may have used the share, and others follow it
// if it starts again and again.
func (b *RetryBudget) extraShare(now time.Duration, service string) int {
	if b.proxies == 0 || now < b.config.Window+bucketWidth {
		return 0
	}
	all := extraFraction * b.config.Extra
	each := math.Floor(all / float64(b.proxies))
	remainder := int(remainderFraction * (all - each*float64(b.proxies)))
	own := position(b.members, b.host, service, func(member) bool { return true })
	if own >= 0 && own < remainder {
		each++
	}
	return int(each)
}

// windowCounts returns the counts of a service, up to date at now. It is nil if too many services are in use.
func (b *RetryBudget) windowCounts(now time.Duration, service string) *windowCounts {
	c, ok := b.services[service]
	if !ok {
		if len(b.services) >= maxServices && !b.dropIdle(now) {
			return nil
		}
		c = newWindowCounts(b.config.Window)
		b.services[service] = c
	}
	c.advance(now)
	return c
}

// dropIdle removes the services without a request or retry in the last two windows, and reports whether there was one.
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
