package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

const (
	// reportTTL is how long a failure report is taken into account.
	reportTTL = 2 * time.Second
	// minReportingZones is the number of zones whose proxies must report a server before this proxy ejects it without
	// having observed a failure itself. A single zone does not suffice, since a network partition between it and the
	// server's zone looks like a failure of the server.
	minReportingZones = 2
	// successOverride is how long the failure reports of other proxies are ignored after a success that this proxy
	// observed itself.
	successOverride = time.Second
)

// failureReports holds the times at which the proxies of each of the last reporting zones reported a server.
type failureReports [minReportingZones]struct {
	zone string
	at   time.Duration
}

// add records a report in place of the zone's previous one or of the oldest, and returns the number of zones whose
// reports have not expired.
func (r *failureReports) add(now time.Duration, zone string) int {
	oldest := 0
	for i := range r {
		if r[i].zone == zone {
			oldest = i
			break
		}
		if r[i].at < r[oldest].at {
			oldest = i
		}
	}
	r[oldest].zone, r[oldest].at = zone, now
	zones := 0
	for i := range r {
		if r[i].zone != "" && now-r[i].at < reportTTL {
			zones++
		}
	}
	return zones
}

// FailureReported records the report of another proxy of the region that a new connection to a server failed. zone is
// the zone of that proxy. After a report from one zone, the next attempt of this proxy that gets no answer ejects the
// server. Reports from two zones eject the server immediately.
func (p *Placer) FailureReported(now time.Duration, serverID, zone string) {
	known := p.servers[serverID]
	if known == nil || p.off(policy.FailureReports) {
		return
	}
	p.stats.FailureReports++
	if known.succeededAt > 0 && now-known.succeededAt < successOverride {
		return
	}
	if known.failureReports.add(now, zone) >= minReportingZones {
		p.eject(now, known, ejectionThreshold)
		return
	}
	known.failures = max(known.failures, ejectionThreshold-noAnswerWeight)
}
