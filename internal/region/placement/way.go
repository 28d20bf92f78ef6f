package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

const (
	// assumedRegionWay is the round-trip time to another region that is assumed before a measurement.
	assumedRegionWay = 40 * time.Millisecond
	// wayWeight is the weight of a sample in the mean round-trip time to a zone.
	wayWeight = 1.0 / 8
)

// WayMeasured records the round-trip time to a server, which is that of its zone. It ignores servers that are unknown and
// zones that the settings don't name.
func (p *Placer) WayMeasured(serverID string, roundTrip time.Duration) {
	known := p.servers[serverID]
	if known == nil || roundTrip <= 0 {
		return
	}
	if _, configured := p.config.Regions[known.zone]; !configured {
		return
	}
	mean, measured := p.ways[known.zone]
	if !measured {
		p.ways[known.zone] = roundTrip
		return
	}
	p.ways[known.zone] = mean + time.Duration(wayWeight*float64(roundTrip-mean))
}

// wayTo returns how much longer the way to a server and back is expected to be than to one in this proxy's own zone, as
// measured for its zone. The way within the zone is part of the latency of every server.
func (p *Placer) wayTo(s *server) time.Duration {
	if s.zone == p.config.Zone || (s.region == p.region && p.off(policy.ZonePreference)) {
		return 0
	}
	if measured, ok := p.ways[s.zone]; ok {
		return max(measured-p.ways[p.config.Zone], 0)
	}
	if s.region != p.region {
		return assumedRegionWay
	}
	return 0
}
