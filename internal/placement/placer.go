package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/limits"
	"fieldrelay/internal/policy"
	"fieldrelay/internal/route"
	"fieldrelay/logic/selection"
)

// Bounds and times of what is known of servers.
const (
	// maxAttempts is the most attempts that may be open.
	maxAttempts = 1 << 14
	// suspectedColdPeriod is how long a server that may have turned cold unseen is treated as cold: the platform's lag,
	// a poll and the list's way here.
	suspectedColdPeriod = 2500 * time.Millisecond
	// drainCooldown is how long a server that seems to leave is avoided; the list tells whether it does.
	drainCooldown = 3 * time.Second
	// minConnections is the least number of connections to a server that a proxy may have.
	minConnections = 4
	// connectionFraction of a server's connections is handed out.
	connectionFraction = 0.9
	// assumedProxies is taken to share a server's connections while it is not known how many do.
	assumedProxies = 16
	// cacheSharing: this proxy counts on so many equal shares of a server's memory, for parts are often shared.
	cacheSharing = 2
	// defaultCacheTokens is the memory of a server that does not tell, in tokens.
	defaultCacheTokens = 100_000
)

// Placer decides where attempts go and keeps what was learnt of servers. It is not safe for concurrent use:
// all calls are made under one lock, with a time that never falls.
type Placer struct {
	config    Config
	region    string
	hostHash  uint64
	random    *rand.Rand
	slowStart *limits.SlowStartLimiter
	table     *route.Table
	evacuated map[string]bool
	proxies   int // that share the servers; 0: unknown
	// neighbours are the proxies of the own region, this one too; 0: unknown.
	regionProxies int

	services     map[string]*service
	servers      map[string]*server // by id
	byKey        map[uint32]*server // by ServerKey
	attempts     map[AttemptID]*attempt
	lastID       AttemptID
	freeAttempts []*attempt // closed attempts, used again

	announcedPrefixes map[uint32]announcedPrefix // by prompt key
	announcements     announcementLimiter
	slack             selection.Slack // over all services
	prefixCache       prefixCacheIndex
	pickNumber        uint64 // numbers surveys, for the marks of the keeper
	listNumber        uint64 // numbers server lists
	buffers           pickBuffers
	stats             Stats
}

// off tells whether a mechanism is switched off.
func (p *Placer) off(m policy.Mechanism) bool { return p.config.Off.Off(m) }

// New makes a Placer that knows no server.
func New(config Config) *Placer {
	return &Placer{
		config:            config,
		region:            config.Regions[config.Zone],
		hostHash:          xxhash.Sum64String(config.Host),
		random:            rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		slowStart:         limits.NewSlowStartLimiter(config.SlowStart, config.Host),
		table:             route.Empty(),
		evacuated:         map[string]bool{},
		services:          map[string]*service{},
		servers:           map[string]*server{},
		attempts:          map[AttemptID]*attempt{},
		slack:             selection.NewSlack(bands),
		prefixCache:       newPrefixCacheIndex(),
		announcedPrefixes: map[uint32]announcedPrefix{},
		byKey:             map[uint32]*server{},
		announcements:     newAnnouncementLimiter(),
	}
}

// SetServers takes in a whole server list, which was read age ago. Servers that it does not name are gone.
func (p *Placer) SetServers(now time.Duration, servers []*pb.Server, age time.Duration) {
	p.listNumber++
	named := make(map[string]bool, len(servers))
	changed := map[*service]bool{}
	fresh := map[string]*server{} // that were not listed before, by address
	for _, listed := range servers {
		named[listed.GetId()] = true
		known := p.servers[listed.GetId()]
		if known == nil {
			known = p.addServer(listed)
			changed[known.service] = true
			fresh[listed.GetAddress()] = known
		}
		p.update(now, known, listed, age)
	}
	p.retireReplaced(fresh)
	for id, known := range p.servers {
		if !named[id] {
			p.removeServer(known)
			changed[known.service] = true
		}
	}
	for service := range changed {
		service.sort()
		p.dropUnused(service)
	}
}

// retire takes servers that crashed to be gone before the list drops them: one that came after them answers at
// their address.
func (p *Placer) retireReplaced(fresh map[string]*server) {
	if len(fresh) == 0 {
		return
	}
	for _, known := range p.servers {
		if successor := fresh[known.address]; successor != nil && known.listedFrom < successor.listedFrom {
			known.gone = true
		}
	}
}

// SetTable takes in a configuration.
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

// SetEvacuated takes in the zones whose servers may get nothing new. Servers of a zone that is taken back may
// have turned cold, and are treated so until a newer list can tell.
func (p *Placer) SetEvacuated(now time.Duration, zones []string) {
	for _, known := range p.servers {
		if p.evacuated[known.zone] && !slices.Contains(zones, known.zone) {
			known.suspectedColdUntil = now + suspectedColdPeriod
		}
	}
	clear(p.evacuated)
	for _, zone := range zones {
		p.evacuated[zone] = true
	}
}

// SetQuotaMembers takes in which proxies share the common bounds.
func (p *Placer) SetQuotaMembers(now time.Duration, shares *pb.Shares) {
	p.proxies = max(int(shares.GetProxies()), len(shares.GetMembers()))
	if shares.GetProxies() == 0 {
		p.proxies = 0
	}
	p.regionProxies = 0
	for _, member := range shares.GetMembers() {
		if member.GetRegion() == p.region {
			p.regionProxies++
		}
	}
	p.slowStart.SetQuotaMembers(now, shares)
}

// ServerWarmingUp takes in from a server's answer (X-Fieldrelay-Warmup-Ms) how much longer it is cold.
func (p *Placer) ServerWarmingUp(now time.Duration, serverID string, left time.Duration) {
	if known := p.servers[serverID]; known != nil {
		known.warmingUntil = max(known.warmingUntil, now+left)
		known.warmupReportedAt = now
	}
}

// ServerDraining takes in that a server seems about to end (its answers close the connection, or it no longer
// passes its health check): it is avoided for a while; the list tells whether it drains.
func (p *Placer) ServerDraining(now time.Duration, serverID string) {
	if known := p.servers[serverID]; known != nil && !p.off(policy.DrainCooldown) {
		known.cooldownUntil = max(known.cooldownUntil, now+drainCooldown)
	}
}

// Slack is the aged share of this proxy's requests that were answered in time, over all services.
func (p *Placer) Slack() float64 { return p.slack.Share }

// ServiceSlack is the aged share of the requests for one service, which sets how its servers are picked.
func (p *Placer) ServiceSlack(name string) float64 {
	if known := p.services[name]; known != nil {
		return known.slack.Share
	}
	return p.slack.Share
}

// service gives what is known of a service, as yet nothing if it is new.
func (p *Placer) service(name string) *service {
	known := p.services[name]
	if known == nil {
		known = newService(name)
		known.config, _ = p.table.Service(name)
		p.services[name] = known
	}
	return known
}

// dropUnused forgets a service that neither the configuration nor the server list names.
func (p *Placer) dropUnused(known *service) {
	if known.config == nil && len(known.servers) == 0 {
		delete(p.services, known.name)
	}
}

func (p *Placer) addServer(listed *pb.Server) *server {
	owner := p.service(listed.GetService())
	added := newServer(listed, owner, p.config.Regions[listed.GetZone()], p.hostHash)
	added.listedFrom = p.listNumber
	owner.servers = append(owner.servers, added)
	p.servers[added.id] = added
	p.byKey[uint32(added.hash)] = added
	return added
}

func (p *Placer) removeServer(known *server) {
	known.gone = true
	delete(p.servers, known.id)
	if p.byKey[uint32(known.hash)] == known {
		delete(p.byKey, uint32(known.hash))
	}
	known.service.servers = slices.DeleteFunc(known.service.servers, func(other *server) bool { return other == known })
	p.prefixCache.removeServer(known)
	p.forgetAnnouncedPrefixes(known)
}

// update takes in what the list says of a server. Time that was left when the list was read has passed since.
func (p *Placer) update(now time.Duration, known *server, listed *pb.Server, age time.Duration) {
	known.address = listed.GetAddress()
	known.capacity = int(listed.GetCapacity())
	known.draining = listed.GetDraining()
	known.expiresAt = 0
	if left := listed.GetExpiresMs(); left > 0 {
		known.expiresAt = max(now-age+time.Duration(left)*time.Millisecond, 1)
	}
	coldUntil := now - age + time.Duration(listed.GetWarmLeftMs())*time.Millisecond
	if known.warmupReportedAt > now-age-suspectedColdPeriod { // the list may be from before
		coldUntil = max(coldUntil, known.warmingUntil)
	}
	known.warmingUntil = coldUntil
}

// maxConnections is this proxy's part of the connections that a server of a service accepts.
func (p *Placer) maxConnections(owner *service) int {
	if owner.config == nil || owner.config.MaxConnections == 0 {
		return maxAttempts
	}
	proxies := p.proxies
	if proxies == 0 {
		proxies = assumedProxies
	}
	part := connectionFraction * float64(owner.config.MaxConnections) / float64(proxies)
	return max(int(part), minConnections)
}

// prefixCacheTokens is how many tokens this proxy counts on a server of a service to keep for it.
func (p *Placer) prefixCacheTokens(owner *service) int {
	all := defaultCacheTokens
	if owner.servesModel() && owner.config.Runtime.CacheTokens > 0 {
		all = owner.config.Runtime.CacheTokens
	}
	return all * cacheSharing / max(p.proxies, cacheSharing)
}
