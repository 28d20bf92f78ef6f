package registry

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/route"
)

const (
	// MaxEndpoints is the maximum number of addresses in one response to a client.
	MaxEndpoints = 64

	// sufficientEndpoints is the number of proxies in a client's zone or region from which no larger set is considered.
	sufficientEndpoints = 2

	// mostlyServingDivisor is the divisor of the fraction of live proxies that must accept requests before clients are
	// sent to proxies while others are still starting.
	mostlyServingDivisor = 2

	// sufficientDivisor is the divisor of the fraction of all proxies that suffices even if it is a single proxy.
	sufficientDivisor = 3

	// recentLossWindow is the time after a proxy's last report for which its region counts as having recently lost it,
	// unless that report said that the proxy was draining. During this time proxies of other regions may take over: the
	// deployment's rules do not count such requests for 15 s, of which the last 3 s are the time for which clients may
	// still use a response of the directory.
	recentLossWindow = 12 * time.Second
)

// Client describes a client that requests edge addresses.
type Client struct {
	Region string // region of the client; empty: unknown
	Zone   string // zone of the client; empty: unknown
	// HomeRegions are the home regions of the requested host's routes. A request with home regions must be sent only to
	// proxies in one of these or in the client's region.
	HomeRegions route.HomeRegions
	// DrainGracePeriod is the time for which a draining proxy may still be returned if no other proxy is near.
	DrainGracePeriod time.Duration
}

// isNear reports whether a region is near: all requests of the client may be sent to it.
func (c *Client) isNear(region string) bool {
	return !c.HomeRegions.IsRestricted() || region == c.Region || c.HomeRegions.AllAllowedIn(region)
}

// Endpoints returns the edge addresses that a client is to use. They are the first sufficient set of the following; a
// set is sufficient with at least two proxies or a third of all proxies.
//
//  1. The proxies of the client's zone.
//  2. The proxies of the client's region.
//  3. The proxies of all near regions, to which all requests of the client may be sent.
//  4. The proxies of all regions, if the client's region has recently lost a proxy that was not draining.
//  5. The proxies of all near regions, though they are not sufficient.
//  6. The proxies of the client's region that have just begun to drain and still accept requests.
//  7. The proxies in the regions that are home regions of the most routes.
//
// From the fourth set on, a single proxy is sufficient. All sets but the sixth have only proxies that are live, ready
// and not draining.
//
// The order is rotated to spread clients that use the first address. The result has at most MaxEndpoints addresses; it
// is empty if no proxy accepts requests.
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
	if draining := m.recentlyDraining(now, client); len(draining) > 0 {
		return rotated(draining, rotation)
	}
	return rotated(inHomeRegions(all, client.HomeRegions), rotation)
}

// recentlyDraining returns the records of proxies in the client's region that began to drain less than
// Client.DrainGracePeriod ago.
func (m *Members) recentlyDraining(now time.Duration, client Client) []*pb.AgentRecord {
	var result []*pb.AgentRecord
	for _, member := range m.list {
		record := member.record
		if record.Draining && record.Region == client.Region && record.EdgeAddress != "" &&
			now-member.drainingSince < client.DrainGracePeriod {
			result = append(result, record)
		}
	}
	return result
}

// inHomeRegions returns the records in the regions that are home regions of the most routes; all records if no record
// is in a home region.
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

// Serves reports whether a proxy of the region accepts requests. Clients whose region is unknown are served by any
// proxy.
func (m *Members) Serves(now time.Duration, region string) bool {
	serving := m.serving(now)
	if region == "" {
		return len(serving) > 0
	}
	return slices.ContainsFunc(serving, func(record *pb.AgentRecord) bool { return record.Region == region })
}

// recentLossIn reports whether a proxy of the region that was not draining has recently stopped reporting.
func (m *Members) recentLossIn(now time.Duration, region string) bool {
	for _, member := range m.list {
		if member.record.Region != region || member.record.Draining {
			continue
		}
		if sinceReport := now - member.receivedAt; sinceReport >= FailureTimeout && sinceReport < recentLossWindow {
			return true
		}
	}
	return false
}

// filter returns the records that meet a condition.
func filter(records []*pb.AgentRecord, condition func(*pb.AgentRecord) bool) []*pb.AgentRecord {
	var result []*pb.AgentRecord
	for _, record := range records {
		if condition(record) {
			result = append(result, record)
		}
	}
	return result
}

// suffices reports whether a subset of all proxies is large enough to serve the clients of its zone or region.
func suffices(part, all []*pb.AgentRecord) bool {
	if len(part) == 0 {
		return false
	}
	return len(part) >= sufficientEndpoints || len(part)*sufficientDivisor >= len(all)
}

// rotated returns the edge addresses of the records, at most MaxEndpoints, starting with the record at index rotation,
// modulo their number.
func rotated(records []*pb.AgentRecord, rotation uint64) []string {
	count := min(len(records), MaxEndpoints)
	addresses := make([]string, 0, count)
	for offset := range count {
		index := (rotation + uint64(offset)) % uint64(len(records))
		addresses = append(addresses, records[index].EdgeAddress)
	}
	return addresses
}
