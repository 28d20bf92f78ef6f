package settings

import (
	"math"
	"time"
)

// Bounds are the limits that the deployment's rules set, in the units of their names. Most of them are guarantees that the
// checks of the soak tests and migration plans apply; a process itself uses only those whose comment says so. The methods
// return them as durations.
type Bounds struct {
	// SeedStaleS is the maximum age in seconds of the list from which callers choose a control machine. Default: 3.
	SeedStaleS float64 `toml:"seed-stale-s"`

	// AddressReuseS is the time in seconds after a server's end before its address may belong to a server of another
	// service. Default: 2.
	AddressReuseS float64 `toml:"addr-reuse-s"`

	// ContactMS is the time in milliseconds without a fault after which a machine counts as in contact, so that the
	// bounds on configuration and evacuation apply to it. Control machines use it to count exceeded bounds. Default:
	// 4000.
	ContactMS float64 `toml:"contact-ms"`

	// AckByMS is the time in milliseconds within which an order must be acknowledged. Default: 5000.
	AckByMS float64 `toml:"ack-by-ms"`

	// SyncS is the time in seconds for which a machine still counts as lost after its return. Control machines bound
	// their registers by what their link carries in a third of it. Default: 4.
	SyncS float64 `toml:"sync-s"`

	// DrainMS is the time in milliseconds after which a draining server must not receive requests. Default: 4000.
	DrainMS float64 `toml:"drain-ms"`

	// GraceS is the time in seconds from SIGTERM to SIGKILL. Proxies and agents exit within it; the directory lists a
	// draining proxy for at most a quarter of it. A longer time lets longer streams finish, and prolongs a rollout.
	// Default: 8.
	GraceS float64 `toml:"grace-s"`

	// LossSlackMS is the time in milliseconds within which a request that has not been forwarded may be lost. Default:
	// 200.
	LossSlackMS float64 `toml:"loss-slack-ms"`

	// ApplyMS is the time in milliseconds from the acknowledgement of a configuration until every proxy in contact must
	// use it. Control machines use it to count exceeded bounds. Default: 2500.
	ApplyMS float64 `toml:"apply-ms"`

	// RevertSlackMS is the time in milliseconds during which an older configuration may still be observed after a newer
	// one. Default: 250.
	RevertSlackMS float64 `toml:"revert-slack-ms"`

	// StretchMS is the most, in milliseconds, that instability of the control machines may add to ApplyMS and
	// EvacuateMS. Control machines use it to count exceeded bounds. Default: 6000.
	StretchMS float64 `toml:"stretch-ms"`

	// RetryRatio is the retry budget: the number of retries per request at a service, for all proxies together, each of
	// which uses its quota share. A higher ratio hides more failures from clients, and adds more load to a failing
	// service. Default: 0.2.
	RetryRatio float64 `toml:"retry-ratio"`

	// RetryWindowS is the time window of the retry budget in seconds. Proxies use it. Default: 10.
	RetryWindowS float64 `toml:"retry-win-s"`

	// RetryExtra is the number of retries per window that are allowed in addition to RetryRatio. Default: 10.
	RetryExtra float64 `toml:"retry-extra"`

	// WarmExcess is a factor on the warm rate of a service. The product bounds the requests per second to a server that
	// warms up, from all proxies together, each of which uses its quota share. Default: 1.
	WarmExcess float64 `toml:"warm-excess"`

	// WarmExtra is the number of requests per second to a server that warms up that are allowed in addition to the bound
	// of WarmExcess. Default: 0.
	WarmExtra float64 `toml:"warm-extra"`

	// EvacuateMS is the time in milliseconds after which the servers of an evacuated zone must not receive requests.
	// Default: 5000.
	EvacuateMS float64 `toml:"evacuate-ms"`

	// HealS is the time in seconds, from the return of the machines after the last fault, after which requests must be
	// served again. Default: 12.
	HealS float64 `toml:"heal-s"`

	// PassMS is the time in milliseconds within which an event of a stream must be forwarded. Default: 300.
	PassMS float64 `toml:"pass_ms"`

	// AgainS is the time in seconds after the last use of a prompt chunk within which another prefill of that chunk has a
	// price. Default: 0.
	AgainS float64 `toml:"again_s"`

	// TTLMaxS is the longest time in seconds for which clients may use an answer of the directory. Control machines send
	// this value, or one second if the value is less. Default: 5.
	TTLMaxS float64 `toml:"ttl_max_s"`

	// RetainS is the time in seconds for which a watch of keys may resume from a revision that it received. Control
	// machines keep the puts of a group for twice that time. Default: 20.
	RetainS float64 `toml:"retain-s"`
}

// ContactFor returns the time without a fault after which a machine counts as in contact.
func (b Bounds) ContactFor() time.Duration { return milliseconds(b.ContactMS) }

// AckBy returns the time within which an order must be acknowledged.
func (b Bounds) AckBy() time.Duration { return milliseconds(b.AckByMS) }

// SyncFor returns how long a machine still counts as lost after its return.
func (b Bounds) SyncFor() time.Duration { return seconds(b.SyncS) }

// DrainWithin returns the time after which a draining server must not receive requests.
func (b Bounds) DrainWithin() time.Duration { return milliseconds(b.DrainMS) }

// Grace returns the time from SIGTERM to SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// ApplyWithin returns the time from the acknowledgement of a configuration until every proxy in contact must use it.
func (b Bounds) ApplyWithin() time.Duration { return milliseconds(b.ApplyMS) }

// RevertSlack returns the time during which an older configuration may still be observed after a newer one.
func (b Bounds) RevertSlack() time.Duration { return milliseconds(b.RevertSlackMS) }

// Stretch returns the most that instability of the control machines may add to the bounds on configuration and evacuation.
func (b Bounds) Stretch() time.Duration { return milliseconds(b.StretchMS) }

// RetryWindow returns the time window of the retry budget.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// EvacuateWithin returns the time after which the servers of an evacuated zone must not receive requests.
func (b Bounds) EvacuateWithin() time.Duration { return milliseconds(b.EvacuateMS) }

// HealWithin returns the time, from the return of the machines after the last fault, after which requests must be served
// again.
func (b Bounds) HealWithin() time.Duration { return seconds(b.HealS) }

// TTLMax returns the longest time for which clients may use an answer of the directory.
func (b Bounds) TTLMax() time.Duration { return seconds(b.TTLMaxS) }

// Retain returns the time for which a watch of keys may resume from a revision that it received.
func (b Bounds) Retain() time.Duration { return seconds(b.RetainS) }

func milliseconds(value float64) time.Duration { return scale(value, time.Millisecond) }

func seconds(value float64) time.Duration { return scale(value, time.Second) }

// scale multiplies a value by its unit and clamps the product to the longest Duration.
func scale(value float64, unit time.Duration) time.Duration {
	product := value * float64(unit)
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(math.Round(product))
}
