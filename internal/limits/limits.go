// Package limits keeps this proxy's part of the bounds that all proxies keep together: repeated requests to a
// service, and requests to a cold server. No proxy asks another one: parts are cut so that their sum stays
// under the bound, also while proxies differ in whom they count. Times are those since the start of this process.
// Nothing is safe for concurrent use.
package limits

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "fieldrelay/api/fieldrelay/v1"
)

// rank gives this host's place, from 0, among members in the order of rendezvous hashing for a key. Members
// for whom eligible is false are passed over; so is a repeated host. It is -1 when the host is no member.
func rank(members []member, host, key string, eligible func(member) bool) int {
	own := slices.IndexFunc(members, func(m member) bool { return m.host == host && eligible(m) })
	if own < 0 {
		return -1
	}
	keyHash := xxhash.Sum64String(key)
	mine := weight(members[own], keyHash)
	place := 0
	for _, other := range members {
		if other.host == host || !eligible(other) {
			continue
		}
		theirs := weight(other, keyHash)
		if theirs > mine || (theirs == mine && other.host < host) {
			place++
		}
	}
	return place
}

// member is one proxy that may be sending.
type member struct {
	host   string
	region string
	hash   uint64 // of the host
}

// weight mixes a member and a key into the member's weight for that key (the finaliser of SplitMix64).
func weight(m member, keyHash uint64) uint64 {
	mixed := m.hash ^ keyHash
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// membersOf reads the members of shares, sorted by host, each host once.
func membersOf(shares *pb.Shares) []member {
	members := make([]member, 0, len(shares.GetMembers()))
	for _, neighbour := range shares.GetMembers() {
		name := neighbour.GetHost()
		members = append(members, member{host: name, region: neighbour.GetRegion(), hash: xxhash.Sum64String(name)})
	}
	slices.SortFunc(members, func(x, y member) int {
		if x.host < y.host {
			return -1
		}
		if x.host > y.host {
			return 1
		}
		return 0
	})
	return slices.CompactFunc(members, func(x, y member) bool { return x.host == y.host })
}

// known tells whether shares name enough of the proxies to cut a bound by them: with fewer, this proxy would
// think itself first too often.
func known(shares *pb.Shares, members []member) bool {
	return shares.GetProxies() > 0 && 2*len(members) > int(shares.GetProxies())
}
