package settings

import (
	"math"
	"time"
)

// Bounds are the figures of the rules in force, in the units of their names. Most are promises that a deployment is
// measured by, and are used by the soak's checks and by migration plans; a process uses those whose comment says so. The
// methods return them as durations.
type Bounds struct {
	// SeedStaleS is how stale, in seconds, the list of control machines may be by which callers choose one. Default: 3.
	SeedStaleS float64 `toml:"seed-stale-s"`

	// AddressReuseS is the time in seconds after a server's end before its address may belong to a server of another
	// service. Default: 2.
	AddressReuseS float64 `toml:"addr-reuse-s"`

	// ContactMS is the time in milliseconds without a fault after which a machine counts as in contact, so that the
	// bounds on configuration and evacuation hold for it. Control machines use it to count exceeded bounds. Default:
	// 4000.
	ContactMS float64 `toml:"contact-ms"`

	// AckByMS is the time in milliseconds within which an order must be acknowledged. Default: 5000.
	AckByMS float64 `toml:"ack-by-ms"`

	// SyncS is the time in seconds for which a machine still counts as lost after its return. Default: 4.
	SyncS float64 `toml:"sync-s"`

	// DrainMS is the time in milliseconds after which a draining server must not get requests. Default: 4000.
	DrainMS float64 `toml:"drain-ms"`

	// GraceS is the time in seconds from SIGTERM to SIGKILL. Proxies and agents end within it; the directory names a
	// draining proxy for a quarter of it at most. Longer lets longer streams finish, and a rollout takes longer.
	// Default: 8.
	GraceS float64 `toml:"grace-s"`

	// LossSlackMS is the time in milliseconds within which a request that was not forwarded may still be lost. Default:
	// 200.
	LossSlackMS float64 `toml:"loss-slack-ms"`

	// ApplyMS is the time in milliseconds from the acknowledgement of a configuration until every proxy in contact must
	// use it. Control machines use it to count exceeded bounds. Default: 2500.
	ApplyMS float64 `toml:"apply-ms"`

	// RevertSlackMS is the time in milliseconds within which an older configuration may still show after a newer one.
	// Default: 250.
	RevertSlackMS float64 `toml:"revert-slack-ms"`

	// StretchMS is what instability of the control machines adds at most, in milliseconds, to ApplyMS and EvacuateMS.
	// Control machines use it to count exceeded bounds. Default: 6000.
	StretchMS float64 `toml:"stretch-ms"`

	// RetryRatio is the retry budget: retries at a service per request, of all proxies together, each of which uses its
	// quota share. More hides more failures from clients, and adds more load to a service that fails. Default: 0.2.
	RetryRatio float64 `toml:"retry-ratio"`

	// RetryWindowS is the window of the retry budget in seconds. Proxies use it. Default: 10.
	RetryWindowS float64 `toml:"retry-win-s"`

	// RetryExtra is the number of retries in a window that are allowed beyond RetryRatio. Default: 10.
	RetryExtra float64 `toml:"retry-extra"`

	// WarmExcess is the factor on the warm rate of a service, which bounds the requests per second to a server that warms
	// up, from all proxies together; each of them uses its quota share. Default: 1.
	WarmExcess float64 `toml:"warm-excess"`

	// WarmExtra is the number of requests per second to such a server that are allowed beyond that. Default: 0.
	WarmExtra float64 `toml:"warm-extra"`

	// EvacuateMS is the time in milliseconds after which the servers of an evacuated zone must not get requests.
	// Default: 5000.
	EvacuateMS float64 `toml:"evacuate-ms"`

	// HealS is the time in seconds from the return of the machines after the last fault until requests must be served
	// again. Default: 12.
	HealS float64 `toml:"heal-s"`

	// PassMS is the time in milliseconds within which an event of a stream must be forwarded. Default: 300.
	PassMS float64 `toml:"pass_ms"`

	// AgainS is the time in seconds after its last use within which another prefill of a prompt chunk has a price.
	// Default: 0.
	AgainS float64 `toml:"again_s"`

	// TTLMaxS is the longest time in seconds for which clients may use an answer of the directory; control machines send
	// it, or a second if that is less. Default: 5.
	TTLMaxS float64 `toml:"ttl_max_s"`

	// RetainS is the time in seconds for which watches of keys may resume from a revision that they were given. Control
	// machines keep the puts of a group for twice as long. Default: 20.
	RetainS float64 `toml:"retain-s"`
}

// ContactFor returns how long a machine must have been without a fault to count as in contact.
func (b Bounds) ContactFor() time.Duration { return milliseconds(b.ContactMS) }

// AckBy returns the time within which an order must be acknowledged.
func (b Bounds) AckBy() time.Duration { return milliseconds(b.AckByMS) }

// SyncFor returns how long a machine still counts as lost after its return.
func (b Bounds) SyncFor() time.Duration { return seconds(b.SyncS) }

// DrainWithin returns the time after which a draining server must not get requests.
func (b Bounds) DrainWithin() time.Duration { return milliseconds(b.DrainMS) }

// Grace returns the time from SIGTERM to SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// ApplyWithin returns the time from the acknowledgement of a configuration until every proxy in contact must use it.
func (b Bounds) ApplyWithin() time.Duration { return milliseconds(b.ApplyMS) }

// RevertSlack returns the time within which an older configuration may still show after a newer one.
func (b Bounds) RevertSlack() time.Duration { return milliseconds(b.RevertSlackMS) }

// Stretch returns what instability of the control machines adds at most to the bounds of configuration and evacuation.
func (b Bounds) Stretch() time.Duration { return milliseconds(b.StretchMS) }

// RetryWindow returns the window of the retry budget.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// EvacuateWithin returns the time after which the servers of an evacuated zone must not get requests.
func (b Bounds) EvacuateWithin() time.Duration { return milliseconds(b.EvacuateMS) }

// HealWithin returns the time from the return of the machines after the last fault until requests must be served again.
func (b Bounds) HealWithin() time.Duration { return seconds(b.HealS) }

// TTLMax returns the longest time for which clients may use an answer of the directory.
func (b Bounds) TTLMax() time.Duration { return seconds(b.TTLMaxS) }

// Retain returns for how long watches of keys may resume from a revision that they were given.
func (b Bounds) Retain() time.Duration { return seconds(b.RetainS) }

func milliseconds(value float64) time.Duration { return scale(value, time.Millisecond) }

func seconds(value float64) time.Duration { return scale(value, time.Second) }

// scale multiplies a figure by its unit and clamps the product to the longest Duration.
func scale(value float64, unit time.Duration) time.Duration {
	product := value * float64(unit)
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(math.Round(product))
}
