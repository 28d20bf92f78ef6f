package placement

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/policy"
)

const (
	// suspectedWarmingPeriod is how long a server that may have been restarted unnoticed is treated as warming up. It
	// covers the lag of the platform, one poll interval, and the delivery of the list to this proxy.
	suspectedWarmingPeriod = 2500 * time.Millisecond
	// drainCooldown is how long a server that seems to be draining is avoided. A list that arrives within this time
	// shows whether the server is draining.
	drainCooldown = 3 * time.Second
)

// SetServers replaces the server list by one that was read from the platform age ago. Servers that it does not contain
// are removed.
func (p *Placer) SetServers(now time.Duration, servers []*pb.Server, age time.Duration) {
	p.listNumber++
	listed := make(map[string]bool, len(servers))
	changed := map[*service]bool{}
	added := map[string]*server{} // added servers by address
	for _, entry := range servers {
		listed[entry.GetId()] = true
		known := p.servers[entry.GetId()]
		if known == nil {
			known = p.addServer(entry)
			changed[known.service] = true
			added[entry.GetAddress()] = known
		}
		p.updateServer(now, known, entry, age)
	}
	p.retireReplaced(added)
	for id, known := range p.servers {
		if !listed[id] {
			p.removeServer(known)
			changed[known.service] = true
		}
	}
	for service := range changed {
		service.sort()
		p.dropUnused(service)
	}
}

// retireReplaced marks a server as retired if an added server has the same address: the older server crashed, and the
// list does not show that yet. Two servers that were added by the same list are both kept, since neither is older.
func (p *Placer) retireReplaced(added map[string]*server) {
	if len(added) == 0 {
		return
	}
	for _, known := range p.servers {
		if successor := added[known.address]; successor != nil && known.listedFrom < successor.listedFrom {
			known.retired = true
		}
	}
}

func (p *Placer) addServer(entry *pb.Server) *server {
	owner := p.service(entry.GetService())
	added := newServer(entry, owner, p.config.Regions[entry.GetZone()], p.hostHash)
	added.listedFrom = p.listNumber
	owner.servers = append(owner.servers, added)
	p.servers[added.id] = added
	p.byKey[uint32(added.hash)] = added
	return added
}

func (p *Placer) removeServer(known *server) {
	known.retired = true
	delete(p.servers, known.id)
	if p.byKey[uint32(known.hash)] == known {
		delete(p.byKey, uint32(known.hash))
	}
	known.service.servers = slices.DeleteFunc(known.service.servers, func(other *server) bool { return other == known })
	p.prefixCache.removeServer(known)
	p.forgetAnnouncedPrefixes(known)
}

// updateServer applies a server's entry in a list that was read age ago. Durations in the entry are relative to that
// time.
func (p *Placer) updateServer(now time.Duration, known *server, entry *pb.Server, age time.Duration) {
	known.address = entry.GetAddress()
	known.capacity = int(entry.GetCapacity())
	known.draining = entry.GetDraining()
	known.expiresAt = 0
	if left := entry.GetExpiresMs(); left > 0 {
		known.expiresAt = max(now-age+time.Duration(left)*time.Millisecond, 1)
	}
	warmingUntil := now - age + time.Duration(entry.GetWarmLeftMs())*time.Millisecond
	if known.warmupReportedAt > now-age-suspectedWarmingPeriod { // the list may predate the server's own report
		warmingUntil = max(warmingUntil, known.warmingUntil)
	}
	known.warmingUntil = warmingUntil
}

// ServerWarmingUp records the remaining warm-up time that a server reported in an answer (X-Fieldrelay-Warmup-Ms).
func (p *Placer) ServerWarmingUp(now time.Duration, serverID string, left time.Duration) {
	if known := p.servers[serverID]; known != nil {
		known.warmingUntil = max(known.warmingUntil, now+left)
		known.warmupReportedAt = now
	}
}

// ServerDraining records that a server seems to be draining: its answers close the connection, or its health check
// fails. The server is avoided for drainCooldown.
func (p *Placer) ServerDraining(now time.Duration, serverID string) {
	if known := p.servers[serverID]; known != nil && !p.off(policy.DrainCooldown) {
		known.cooldownUntil = max(known.cooldownUntil, now+drainCooldown)
	}
}
