package catalog

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/configitem"
	"fieldrelay/internal/region/jsonwalk"
)

// validate checks the rules of the operator API for routes and services. It parses each route of the configuration that
// an order would put in force once.
//
// An order is rejected for the items that it submits, not for items that are in force already: an earlier version of
// this program may have accepted items that this version rejects, and amendments of other items must remain possible.
func validate(current, next *Snapshot, submitted submittedRoutes, faults *InvalidError) {
	routes := next.Items(KindRoutes)
	checker := routeChecker{
		submitted: submitted,
		services:  namesOf(next.Items(KindBackends)),
		current:   current,
		routeOf:   make(map[configitem.Match]string, len(routes)),
		faults:    faults,
	}
	for _, item := range routes {
		checker.check(item)
	}
}

// namesOf returns the set of the items' names.
func namesOf(items []*pb.Item) map[string]bool {
	names := make(map[string]bool, len(items))
	for _, item := range items {
		names[item.GetName()] = true
	}
	return names
}

// submittedRoutes is the set of the routes that an order submits.
type submittedRoutes struct {
	all   bool            // the order is a whole configuration and so submits all routes
	names map[string]bool // names of the submitted routes of an amendment
}

// add adds the routes of an amendment.
func (s *submittedRoutes) add(entries []entry) {
	if s.names == nil {
		s.names = make(map[string]bool, len(entries))
	}
	for _, route := range entries {
		s.names[route.name] = true
	}
}

func (s *submittedRoutes) includes(route string) bool { return s.all || s.names[route] }

// routeChecker checks the routes of the next configuration, one after another.
type routeChecker struct {
	submitted submittedRoutes
	services  map[string]bool             // names of the services of the next configuration
	current   *Snapshot                   // state before the order
	routeOf   map[configitem.Match]string // name of the route with each match
	faults    *InvalidError
}

func (c *routeChecker) check(item *pb.Item) {
	name := item.GetName()
	route := configitem.ParseRoute(item.GetBody())
	c.checkMatch(name, &route)
	if c.submitted.includes(name) {
		_, faults := route.Deadline()
		c.addFaults(name, faults)
	}
	c.checkServices(name, &route)
}

// addFaults adds the faults of a route to the error.
func (c *routeChecker) addFaults(route string, faults []configitem.FieldError) {
	for _, fault := range faults {
		c.faults.add(KindRoutes+"/"+route, fault.Field, "%s", fault.Reason)
	}
}

// checkMatch rejects a route whose match is invalid, and a route that matches the same requests as another one.
func (c *routeChecker) checkMatch(name string, route *configitem.Route) {
	match, faults := route.Match()
	if faults != nil {
		if c.submitted.includes(name) {
			c.addFaults(name, faults)
		}
		return
	}
	owner, duplicate := c.routeOf[match]
	if duplicate && (c.submitted.includes(name) || c.submitted.includes(owner)) {
		c.faults.add(KindRoutes+"/"+name, "path-prefix", "route %q has the same host and prefix", owner)
	}
	if !duplicate {
		c.routeOf[match] = name
	}
}

// checkServices checks the services that a route refers to by "backend" or "split".
func (c *routeChecker) checkServices(name string, route *configitem.Route) {
	destination, faults := route.Destination()
	if c.submitted.includes(name) {
		c.addFaults(name, faults)
	}
	c.checkService(name, "backend", destination.Service)
	for _, share := range destination.Split {
		c.checkService(name, "split", share.Service)
	}
}

// checkService rejects a reference to a service that does not exist. It accepts the reference if neither the route was
// submitted nor the service was removed by this order: an earlier version accepted it.
func (c *routeChecker) checkService(route, field string, service []byte) {
	if len(service) == 0 || c.services[string(service)] {
		return
	}
	name := jsonwalk.TextOf(service)
	if c.services[name] {
		return
	}
	if _, removed := c.current.Get(KindBackends, name); removed || c.submitted.includes(route) {
		c.faults.add(KindRoutes+"/"+route, field, "there is no service %q", name)
	}
}
