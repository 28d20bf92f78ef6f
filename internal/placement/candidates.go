package placement

import (
	"time"

	"fieldrelay/internal/limits"
)

// standing tells how far a server passes the rules for a request, in the order in which they narrow the
// candidates.
type standing uint8

const (
	standingGone standing = iota
	standingEvacuated
	standingAway // outside the route's homes
	standingExcluded
	standingCold
	standingFull
	standingResting // it may get the request, if no other server is left
	standingReady
)

// reasons tells why a request got no server, by the standing of the server that came farthest.
var reasons = [...]Reason{
	standingGone:      ReasonNone,
	standingEvacuated: ReasonEvacuated,
	standingAway:      ReasonHome,
	standingExcluded:  ReasonExcluded,
	standingCold:      ReasonWarmingUp,
	standingFull:      ReasonFull,
	standingResting:   ReasonNone,
	standingReady:     ReasonNone,
}

// subsetSize is the number of servers of a region that a proxy usually spreads a service's requests over: its
// estimates stay fresh and its connections few. Servers that keep a part of the prompt come in besides.
const subsetSize = 12

// scratch holds slices that picks use again.
type scratch struct {
	prompt  prompt
	near    []*server // ready in the own region
	far     []*server // ready in other regions
	cold    []*server // left out for being cold
	resting []*server
	chosen  []candidate
	servers []*server
	speeds  []float64
}

// candidate is a server that may get the request, with what is predicted of it.
type candidate struct {
	server *server
	toRead int           // prompt tokens that it has to read
	cost   time.Duration // time to the first event at speed 1
	likely int           // prompt tokens that it is most likely to have to read
	known  bool          // toRead follows from own sends, not from where others are expected to send
	// expected is the predicted time to the first event, priced the same with what the choice costs besides.
	expected, priced time.Duration
}

// permitted tells whether the rules that bind at any time let a request of a route go to a server.
func (p *Placer) permitted(now time.Duration, s *server, request *Request) standing {
	switch {
	case s.leaves(now):
		return standingGone
	case p.evacuated[s.zone]:
		return standingEvacuated
	case request.Route != nil && !request.Route.AllowsRegion(s.region):
		return standingAway
	}
	return standingReady
}

// standing tells how far a server passes all rules for a request.
func (p *Placer) standing(now time.Duration, s *server, request *Request) standing {
	if permitted := p.permitted(now, s, request); permitted != standingReady {
		return permitted
	}
	switch {
	case excluded(request, s.id):
		return standingExcluded
	case s.cold(now) && !p.gate.Allows(now, s.asCold(), false):
		return standingCold
	case s.open >= p.maxConnections(s.service):
		return standingFull
	case s.resting(now, request) || now < s.avoidUntil:
		return standingResting
	}
	return standingReady
}

func excluded(request *Request, id string) bool {
	for _, other := range request.Excluded {
		if other == id {
			return true
		}
	}
	return false
}

// asCold describes the server to the gate.
func (s *server) asCold() limits.WarmingServer {
	return limits.WarmingServer{ID: s.id, Region: s.region, WarmRate: s.service.config.WarmRate}
}

// gather sorts the servers of a service by their standing, and tells the farthest.
func (p *Placer) gather(now time.Duration, owner *service, request *Request) standing {
	scratch := &p.scratch
	scratch.near, scratch.far = scratch.near[:0], scratch.far[:0]
	scratch.cold, scratch.resting = scratch.cold[:0], scratch.resting[:0]
	farthest := standingGone
	for _, s := range owner.servers {
		stands := p.standing(now, s, request)
		farthest = max(farthest, stands)
		switch {
		case stands == standingReady && s.region == p.region:
			scratch.near = append(scratch.near, s)
		case stands == standingReady:
			scratch.far = append(scratch.far, s)
		case stands == standingResting:
			scratch.resting = append(scratch.resting, s)
		case stands == standingCold:
			scratch.cold = append(scratch.cold, s)
		}
	}
	return farthest
}

// field gives the servers among which a request's server is picked: those of the own region; if there are
// none, of other regions; then cold ones, as far as the gate lets in when no other server is left; then those
// that rest.
func (p *Placer) field(now time.Duration) []*server {
	scratch := &p.scratch
	if len(scratch.near) > 0 {
		return scratch.near
	}
	if len(scratch.far) > 0 {
		return scratch.far
	}
	if allowed := p.lastResort(now); len(allowed) > 0 {
		return allowed
	}
	return scratch.resting
}

// lastResort gives the cold servers that the gate lets in because nothing else is left, of the own region if
// there are any.
func (p *Placer) lastResort(now time.Duration) []*server {
	scratch := &p.scratch
	allowed := scratch.near[:0]
	for _, own := range [2]bool{true, false} {
		for _, s := range scratch.cold {
			inRegion := s.region == p.region
			if inRegion == own && s.open < p.maxConnections(s.service) && p.gate.Allows(now, s.asCold(), true) {
				allowed = append(allowed, s)
			}
		}
		if len(allowed) > 0 {
			break
		}
	}
	scratch.near = allowed
	return allowed
}

// retryAfter is when it is worth asking again after no server was found.
func (p *Placer) retryAfter(now time.Duration, reason Reason) time.Duration {
	switch reason {
	case ReasonWarmingUp:
		return p.coldWait(now)
	case ReasonFull:
		return retryFull
	case ReasonExcluded:
		return retryExcluded
	}
	return retryNone
}

// coldWait is when the gate will let in a request to one of the cold servers.
func (p *Placer) coldWait(now time.Duration) time.Duration {
	least := retryNone
	for _, s := range p.scratch.cold {
		if wait, ok := p.gate.Wait(now, s.asCold()); ok {
			least = min(least, max(wait, retryLeast))
		}
	}
	return least
}

// How long a client is told to wait when there is no server for it.
const (
	retryLeast    = 100 * time.Millisecond
	retryFull     = 250 * time.Millisecond
	retryExcluded = 500 * time.Millisecond
	retryNone     = time.Second
)
