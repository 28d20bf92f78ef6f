package chain

import (
	"cmp"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Requirement is the redundancy that a chain needs before orders may be acknowledged: the minimum numbers of replicas,
// zones and regions.
type Requirement struct {
	Replicas int
	Zones    int
	Regions  int
}

// MetBy reports whether a chain is redundant enough. If the voters span fewer zones or regions than required, the chain
// has to span all zones or regions of the voters.
func (q Requirement) MetBy(chain, voters []*pb.Replica) bool {
	if len(chain) < q.Replicas {
		return false
	}
	return spans(chain, voters, q.Zones, (*pb.Replica).GetZone) &&
		spans(chain, voters, q.Regions, (*pb.Replica).GetRegion)
}

// domainOf returns one of the failure domains of a replica: its zone or its region.
type domainOf func(*pb.Replica) string

// spans reports whether a chain spans the required number of failure domains, or as many as the voters span.
func spans(chain, voters []*pb.Replica, required int, domain domainOf) bool {
	return countDomains(chain, domain) >= min(required, countDomains(voters, domain))
}

// countDomains returns the number of distinct failure domains of replicas.
func countDomains(replicas []*pb.Replica, domain domainOf) int {
	domains := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		domains[domain(replica)] = true
	}
	return len(domains)
}

// countInDomain returns the number of members in the failure domain of a replica.
func countInDomain(members []*pb.Replica, replica *pb.Replica, domain domainOf) int {
	count := 0
	for _, member := range members {
		if domain(member) == domain(replica) {
			count++
		}
	}
	return count
}

// byDomain orders replicas by region, zone and host.
func byDomain(a, b *pb.Replica) int {
	return cmp.Or(
		cmp.Compare(a.GetRegion(), b.GetRegion()),
		cmp.Compare(a.GetZone(), b.GetZone()),
		cmp.Compare(a.GetHost(), b.GetHost()),
	)
}
