package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/common/selection"
	"fieldrelay/internal/region/limits"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/route"
)

const (
	// minConnections is the number of connections to a server that a proxy may open however small its share is.
	minConnections = 4
	// connectionFraction is the fraction of a server's connection limit that the proxies share among themselves.
	connectionFraction = 0.9
	// assumedProxies is the number of proxies that are assumed to share a limit while the number is unknown.
	assumedProxies = 16
	// cacheSharing is the number of per-proxy shares of a server's prefix cache that this proxy counts as its own,
	// because many prefixes are common to several proxies.
	cacheSharing = 2
	// defaultCacheTokens is the size of the prefix cache of a server whose service does not set one.
	defaultCacheTokens = 100_000
)

// Config is the fixed configuration of a Placer.
type Config struct {
	Host      string            // name of this machine
	Zone      string            // zone of this machine
	Regions   map[string]string // region of each zone
	Seed      uint64            // seed of the random number generator
	SlowStart limits.SlowStartConfig
	Off       policy.Switches // mechanisms that are switched off
}

// Placer selects the servers of attempts and holds the state that it learned about the servers. It is not safe for
// concurrent use: its owner makes all calls under one lock, with a time that never decreases.
type Placer struct {
	config        Config
	region        string
	hostHash      uint64
	random        *rand.Rand
	slowStart     *limits.SlowStartLimiter
	table         *route.Table
	evacuated     map[string]bool // evacuated zones
	proxies       int             // number of proxies that share the servers; 0: unknown
	regionProxies int             // number of proxies in this proxy's region, this proxy included; 0: unknown

	services     map[string]*service // services by name
	servers      map[string]*server  // servers by id
	byKey        map[uint32]*server  // servers by the low half of their hash
	attempts     map[AttemptID]*attempt
	lastID       AttemptID
	freeAttempts []*attempt // closed attempts, for reuse

	announcedPrefixes map[uint32]announcedPrefix // announced prefixes by prompt key
	announcements     announcementLimiter
	prefixCache       prefixCacheIndex
	slack             selection.Slack // slack over all services
	pickNumber        uint64          // identifies the pick to which a server's matched prefix belongs
	listNumber        uint64          // number of the newest server list
	buffers           pickBuffers
	waiting           waitQueue
	roundTrips        map[string]time.Duration // mean round-trip times by zone, as measured
	stats             Stats
}

// New returns a Placer without any server.
func New(config Config) *Placer {
	return &Placer{
		config:    config,
		region:    config.Regions[config.Zone],
		hostHash:  xxhash.Sum64String(config.Host),
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		slowStart: limits.NewSlowStartLimiter(config.SlowStart, config.Host),
		table:     route.Empty(),
		evacuated: map[string]bool{},
		services:  map[string]*service{},
		servers:   map[string]*server{},
		byKey:     map[uint32]*server{},
		attempts:  map[AttemptID]*attempt{},
		slack:     selection.NewSlack(bands),

		waiting:           newWaitQueue(),
		roundTrips:        map[string]time.Duration{},
		prefixCache:       newPrefixCacheIndex(),
		announcedPrefixes: map[uint32]announcedPrefix{},
		announcements:     newAnnouncementLimiter(),
	}
}

// off reports whether a mechanism is switched off.
func (p *Placer) off(m policy.Mechanism) bool { return p.config.Off.Off(m) }

// SetTable replaces the configuration table.
func (p *Placer) SetTable(now time.Duration, table *route.Table) {
	p.table = table
	for _, name := range table.Services() {
		p.service(name)
	}
	for name, known := range p.services {
		known.config, _ = table.Service(name)
		p.dropUnused(known)
	}
}

// SetEvacuated replaces the set of zones to whose servers no new request may be sent. Servers of a zone whose evacuation
// ends may have been restarted in the meantime: they are treated as warming up until a newer list shows their state.
func (p *Placer) SetEvacuated(now time.Duration, zones []string) {
	for _, known := range p.servers {
		if p.evacuated[known.zone] && !slices.Contains(zones, known.zone) {
			known.suspectedWarmingUntil = now + suspectedWarmingPeriod
		}
	}
	clear(p.evacuated)
	for _, zone := range zones {
		p.evacuated[zone] = true
	}
}

// SetQuotaMembers replaces the proxies that share the common limits.
func (p *Placer) SetQuotaMembers(now time.Duration, members *pb.QuotaMembers) {
	p.proxies = max(int(members.GetProxies()), len(members.GetMembers()))
	if members.GetProxies() == 0 {
		p.proxies = 0
	}
	p.regionProxies = 0
	for _, member := range members.GetMembers() {
		if member.GetRegion() == p.region {
			p.regionProxies++
		}
	}
	p.slowStart.SetQuotaMembers(now, members)
}

// Slack returns the exponentially weighted fraction, from 0 to 1, of this proxy's requests that were answered in time,
// over all services.
func (p *Placer) Slack() float64 { return p.slack.Fraction }

// ServiceSlack returns the exponentially weighted fraction, from 0 to 1, of the requests for one service that were
// answered in time. It determines how the service's servers are selected. For an unknown service it returns Slack.
func (p *Placer) ServiceSlack(name string) float64 {
	if known := p.services[name]; known != nil {
		return known.slack.Fraction
	}
	return p.slack.Fraction
}

// service returns the state of a service, and creates it if the service is new.
func (p *Placer) service(name string) *service {
	known := p.services[name]
	if known == nil {
		known = newService(name)
		known.config, _ = p.table.Service(name)
		p.services[name] = known
	}
	return known
}

// dropUnused deletes the state of a service that neither the configuration nor the server list contains.
func (p *Placer) dropUnused(known *service) {
	if known.config == nil && len(known.servers) == 0 {
		delete(p.services, known.name)
	}
}

// maxConnections returns this proxy's share of the connections that a server of a service accepts.
func (p *Placer) maxConnections(owner *service) int {
	if owner.config == nil || owner.config.MaxConnections == 0 {
		return maxAttempts
	}
	proxies := p.proxies
	if proxies == 0 {
		proxies = assumedProxies
	}
	share := connectionFraction * float64(owner.config.MaxConnections) / float64(proxies)
	return max(int(share), minConnections)
}

// prefixCacheTokens returns the number of tokens that a server of a service is expected to cache for this proxy.
func (p *Placer) prefixCacheTokens(owner *service) int {
	all := defaultCacheTokens
	if owner.servesModel() && owner.config.Runtime.CacheTokens > 0 {
		all = owner.config.Runtime.CacheTokens
	}
	return all * cacheSharing / max(p.proxies, cacheSharing)
}
