package catalog

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/configitem"
	"fieldrelay/internal/jsonwalk"
)

// validate checks the rules of the operator's API that concern routes and services. It runs over the
// configuration that an order would bring into force and looks at each body once.
//
// An order is refused for what it brings, not for what was in force before: an earlier version of this program may
// have accepted what this one refuses, and an amendment of something else has to remain possible.
func validate(current, next *Snapshot, sent sentRoutes, faults *InvalidError) {
	routes := next.Items(KindRoutes)
	checker := routeChecker{
		sent:     sent,
		services: namesOf(next.Items(KindBackends)),
		current:  current,
		owners:   make(map[configitem.Match]string, len(routes)),
		faults:   faults,
	}
	for _, item := range routes {
		checker.check(item)
	}
}

func namesOf(items []*pb.Item) map[string]bool {
	names := make(map[string]bool, len(items))
	for _, item := range items {
		names[item.GetName()] = true
	}
	return names
}

// sentRoutes tells which routes an order sends.
type sentRoutes struct {
	all   bool
	names map[string]bool
}

func (s *sentRoutes) add(entries []entry) {
	if s.names == nil {
		s.names = make(map[string]bool, len(entries))
	}
	for _, sent := range entries {
		s.names[sent.name] = true
	}
}

func (s *sentRoutes) includes(route string) bool { return s.all || s.names[route] }

type routeChecker struct {
	sent     sentRoutes
	services map[string]bool // of the next configuration
	current  *Snapshot
	owners   map[configitem.Match]string // name of the route that has this place
	faults   *InvalidError
}

func (c *routeChecker) check(item *pb.Item) {
	name := item.GetName()
	route := configitem.ParseRoute(item.GetBody())
	c.checkPlace(name, &route)
	if c.sent.includes(name) {
		_, faults := route.Deadline()
		c.add(name, faults)
	}
	c.checkServices(name, &route)
}

// add adds faults of a route.
func (c *routeChecker) add(route string, faults []configitem.Fault) {
	for _, fault := range faults {
		c.faults.add(KindRoutes+"/"+route, fault.Field, "%s", fault.Reason)
	}
}

// checkPlace refuses a route that no request can be matched with, and two for the same requests.
func (c *routeChecker) checkPlace(name string, route *configitem.Route) {
	place, faults := route.Match()
	if faults != nil {
		if c.sent.includes(name) {
			c.add(name, faults)
		}
		return
	}
	owner, taken := c.owners[place]
	if taken && (c.sent.includes(name) || c.sent.includes(owner)) {
		c.faults.add(KindRoutes+"/"+name, "path-prefix", "route %q has the same host and prefix", owner)
	}
	if !taken {
		c.owners[place] = name
	}
}

// checkServices checks the services that a route names, by "backend" or by "split".
func (c *routeChecker) checkServices(name string, route *configitem.Route) {
	destination, faults := route.Destination()
	if c.sent.includes(name) {
		c.add(name, faults)
	}
	c.checkService(name, "backend", destination.Service)
	for _, share := range destination.Shares {
		c.checkService(name, "split", share.Service)
	}
}

// checkService refuses a service that is not there, unless an earlier version left the route without it.
func (c *routeChecker) checkService(route, field string, service []byte) {
	if len(service) == 0 || c.services[string(service)] {
		return
	}
	name := jsonwalk.TextOf(service)
	if c.services[name] {
		return
	}
	if _, removed := c.current.Get(KindBackends, name); removed || c.sent.includes(route) {
		c.faults.add(KindRoutes+"/"+route, field, "there is no service %q", name)
	}
}
