package settings

import (
	"math"
	"time"
)

// Bounds are the figures of the rules in force, in the units that the names tell. The methods give them as
// durations.
type Bounds struct {
	SeedStaleS    float64 `toml:"seed-stale-s"`
	AddressReuseS float64 `toml:"addr-reuse-s"`
	ContactMS     float64 `toml:"contact-ms"`
	AckByMS       float64 `toml:"ack-by-ms"`
	SyncS         float64 `toml:"sync-s"`
	DrainMS       float64 `toml:"drain-ms"`
	GraceS        float64 `toml:"grace-s"`
	LossSlackMS   float64 `toml:"loss-slack-ms"`
	ApplyMS       float64 `toml:"apply-ms"`
	RevertSlackMS float64 `toml:"revert-slack-ms"`
	StretchMS     float64 `toml:"stretch-ms"`
	RetryRatio    float64 `toml:"retry-ratio"` // further arrivals at a service for each request
	RetryWindowS  float64 `toml:"retry-win-s"`
	RetryExtra    float64 `toml:"retry-extra"` // further arrivals in a window beyond the ratio
	WarmExcess    float64 `toml:"warm-excess"` // factor on a cold server's rate
	WarmExtra     float64 `toml:"warm-extra"`  // requests a second beyond that
	EvacuateMS    float64 `toml:"evacuate-ms"`
	HealS         float64 `toml:"heal-s"`
	PassMS        float64 `toml:"pass_ms"`
	AgainS        float64 `toml:"again_s"`
	TTLMaxS       float64 `toml:"ttl_max_s"`
}

// SeedStale is how far the list of control machines that callers choose from may be behind.
func (b Bounds) SeedStale() time.Duration { return seconds(b.SeedStaleS) }

// AddressReuse is the time after a server's end before its address may belong to a server of another service.
func (b Bounds) AddressReuse() time.Duration { return seconds(b.AddressReuseS) }

// ContactFor is how long a machine must have been untroubled to count as in touch.
func (b Bounds) ContactFor() time.Duration { return milliseconds(b.ContactMS) }

// AckBy is the time within which an order of the operator wants its acknowledgement.
func (b Bounds) AckBy() time.Duration { return milliseconds(b.AckByMS) }

// SyncFor is how long a machine that returned still counts as lost.
func (b Bounds) SyncFor() time.Duration { return seconds(b.SyncS) }

// DrainWithin is the time after which nothing more may be sent to a draining server.
func (b Bounds) DrainWithin() time.Duration { return milliseconds(b.DrainMS) }

// Grace is the time from SIGTERM to SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// LossSlack is the time within which a request that was not passed on may still be lost.
func (b Bounds) LossSlack() time.Duration { return milliseconds(b.LossSlackMS) }

// ApplyWithin is the time from the acknowledgement of a configuration until it must be in force.
func (b Bounds) ApplyWithin() time.Duration { return milliseconds(b.ApplyMS) }

// RevertSlack is the time within which an older configuration may still show after a newer one was seen.
func (b Bounds) RevertSlack() time.Duration { return milliseconds(b.RevertSlackMS) }

// Stretch is what an unstable core adds to the bounds of configuration and evacuation at most.
func (b Bounds) Stretch() time.Duration { return milliseconds(b.StretchMS) }

// RetryWindow is the window in which repeated requests are counted.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// EvacuateWithin is the time after which nothing more may be sent to an evacuated zone.
func (b Bounds) EvacuateWithin() time.Duration { return milliseconds(b.EvacuateMS) }

// HealWithin is the time from the machines' return after a final fault until requests must be served again.
func (b Bounds) HealWithin() time.Duration { return seconds(b.HealS) }

// PassWithin is the time within which an event of a stream must be passed on.
func (b Bounds) PassWithin() time.Duration { return milliseconds(b.PassMS) }

// AgainAfter is the bound named again_s.
func (b Bounds) AgainAfter() time.Duration { return seconds(b.AgainS) }

// TTLMax is the most that counts of the time for which clients may keep an answer of the directory.
func (b Bounds) TTLMax() time.Duration { return seconds(b.TTLMaxS) }

func milliseconds(value float64) time.Duration { return scale(value, time.Millisecond) }

func seconds(value float64) time.Duration { return scale(value, time.Second) }

// scale multiplies a figure by its unit; what is too long for a Duration becomes the longest one.
func scale(value float64, unit time.Duration) time.Duration {
	product := value * float64(unit)
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(math.Round(product))
}

// defaults are the settings that a file which leaves them out gets.
func defaults() *Settings {
	return &Settings{
		HeartbeatMS: 1200,
		Limits:      Limits{CPUFraction: 0.25, Cores: 1, MemoryMB: 256, Descriptors: 1024, LinkMbps: 100},
		FaultBudget: FaultBudget{Hosts: 1},
		Bounds: Bounds{
			SeedStaleS:    3,
			AddressReuseS: 2,
			ContactMS:     4000,
			AckByMS:       5000,
			SyncS:         4,
			DrainMS:       4000,
			GraceS:        8,
			LossSlackMS:   200,
			ApplyMS:       2500,
			RevertSlackMS: 250,
			StretchMS:     6000,
			RetryRatio:    0.2,
			RetryWindowS:  10,
			RetryExtra:    10,
			WarmExcess:    1,
			EvacuateMS:    5000,
			HealS:         12,
			PassMS:        300,
			TTLMaxS:       5,
		},
		CloudAPI: CloudAPI{Rate: 10, MaxLagMS: 1000},
	}
}
