package placement

import (
	"time"

	"fieldrelay/internal/limits"
)

// standing tells how far a server passes the rules for a request, in the order in which they narrow the
// candidates.
type eligibility uint8

const (
	eligibilityGone eligibility = iota
	eligibilityEvacuated
	eligibilityOutsideHome // outside the route's homes
	eligibilityExcluded
	eligibilityWarmingUp
	eligibilityFull
	eligibilityCoolingDown // it may get the request, if no other server is left
	eligible
)

// reasons tells why a request got no server, by the standing of the server that came farthest.
var noServerReasons = [...]Reason{
	eligibilityGone:        ReasonNone,
	eligibilityEvacuated:   ReasonEvacuated,
	eligibilityOutsideHome: ReasonHome,
	eligibilityExcluded:    ReasonExcluded,
	eligibilityWarmingUp:   ReasonWarmingUp,
	eligibilityFull:        ReasonFull,
	eligibilityCoolingDown: ReasonNone,
	eligible:               ReasonNone,
}

// subsetSize is the number of servers of a region that a proxy usually spreads a service's requests over: its
// estimates stay fresh and its connections few. Servers that keep a part of the prompt come in besides.
const subsetSize = 12

// scratch holds slices that picks use again.
type pickBuffers struct {
	prompt      prompt
	local       []*server // ready in the own region
	remote      []*server // ready in other regions
	warmingUp   []*server // left out for being cold
	coolingDown []*server
	candidates  []candidate
	walkServers []*server
	speeds      []float64
}

// candidate is a server that may get the request, with what is predicted of it.
type candidate struct {
	server              *server
	prefillTokens       int           // prompt tokens that it has to read
	nominalLatency      time.Duration // time to the first event at speed 1
	likelyPrefillTokens int           // prompt tokens that it is most likely to have to read
	prefillKnown        bool          // prefillTokens follows from own sends, not from where others are expected to send
	// expected is the predicted time to the first event, priced the same with what the choice costs besides.
	expectedLatency, cost time.Duration
}

// permitted tells whether the rules that bind at any time let a request of a route go to a server.
func (p *Placer) mandatoryEligibility(now time.Duration, s *server, request *Request) eligibility {
	switch {
	case s.unavailable(now):
		return eligibilityGone
	case p.evacuated[s.zone]:
		return eligibilityEvacuated
	case request.Route != nil && !request.Route.AllowsRegion(s.region):
		return eligibilityOutsideHome
	}
	return eligible
}

// standing tells how far a server passes all rules for a request.
func (p *Placer) eligibility(now time.Duration, s *server, request *Request) eligibility {
	if permitted := p.mandatoryEligibility(now, s, request); permitted != eligible {
		return permitted
	}
	switch {
	case excluded(request, s.id):
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

func excluded(request *Request, id string) bool {
	for _, other := range request.Excluded {
		if other == id {
			return true
		}
	}
	return false
}

// warmingServer describes the server to the gate.
func (s *server) warmingServer() limits.WarmingServer {
	return limits.WarmingServer{ID: s.id, Region: s.region, WarmRate: s.service.config.WarmRate}
}

// gather sorts the servers of a service by their standing, and tells the farthest.
func (p *Placer) classifyServers(now time.Duration, owner *service, request *Request) eligibility {
	scratch := &p.buffers
	scratch.local, scratch.remote = scratch.local[:0], scratch.remote[:0]
	scratch.warmingUp, scratch.coolingDown = scratch.warmingUp[:0], scratch.coolingDown[:0]
	farthest := eligibilityGone
	for _, s := range owner.servers {
		stands := p.eligibility(now, s, request)
		farthest = max(farthest, stands)
		switch {
		case stands == eligible && s.region == p.region:
			scratch.local = append(scratch.local, s)
		case stands == eligible:
			scratch.remote = append(scratch.remote, s)
		case stands == eligibilityCoolingDown:
			scratch.coolingDown = append(scratch.coolingDown, s)
		case stands == eligibilityWarmingUp:
			scratch.warmingUp = append(scratch.warmingUp, s)
		}
	}
	return farthest
}

// field gives the servers among which a request's server is picked: those of the own region; if there are
// none, of other regions; then cold ones, as far as the gate lets in when no other server is left; then those
// that rest.
func (p *Placer) preferredServers(now time.Duration) []*server {
	scratch := &p.buffers
	if len(scratch.local) > 0 {
		return scratch.local
	}
	if len(scratch.remote) > 0 {
		return scratch.remote
	}
	if allowed := p.lastResortServers(now); len(allowed) > 0 {
		return allowed
	}
	return scratch.coolingDown
}

// lastResortServers gives the cold servers that the gate lets in because nothing else is left, of the own region if
// there are any.
func (p *Placer) lastResortServers(now time.Duration) []*server {
	scratch := &p.buffers
	allowed := scratch.local[:0]
	for _, own := range [2]bool{true, false} {
		for _, s := range scratch.warmingUp {
			inRegion := s.region == p.region
			if inRegion == own && s.openAttempts < p.maxConnections(s.service) && p.slowStart.Allows(now, s.warmingServer(), true) {
				allowed = append(allowed, s)
			}
		}
		if len(allowed) > 0 {
			break
		}
	}
	scratch.local = allowed
	return allowed
}

// retryAfter is when it is worth asking again after no server was found.
func (p *Placer) retryAfter(now time.Duration, reason Reason) time.Duration {
	switch reason {
	case ReasonWarmingUp:
		return p.slowStartWait(now)
	case ReasonFull:
		return retryFull
	case ReasonExcluded:
		return retryExcluded
	}
	return retryNone
}

// slowStartWait is when the gate will let in a request to one of the cold servers.
func (p *Placer) slowStartWait(now time.Duration) time.Duration {
	least := retryNone
	for _, s := range p.buffers.warmingUp {
		if wait, ok := p.slowStart.Wait(now, s.warmingServer()); ok {
			least = min(least, max(wait, minSlowStartRetry))
		}
	}
	return least
}

// How long a client is told to wait when there is no server for it.
const (
	minSlowStartRetry = 100 * time.Millisecond
	retryFull         = 250 * time.Millisecond
	retryExcluded     = 500 * time.Millisecond
	retryNone         = time.Second
)
