package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/common/selection"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/splitmix"
)

// Constants of the speed estimates. The speed of a server is 1 if its answers take the predicted time, and lower if they
// take longer.
const (
	// speedHalfLife is the age of an estimate's last sample at which half of its difference from the service's typical
	// speed is ignored. The aging causes a server that failed once to be tried again.
	speedHalfLife = 6 * time.Second
	// minSpeed and maxSpeed bound the assumed speed of a server.
	minSpeed = 0.02
	maxSpeed = 2.0
)

// server is the state that this proxy holds about one incarnation of a server.
type server struct {
	id, address, zone, region string

	service  *service
	capacity int
	hash     uint64 // hash of the id
	affinity uint64 // sort key of this proxy's own order of servers, descending

	listedFrom            uint64 // number of the first server list that contained the server
	draining              bool
	retired               bool          // the server is no longer in the list, or another server has its address
	expiresAt             time.Duration // time when the server stops taking requests; 0: unknown
	warmingUntil          time.Duration
	warmupReportedAt      time.Duration // when one of the server's answers last reported that it is warming up
	suspectedWarmingUntil time.Duration // end of the warm-up that is assumed because the server may have been restarted
	cooldownUntil         time.Duration // end of the time in which the server, which was full or seems to drain, is a last resort

	estimate            selection.Estimate
	unanswered          []*attempt    // attempts without a first event, oldest first
	queuedPrefillTokens int           // prompt tokens to prefill for the unanswered attempts
	busyUntil           time.Duration // expected end of the prefills that other proxies announced
	queues              rankQueues
	openAttempts        int // attempts that have not finished
	reservedTokens      int // maximum number of tokens that the open attempts occupy in the server's memory
	failures            int // total weight of the consecutive failures
	failureReports      failureReports
	succeededAt         time.Duration // when this proxy last got a complete answer from the server; 0: never
	ejectionPeriod      time.Duration // length of the last ejection; 0 after a success
	ejectedUntil        time.Duration
	trialInFlight       bool // the only trial request after an ejection is open

	cachedPrefixes lruList
	matchedPick    uint64 // number of the pick for which the following two fields are valid
	matchedChunks  int    // number of chunks of the longest cached prefix of the pick's prompt
	matchedTokens  int    // number of tokens of the longest cached prefix of the pick's prompt
}

func newServer(listed *pb.Server, owner *service, region string, hostHash uint64) *server {
	hash := xxhash.Sum64String(listed.GetId())
	return &server{
		id:       listed.GetId(),
		zone:     listed.GetZone(),
		region:   region,
		service:  owner,
		hash:     hash,
		affinity: splitmix.Mix(hash ^ hostHash),
	}
}

// speedAt returns the estimated speed of a server at a point in time. An aging estimate approaches the typical speed of
// the service. An attempt that has waited longer than predicted is an upper bound before its outcome is known.
func (p *Placer) speedAt(now time.Duration, s *server) float64 {
	speed := s.service.typicalSpeed(s.region == p.region)
	if s.estimate.Seeded() {
		weight := 1.0
		if !p.off(policy.SpeedAging) {
			age := now - s.estimate.SampledAt()
			weight = float64(speedHalfLife) / float64(speedHalfLife+age)
		}
		speed += (s.estimate.Speed() - speed) * weight
	}
	if len(s.unanswered) > 0 && !p.off(policy.OverdueBound) {
		oldest := s.unanswered[0]
		if waited := now - oldest.sentAt; waited > oldest.nominalLatency {
			speed = min(speed, float64(oldest.nominalLatency)/float64(waited))
		}
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// warmingUp reports whether requests to the server count towards its slow start limit.
func (s *server) warmingUp(now time.Duration) bool {
	if s.service.config == nil || !s.service.config.HasSlowStart() {
		return false
	}
	return now < s.warmingUntil || now < s.suspectedWarmingUntil
}

// unavailable reports whether no new request may be sent to the server, now or later.
func (s *server) unavailable(now time.Duration) bool {
	return s.retired || s.draining || (s.expiresAt > 0 && now >= s.expiresAt)
}

// removeUnanswered removes an attempt from the attempts that wait for their first event, if it is one of them.
func (s *server) removeUnanswered(a *attempt) {
	i := slices.Index(s.unanswered, a)
	if i < 0 {
		return
	}
	s.unanswered = slices.Delete(s.unanswered, i, i+1)
	s.queuedPrefillTokens -= a.prefillTokens
}
