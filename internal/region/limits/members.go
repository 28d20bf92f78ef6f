package limits

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/splitmix"
)

// member is one of the proxies that share the limits.
type member struct {
	host   string
	region string
	hash   uint64 // hash of the host name
}

// membersOf returns the members listed in quotaMembers, sorted by host and without duplicate hosts.
func membersOf(quotaMembers *pb.QuotaMembers) []member {
	members := make([]member, 0, len(quotaMembers.GetMembers()))
	for _, neighbour := range quotaMembers.GetMembers() {
		name := neighbour.GetHost()
		members = append(members, member{host: name, region: neighbour.GetRegion(), hash: xxhash.Sum64String(name)})
	}
	slices.SortFunc(members, func(x, y member) int { return cmp.Compare(x.host, y.host) })
	return slices.CompactFunc(members, func(x, y member) bool { return x.host == y.host })
}

// namesMajority reports whether quotaMembers lists more than half of the proxies. From a smaller set this proxy would
// rank itself too far ahead, and take a share that belongs to another proxy.
func namesMajority(quotaMembers *pb.QuotaMembers, members []member) bool {
	return quotaMembers.GetProxies() > 0 && 2*len(members) > int(quotaMembers.GetProxies())
}

// position returns the zero-based rank of host among the members, in rendezvous hashing order for a key (Thaler and
// Ravishankar, 1998). Proxies that know the same members compute the same order without coordination. Members for
// which eligible returns false and repeated hosts are skipped. The result is -1 if host is not an eligible member.
func position(members []member, host, key string, eligible func(member) bool) int {
	own := slices.IndexFunc(members, func(m member) bool { return m.host == host && eligible(m) })
	if own < 0 {
		return -1
	}
	keyHash := xxhash.Sum64String(key)
	ownWeight := weight(members[own], keyHash)
	ahead := 0
	for _, other := range members {
		if other.host == host || !eligible(other) {
			continue
		}
		otherWeight := weight(other, keyHash)
		if otherWeight > ownWeight || (otherWeight == ownWeight && other.host < host) {
			ahead++
		}
	}
	return ahead
}

// weight returns a member's rendezvous hashing weight for a key.
func weight(m member, keyHash uint64) uint64 { return splitmix.Mix(m.hash ^ keyHash) }
