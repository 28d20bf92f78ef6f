package controlserver

import (
	"time"

	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/operatorapi"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/route"
	"fieldrelay/internal/region/settings"
)

const (
	// maxEndpointsLifetime is the maximum time for which clients may use a response of the directory.
	maxEndpointsLifetime = time.Second

	// maxDrainingEndpointTime and the grace period divided by drainingGraceDivisor bound the time for which the
	// directory still returns a draining proxy.
	maxDrainingEndpointTime = 2 * time.Second
	drainingGraceDivisor    = 4
)

// homeIndexCache caches the index of the hosts' home regions for one snapshot of the configuration.
type homeIndexCache struct {
	snapshot *catalog.Snapshot
	index    *route.HomeIndex
}

// operatorOptions configures the operator's API and the directory.
func (p *process) operatorOptions() operatorapi.Options {
	return operatorapi.Options{
		Orders:        p.node,
		Ready:         func() bool { return p.node.Status().Founded },
		Authoritative: func() bool { return p.node.Status().Authoritative },
		ZoneKnown:     p.knowsZone,
		Endpoints: func(host, region, zone string) []string {
			client := registry.Client{Region: region, Zone: zone, HomeRegions: p.homeRegionsOf(host), DrainGracePeriod: p.drainingEndpointTime()}
			return p.soft.Endpoints(client, p.rotation.Add(1))
		},
		EndpointsLifetime: func() time.Duration {
			return endpointsLifetime(p.settings.Current())
		},
		Counters: &p.operatorCounters,
	}
}

// drainingEndpointTime returns the time for which the directory still returns a draining proxy. The time is short,
// since the proxy accepts requests only a little longer, and clients cache its address for a second or more.
func (p *process) drainingEndpointTime() time.Duration {
	return min(maxDrainingEndpointTime, p.settings.Current().Bounds.Grace()/drainingGraceDivisor)
}

// homeRegionsOf returns the regions that may process requests to a host. While this machine is not authoritative, its
// configuration may be stale, and the home regions of every host count as unknown.
func (p *process) homeRegionsOf(host string) route.HomeRegions {
	status := p.node.Status()
	if !status.Authoritative || status.Committed == nil {
		return route.HomeRegions{Unreadable: true}
	}
	cached := p.homeIndex.Load()
	if cached == nil || cached.snapshot != status.Committed {
		cached = &homeIndexCache{snapshot: status.Committed, index: route.NewHomeIndex(status.Committed)}
		p.homeIndex.Store(cached)
	}
	return cached.index.Of(host)
}

// knowsZone reports whether the deployment has a zone of this name. An evacuated zone is known even if the settings of
// this machine do not have it, or not yet: the operator may repeat the order at any control machine.
func (p *process) knowsZone(zone string) bool {
	if p.settings.Current().KnowsZone(zone) {
		return true
	}
	committed := p.node.Status().Committed
	return committed != nil && committed.Evacuated(zone)
}

// endpointsLifetime returns the time for which clients may use a response of the directory: maxEndpointsLifetime, or
// less if the settings demand it.
func endpointsLifetime(current *settings.Settings) time.Duration {
	limit := current.Bounds.TTLMax()
	if limit <= 0 {
		return maxEndpointsLifetime
	}
	return min(maxEndpointsLifetime, limit)
}
