package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

const (
	// assumedRegionRoundTrip is the round-trip time to another region that is assumed before a measurement.
	assumedRegionRoundTrip = 40 * time.Millisecond
	// roundTripWeight is the weight of a sample in the mean round-trip time to a zone.
	roundTripWeight = 1.0 / 8
)

// RoundTripMeasured records the round-trip time to a server, which is that of its zone. It ignores servers that are
// unknown and zones that the settings don't name.
func (p *Placer) RoundTripMeasured(serverID string, roundTrip time.Duration) {
	known := p.servers[serverID]
	if known == nil || roundTrip <= 0 {
		return
	}
	if _, configured := p.config.Regions[known.zone]; !configured {
		return
	}
	mean, measured := p.roundTrips[known.zone]
	if !measured {
		p.roundTrips[known.zone] = roundTrip
		return
	}
	p.roundTrips[known.zone] = mean + time.Duration(roundTripWeight*float64(roundTrip-mean))
}

// extraRoundTrip returns by how much the round-trip time to a server's zone exceeds the one within this proxy's own zone,
// which is part of the latency of every server.
func (p *Placer) extraRoundTrip(s *server) time.Duration {
	if s.zone == p.config.Zone || (s.region == p.region && p.off(policy.ZonePreference)) {
		return 0
	}
	if measured, ok := p.roundTrips[s.zone]; ok {
		return max(measured-p.roundTrips[p.config.Zone], 0)
	}
	if s.region != p.region {
		return assumedRegionRoundTrip
	}
	return 0
}
