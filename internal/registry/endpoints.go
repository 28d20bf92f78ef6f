package registry

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/route"
)

const (
	// MaxEndpoints is the number of addresses that a client is told at most.
	MaxEndpoints = 64

	// sufficientEndpoints in a client's zone or region are used without looking further.
	sufficientEndpoints = 2

	// mostlyServingDivisor is the part of the live proxies (one in so many) that is enough to send clients to them while
	// the others are still on their way.
	mostlyServingDivisor = 2

	// sufficientDivisor is the part of all proxies (one in so many) that suffices though it is a single one.
	sufficientDivisor = 3

	// recentLossWindow is how long after a proxy was last heard of its region counts as in unplanned trouble, if it fell
	// silent without having said that it drains. Until then the proxies of other regions may help out: the rules
	// leave such requests out for 15 s, of which clients may hold an answer for the last three.
	recentLossWindow = 12 * time.Second
)

// Client is who asks for edge addresses.
type Client struct {
	Region string // empty: not told
	Zone   string // empty: not told
	// Homes are those of the host that it asks for: requests that have homes must not be sent to proxies in regions
	// that are neither homes nor the client's.
	Homes route.HomeRegions
	// Leaving is how long a proxy that drains may still be named where nothing else is near.
	Leaving time.Duration
}

// isNear reports whether all requests of the client may be sent to a region.
func (c *Client) isNear(region string) bool {
	return !c.Homes.IsRestricted() || region == c.Region || c.Homes.AllAllowedIn(region)
}

// Endpoints returns the edge addresses that a client is to use: those of its zone if there are at least two or a
// third of all, else those of its region by the same measure, else those of all regions that are near. If a client
// that is bound to homes has just lost a proxy of its region, and what is near does not suffice, all regions help. If
// nothing is near, it gets proxies of its region that have only begun to drain and still take requests, else those in
// regions that are homes of the most of its routes. Apart from that, only proxies that are live, ready and not draining
// count. The order is turned by rotation, so that clients that take the first ones spread. The result is empty if no
// proxy takes requests.
func (m *Members) Endpoints(now time.Duration, client Client, rotation uint64) []string {
	all := m.serving(now)
	inZone := filter(all, func(record *pb.AgentRecord) bool { return record.Zone == client.Zone })
	if suffices(inZone, all) {
		return rotated(inZone, rotation)
	}
	inRegion := filter(all, func(record *pb.AgentRecord) bool { return record.Region == client.Region })
	if suffices(inRegion, all) {
		return rotated(inRegion, rotation)
	}
	near := filter(all, func(record *pb.AgentRecord) bool { return client.isNear(record.Region) })
	switch {
	case suffices(near, all):
		return rotated(near, rotation)
	case m.recentLossIn(now, client.Region):
		return rotated(all, rotation)
	case len(near) > 0:
		return rotated(near, rotation)
	}
	if leaving := m.recentlyDraining(now, client); len(leaving) > 0 {
		return rotated(leaving, rotation)
	}
	return rotated(inHomeRegions(all, client.Homes), rotation)
}

// leaving returns the records of the client's region that have only begun to drain.
func (m *Members) recentlyDraining(now time.Duration, client Client) []*pb.AgentRecord {
	var result []*pb.AgentRecord
	for _, member := range m.list {
		record := member.record
		if record.Draining && record.Region == client.Region && record.EdgeAddress != "" &&
			now-member.drainingSince < client.Leaving {
			result = append(result, record)
		}
	}
	return result
}

// inHomeRegions returns the records in those regions that are homes of the most routes; all if none is one.
func inHomeRegions(all []*pb.AgentRecord, homes route.HomeRegions) []*pb.AgentRecord {
	most := 0
	for _, record := range all {
		most = max(most, homes.ByRegion[record.Region])
	}
	if most == 0 {
		return all
	}
	return filter(all, func(record *pb.AgentRecord) bool { return homes.ByRegion[record.Region] == most })
}

// Serves reports whether a proxy of the region takes requests. Clients that tell no region are served by any.
func (m *Members) Serves(now time.Duration, region string) bool {
	serving := m.serving(now)
	if region == "" {
		return len(serving) > 0
	}
	return slices.ContainsFunc(serving, func(record *pb.AgentRecord) bool { return record.Region == region })
}

// recentLossIn reports whether a proxy of the region has just fallen silent without having said that it drains.
func (m *Members) recentLossIn(now time.Duration, region string) bool {
	for _, member := range m.list {
		if member.record.Region != region || member.record.Draining {
			continue
		}
		if silent := now - member.receivedAt; silent >= FailureTimeout && silent < recentLossWindow {
			return true
		}
	}
	return false
}

// matching returns the records that a condition holds for.
func filter(records []*pb.AgentRecord, condition func(*pb.AgentRecord) bool) []*pb.AgentRecord {
	var result []*pb.AgentRecord
	for _, record := range records {
		if condition(record) {
			result = append(result, record)
		}
	}
	return result
}

// suffices reports whether a part of all proxies can take the clients of its place.
func suffices(part, all []*pb.AgentRecord) bool {
	if len(part) == 0 {
		return false
	}
	return len(part) >= sufficientEndpoints || len(part)*sufficientDivisor >= len(all)
}

// rotated returns the edge addresses of the records, begun at another one for each rotation.
func rotated(records []*pb.AgentRecord, rotation uint64) []string {
	count := min(len(records), MaxEndpoints)
	addresses := make([]string, 0, count)
	for offset := range count {
		index := (rotation + uint64(offset)) % uint64(len(records))
		addresses = append(addresses, records[index].EdgeAddress)
	}
	return addresses
}
