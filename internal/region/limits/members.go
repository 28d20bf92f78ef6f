package limits

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/splitmix"
)

// member is one proxy that shares the limits.
type member struct {
	host   string
	region string
	hash   uint64 // of the host
}

// membersOf returns the members that shares name, sorted by host, each host once.
func membersOf(quotaMembers *pb.QuotaMembers) []member {
	members := make([]member, 0, len(quotaMembers.GetMembers()))
	for _, neighbour := range quotaMembers.GetMembers() {
		name := neighbour.GetHost()
		members = append(members, member{host: name, region: neighbour.GetRegion(), hash: xxhash.Sum64String(name)})
	}
	slices.SortFunc(members, func(x, y member) int { return cmp.Compare(x.host, y.host) })
	return slices.CompactFunc(members, func(x, y member) bool { return x.host == y.host })
}

// namesMajority reports whether shares name a majority of the proxies. With fewer, this proxy would believe itself to be
// among the first too often.
func namesMajority(quotaMembers *pb.QuotaMembers, members []member) bool {
	return quotaMembers.GetProxies() > 0 && 2*len(members) > int(quotaMembers.GetProxies())
}

// position returns this host's position, from 0, among the members in the order of rendezvous hashing for a key
// (Thaler and Ravishankar, 1998): proxies that know the same members agree on the order without coordination. Members
// for which eligible is false are passed over, as are repeated hosts. It is -1 if the host is not a member.
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

// weight is a member's weight for a key.
func weight(m member, keyHash uint64) uint64 { return splitmix.Mix(m.hash ^ keyHash) }
