package controlserver

import (
	"sync"

	"fieldrelay/internal/catalog"
	"fieldrelay/internal/route"
)

// homes remembers the homes of the routes of the newest configuration that was asked for them.
type homes struct {
	mutex    sync.Mutex
	sequence uint64                    // of the state that they were read from
	byHost   map[string]map[string]int // number of routes by host and home region
}

// homesOf counts the routes of a host that have a home in a region, by region. All routes are read for it once for each
// configuration: the directory asks only for clients whose own region has no proxy.
func (p *process) homesOf(host string) map[string]int {
	committed := p.node.Status().Committed
	if committed == nil {
		return nil
	}
	p.homes.mutex.Lock()
	defer p.homes.mutex.Unlock()
	if p.homes.sequence != committed.Sequence() {
		p.homes.sequence = committed.Sequence()
		p.homes.byHost = route.HomesByHost(committed.Items(catalog.KindRoutes))
	}
	return p.homes.byHost[route.CanonicalHost(host)]
}
