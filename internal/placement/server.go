package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/policy"
	"fieldrelay/logic/selection"
)

// Tuning of what a server is expected to do; speed is 1 when answers come as predicted.
const (
	// speedHalfLife is how long after its last sample half of an estimate's difference from the service's
	// typical speed is taken to be gone: a server that failed once is tried again.
	speedHalfLife = 6 * time.Second
	minSpeed      = 0.02
	maxSpeed      = 2.0
)

// server is what this proxy knows of one server (one incarnation).
type server struct {
	id, address, zone, region string

	service  *service
	capacity int
	hash     uint64 // of the id
	affinity uint64 // this proxy's own order of servers: higher first

	listedFrom         uint64 // number of the first list that named it
	draining           bool
	gone               bool          // it left the list, or another one answers at its address
	expiresAt          time.Duration // 0: not told
	warmingUntil       time.Duration
	warmupReportedAt   time.Duration // when its own answer last told that it is cold
	suspectedColdUntil time.Duration // it may have turned cold: treated as cold until a newer list tells
	cooldownUntil      time.Duration // it was full or seems to leave: used only when no other is left

	estimate            selection.Estimate
	unanswered          []*attempt     // oldest first
	queuedPrefillTokens int            // prompt tokens of the unanswered that it has to read
	busyUntil           time.Duration  // it reads what others sent until then, as far as they told
	openAttempts        int            // attempts that have not ended
	reservedTokens      int            // tokens that they may take of the server's memory
	failures            int            // in a row
	failureReports      failureReports // of failures, by other proxies
	succeededAt         time.Duration  // when it last answered this proxy whole; 0: never
	ejectionPeriod      time.Duration
	ejectedUntil        time.Duration
	trialInFlight       bool // the one trial after a rest is out

	cachedPrefixes lruList
	matchedPick    uint64 // number of the pick that the marks belong to
	matchedChunks  int
	matchedTokens  int
}

func newServer(listed *pb.Server, owner *service, region string, hostHash uint64) *server {
	hash := xxhash.Sum64String(listed.GetId())
	return &server{
		id:       listed.GetId(),
		zone:     listed.GetZone(),
		region:   region,
		service:  owner,
		hash:     hash,
		affinity: mix(hash ^ hostHash),
	}
}

// speedAt is the estimate now, drawn to the typical speed as it ages. An attempt that has waited for longer
// than predicted bounds it from above before its outcome is known.
func (p *Placer) speedAt(now time.Duration, s *server) float64 {
	speed := s.service.typicalSpeed(s.region == p.region)
	if s.estimate.Seeded() {
		keep := 1.0
		if !p.off(policy.SpeedAging) {
			age := now - s.estimate.SampledAt()
			keep = float64(speedHalfLife) / float64(speedHalfLife+age)
		}
		speed += (s.estimate.Speed() - speed) * keep
	}
	if len(s.unanswered) > 0 && !p.off(policy.OverdueBound) {
		oldest := s.unanswered[0]
		if waited := now - oldest.sentAt; waited > oldest.nominalLatency {
			speed = min(speed, float64(oldest.nominalLatency)/float64(waited))
		}
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// cautiousTrialPeriod is how long after a rest only requests that another server may still get are tried on a server: it
// may have come back as another one, which runs none of its requests, and the list tells that some seconds later.
const cautiousTrialPeriod = 10 * time.Second

// resting tells whether the server is ejected now for a request: after failures in a row, until its rest and then
// its one trial are over.
func (s *server) ejected(now time.Duration, request *Request) bool {
	if s.failures < ejectAfter {
		return false
	}
	if now < s.ejectedUntil || s.trialInFlight {
		return true
	}
	lastTry := request.Route != nil && len(request.Excluded)+1 >= request.Route.MaxAttempts
	return lastTry && now < s.ejectedUntil+cautiousTrialPeriod
}

// trialDue tells whether a rest is over and the one trial is due.
func (s *server) trialDue(now time.Duration) bool {
	return s.failures >= ejectAfter && now >= s.ejectedUntil && !s.trialInFlight
}

// cold tells whether requests to the server are under the bound on cold servers.
func (s *server) warmingUp(now time.Duration) bool {
	if s.service.config == nil || !s.service.config.HasSlowStart() {
		return false
	}
	return now < s.warmingUntil || now < s.suspectedColdUntil
}

// leaves tells whether the server gets nothing new for good.
func (s *server) unavailable(now time.Duration) bool {
	return s.gone || s.draining || (s.expiresAt > 0 && now >= s.expiresAt)
}

// answered takes an attempt off the account of those that wait for their first event.
func (s *server) removeUnanswered(a *attempt) {
	i := slices.Index(s.unanswered, a)
	if i < 0 {
		return
	}
	s.unanswered = slices.Delete(s.unanswered, i, i+1)
	s.queuedPrefillTokens -= a.prefillTokens
}
