package limits

import (
	"math"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Fractions of the retry limit that the proxies use; all are dimensionless. The remainder is a safety margin: the
// limit may be checked against counts taken at a different instant, and proxies may know different sets of proxies.
const (
	// ratioFraction is the fraction of RetryConfig.Ratio that is used.
	ratioFraction = 0.9
	// extraFraction is the fraction of RetryConfig.Extra that all proxies together use.
	extraFraction = 0.8
	// remainderFraction is the fraction of the extra retries left over by rounding down that is assigned, one each, to
	// the first proxies in rendezvous order.
	remainderFraction = 0.5
)

// maxServices bounds the number of services whose requests are counted.
const maxServices = 256

// RetryConfig holds the limit on retries that all proxies share. In each sliding window, the number of retries to a
// service (attempts after the first one of each request) is at most Ratio times the number of requests, plus Extra.
type RetryConfig struct {
	Ratio  float64       // retries per request
	Extra  float64       // additional retries per window, for all proxies together
	Window time.Duration // length of the sliding window
}

// RetryBudget enforces this proxy's share of the retry limit, separately for each service.
type RetryBudget struct {
	config   RetryConfig
	host     string
	proxies  int // number of proxies; 0 if unknown
	members  []member
	services map[string]*windowCounts
}

// NewRetryBudget returns the budget of the proxy on a host. The budget has no share of the extra retries until
// SetQuotaMembers is called.
func NewRetryBudget(config RetryConfig, host string) *RetryBudget {
	config.Window = max(config.Window, 2*bucketWidth)
	return &RetryBudget{config: config, host: host, services: map[string]*windowCounts{}}
}

// SetQuotaMembers replaces the set of proxies that share the limit.
func (b *RetryBudget) SetQuotaMembers(quotaMembers *pb.QuotaMembers) {
	b.members = membersOf(quotaMembers)
	b.proxies = 0
	if namesMajority(quotaMembers, b.members) {
		b.proxies = max(int(quotaMembers.GetProxies()), len(b.members))
	}
}

// Request records a client's request to a service.
func (b *RetryBudget) Request(now time.Duration, service string) {
	if c := b.windowCounts(now, service); c != nil {
		c.requests[c.slot(0)]++
	}
}

// Take reports whether a retry may be sent to a service, and records the retry if so.
func (b *RetryBudget) Take(now time.Duration, service string) bool {
	c := b.windowCounts(now, service)
	if c == nil || b.remainingRetries(now, c, service) < 1 {
		return false
	}
	c.retries[c.slot(0)]++
	return true
}

// Refund gives back a retry that Take allowed within the last window and that was not sent. It removes the oldest
// retry recorded in that window, even if a later one was not sent, so that no window counts fewer retries than were
// sent in it.
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

// remainingRetries returns the number of further retries that this proxy may send now.
func (b *RetryBudget) remainingRetries(now time.Duration, c *windowCounts, service string) float64 {
	return c.remainingRetries(ratioFraction*b.config.Ratio, float64(b.extraShare(now, service)))
}

// extraShare returns the number of extra retries of a service that this proxy may use: an equal share, rounded down,
// plus one if this proxy is among the first proxies in the service's rendezvous order, which share the remainder. The
// share is 0 until one window has passed since the start of the process, because earlier incarnations of the process
// may have used the share, and a process that restarts repeatedly would use it several times in one window.
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

// windowCounts returns the counts of a service, advanced to now. It returns nil if maxServices other services are in
// use.
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

// dropIdle removes the services without requests and retries in the last two windows, and reports whether it removed
// any.
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
