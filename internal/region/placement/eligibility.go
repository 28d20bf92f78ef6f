package placement

import (
	"slices"
	"time"

	"fieldrelay/internal/region/limits"
)

// eligibility is the first rule that a server fails for a request, in the order in which the rules are applied. A
// request is sent to an eligible server or, if there is none, to one that is warming up within the limit or cooling
// down.
type eligibility uint8

const (
	eligibilityUnavailable eligibility = iota
	eligibilityEvacuated
	eligibilityOutsideHome // the server is outside the route's home regions
	eligibilityExcluded    // the request was already sent to the server
	eligibilityWarmingUp   // the server is warming up, and this proxy's share of the slow start limit is used up
	eligibilityFull        // all connections that this proxy may open to the server are in use
	eligibilityCoolingDown // the server is ejected or avoided: used only if no other server is left
	eligible
)

// mandatoryEligibility applies only the rules that must also hold at the moment when an attempt is sent.
func (p *Placer) mandatoryEligibility(now time.Duration, s *server, request *Request) eligibility {
	switch {
	case s.unavailable(now):
		return eligibilityUnavailable
	case p.evacuated[s.zone]:
		return eligibilityEvacuated
	case request.Route != nil && !request.Route.AllowsRegion(s.region):
		return eligibilityOutsideHome
	}
	return eligible
}

// eligibility applies all rules.
func (p *Placer) eligibility(now time.Duration, s *server, request *Request) eligibility {
	if mandatory := p.mandatoryEligibility(now, s, request); mandatory != eligible {
		return mandatory
	}
	switch {
	case slices.Contains(request.Excluded, s.id):
		return eligibilityExcluded
	case s.warmingUp(now) && !p.slowStart.Allows(now, s.warmingServer(), false):
		return eligibilityWarmingUp
	case s.openAttempts >= p.maxConnections(s.service):
		return eligibilityFull
	case s.ejected(now, request) || now < s.cooldownUntil:
		return eligibilityCoolingDown
	}
	return eligible
}

// warmingServer describes the server to the slow start limiter.
func (s *server) warmingServer() limits.WarmingServer {
	return limits.WarmingServer{ID: s.id, Region: s.region, WarmRate: s.service.config.WarmRate}
}

// classifyServers distributes the servers of a service over the buffers by their eligibility, and returns the best
// eligibility among them.
func (p *Placer) classifyServers(now time.Duration, owner *service, request *Request) eligibility {
	buffers := &p.buffers
	buffers.local, buffers.remote = buffers.local[:0], buffers.remote[:0]
	buffers.warmingUp, buffers.coolingDown = buffers.warmingUp[:0], buffers.coolingDown[:0]
	best := eligibilityUnavailable
	for _, s := range owner.servers {
		result := p.eligibility(now, s, request)
		best = max(best, result)
		switch {
		case result == eligible && s.region == p.region:
			buffers.local = append(buffers.local, s)
		case result == eligible:
			buffers.remote = append(buffers.remote, s)
		case result == eligibilityCoolingDown:
			buffers.coolingDown = append(buffers.coolingDown, s)
		case result == eligibilityWarmingUp:
			buffers.warmingUp = append(buffers.warmingUp, s)
		}
	}
	return best
}

// preferredServers returns the first non-empty one of these groups of servers: the eligible servers of this proxy's
// region; the eligible servers of other regions; the servers that are warming up and that the slow start limiter allows
// for requests without another server; the servers that are ejected or avoided.
func (p *Placer) preferredServers(now time.Duration) []*server {
	buffers := &p.buffers
	if len(buffers.local) > 0 {
		return buffers.local
	}
	if len(buffers.remote) > 0 {
		return buffers.remote
	}
	if allowed := p.lastResortServers(now); len(allowed) > 0 {
		return allowed
	}
	return buffers.coolingDown
}

// lastResortServers returns the servers that are warming up and that the slow start limiter allows for requests without
// another server. It returns servers of other regions only if this proxy's region has no such server.
func (p *Placer) lastResortServers(now time.Duration) []*server {
	buffers := &p.buffers
	allowed := buffers.local[:0]
	for _, own := range [2]bool{true, false} {
		for _, s := range buffers.warmingUp {
			inRegion := s.region == p.region
			if inRegion == own && s.openAttempts < p.maxConnections(s.service) && p.slowStart.Allows(now, s.warmingServer(), true) {
				allowed = append(allowed, s)
			}
		}
		if len(allowed) > 0 {
			break
		}
	}
	buffers.local = allowed
	return allowed
}
