package placement

import (
	"time"

	"fieldrelay/internal/common/selection"
	"fieldrelay/internal/region/policy"
)

const (
	// maxAttempts is the maximum number of open attempts.
	maxAttempts = 1 << 14
	// maxFreeAttempts is the maximum number of closed attempts that are kept for reuse.
	maxFreeAttempts = 256
)

// AttemptID identifies an attempt from Pick, which opens it, to Finished, which closes it.
type AttemptID uint64

// Decision says to which server an attempt is to be sent.
type Decision struct {
	Attempt        AttemptID
	ServerID       string
	Address        string
	Zone           string
	Region         string
	Expected       time.Duration // predicted time to the first event or byte
	PrefillTokens  int           // prompt tokens that the server is expected to prefill
	Announce       Announcement  // announcement to send to the other proxies of the region once the attempt is sent
	MaxConnections int           // maximum number of connections of this proxy to the server
}

// attempt is one open attempt.
type attempt struct {
	id             AttemptID
	server         *server
	request        Request // without its slices, which belong to the caller
	sentAt         time.Duration
	nominalLatency time.Duration // predicted time to the first event at speed 1
	// uncachedLatency is nominalLatency for a server that has no part of the prompt cached. It differs from
	// nominalLatency only if the cached prefix is an assumption.
	uncachedLatency    time.Duration
	ownLatency         time.Duration // time to the first event at an idle server that has nothing of the prompt cached
	prefillTokens      int
	memoryTokens       int  // maximum number of tokens that the attempt occupies in the server's memory
	unqueued           bool // no other prefill was known to be queued at the server, and prefillTokens was known
	trial              bool // the attempt is the only trial request after an ejection of the server
	countedBySlowStart bool // the slow start limiter has counted the attempt
	startedAt          time.Duration
	started            bool
	beforeStart        serverSnapshot
}

// serverSnapshot holds the state of a server before an attempt's first event. It is restored if the answer turns out to
// be a failure, so that the failure does not count as a fast answer.
type serverSnapshot struct {
	estimate selection.Estimate
	failures int
}

// openAttempt opens an attempt and adds it to the counters of its server.
func (p *Placer) openAttempt(now time.Duration, request *Request, c *candidate) Decision {
	s := c.server
	a := p.newAttempt(now, request, c)
	p.attempts[a.id] = a
	if a.trial {
		s.trialInFlight = true
	}
	if !s.estimate.Seeded() || a.trial {
		s.service.seedSentAt, s.service.seedAttempt = now, a
	}
	if s.warmingUp(now) {
		p.slowStart.Take(now, s.warmingServer())
		a.countedBySlowStart = true
		p.stats.WarmingUp++
	}
	s.openAttempts++
	s.reservedTokens += a.memoryTokens
	a.unqueued = c.prefillKnown && s.queuedPrefillTokens == 0 && s.region == p.region
	s.queuedPrefillTokens += a.prefillTokens // the likely number of tokens, not the optimistic one
	s.unanswered = append(s.unanswered, a)
	if s.service.servesModel() && len(request.Chunks) > 0 && !p.off(policy.PrefixCache) {
		p.prefixCache.insert(s, &p.buffers.prompt, p.prefixCacheTokens(s.service))
	}
	if s.region != p.region {
		p.stats.OtherRegion++
	}
	p.stats.Attempts++
	return Decision{
		Attempt:        a.id,
		ServerID:       s.id,
		Address:        s.address,
		Zone:           s.zone,
		Region:         s.region,
		Expected:       c.expectedLatency,
		PrefillTokens:  c.prefillTokens,
		Announce:       p.announce(now, c),
		MaxConnections: p.maxConnections(s.service),
	}
}

// newAttempt creates an attempt. It reuses a closed one if possible, so that a pick usually does not allocate.
func (p *Placer) newAttempt(now time.Duration, request *Request, c *candidate) *attempt {
	var a *attempt
	if last := len(p.freeAttempts) - 1; last >= 0 {
		a, p.freeAttempts = p.freeAttempts[last], p.freeAttempts[:last]
	} else {
		a = &attempt{}
	}
	p.lastID++
	*a = attempt{
		id:              p.lastID,
		server:          c.server,
		request:         *request,
		sentAt:          now,
		nominalLatency:  c.nominalLatency,
		uncachedLatency: c.nominalLatency,
		ownLatency:      p.ownLatency(c.server, &p.buffers.prompt),
		prefillTokens:   c.likelyPrefillTokens,
		memoryTokens:    p.buffers.prompt.memoryTokens,
		trial:           c.server.trialDue(now),
	}
	a.request.Chunks, a.request.Excluded = nil, nil
	if !c.prefillKnown && c.server.service.servesModel() {
		a.uncachedLatency += c.server.service.prefill.duration(p.buffers.prompt.totalTokens - c.prefillTokens)
	}
	return a
}

// releaseAttempt returns a closed attempt to the free list, if that is not full.
func (p *Placer) releaseAttempt(a *attempt) {
	if len(p.freeAttempts) < maxFreeAttempts {
		*a = attempt{}
		p.freeAttempts = append(p.freeAttempts, a)
	}
}

// StillAllowed reports whether an attempt may be sent. The caller calls it just before it sends the first byte, since
// the server list, the evacuations and the configuration may have changed since Pick. If it returns false, the caller
// finishes the attempt as NotSent and picks a server again.
func (p *Placer) StillAllowed(now time.Duration, id AttemptID) bool {
	a := p.attempts[id]
	if a == nil {
		return false
	}
	s := a.server
	if p.mandatoryEligibility(now, s, &a.request) != eligible || !p.stillInHomeRegions(a) {
		return false
	}
	if s.warmingUp(now) && !a.countedBySlowStart {
		if !p.slowStart.Allows(now, s.warmingServer(), false) {
			return false
		}
		p.slowStart.Take(now, s.warmingServer())
		a.countedBySlowStart = true
	}
	return true
}

// stillInHomeRegions reports whether the route's home regions in the current configuration allow the attempt's server.
// A route that has been removed since Pick has no restriction.
func (p *Placer) stillInHomeRegions(a *attempt) bool {
	if a.request.Route == nil {
		return true
	}
	current, ok := p.table.Route(a.request.Route.Name)
	return !ok || current.AllowsRegion(a.server.region)
}
