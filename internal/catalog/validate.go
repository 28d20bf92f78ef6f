package catalog

import (
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// validate checks the rules of the operator's API that concern routes and services. It runs over the
// configuration that an order would bring into force and looks at each body once.
func validate(next *Snapshot, faults *InvalidError) {
	services := make(map[string]bool)
	for _, item := range next.Items(KindBackends) {
		services[item.GetName()] = true
	}
	routes := next.Items(KindRoutes)
	checker := routeChecker{services: services, owners: make(map[routeKey]string, len(routes)), faults: faults}
	for _, item := range routes {
		checker.check(item)
	}
}

// routeKey is what no two routes may share.
type routeKey struct {
	host   string
	prefix string
}

type routeChecker struct {
	services map[string]bool
	owners   map[routeKey]string // name of the route that has this host and prefix
	faults   *InvalidError
}

// optionalText decodes a JSON string; any other value gives the empty text.
func optionalText(value []byte) string {
	if !isString(value) {
		return ""
	}
	return text(value)
}

// routeFields are the members of a route that the rules are about; nil where they are missing or null.
type routeFields struct {
	host, prefix, service, split, deadline []byte
}

func readRoute(body []byte) routeFields {
	var fields routeFields
	if !isObject(body) {
		return fields
	}
	for key, value := range members(body) {
		if isNull(value) {
			value = nil
		}
		switch string(key) {
		case "vhost":
			fields.host = value
		case "path-prefix":
			fields.prefix = value
		case "backend":
			fields.service = value
		case "split":
			fields.split = value
		case "deadline-ms":
			fields.deadline = value
		}
	}
	return fields
}

func (c *routeChecker) check(item *pb.Item) {
	fields := readRoute(item.GetBody())
	c.checkPlace(item.GetName(), fields)
	c.checkDeadline(item.GetName(), fields.deadline)
	c.checkServices(item.GetName(), fields)
}

// fault adds a fault of a route.
func (c *routeChecker) fault(route, field, format string, arguments ...any) {
	c.faults.add(KindRoutes+"/"+route, field, format, arguments...)
}

// checkPlace refuses a route that no request can be matched with, and two for the same requests.
func (c *routeChecker) checkPlace(route string, fields routeFields) {
	key := routeKey{host: optionalText(fields.host), prefix: optionalText(fields.prefix)}
	if key.host == "" {
		c.fault(route, "vhost", "is not a host name")
		return
	}
	if !strings.HasPrefix(key.prefix, "/") {
		c.fault(route, "path-prefix", "does not begin with a slash")
		return
	}
	key.host = strings.ToLower(key.host)
	if owner, taken := c.owners[key]; taken {
		c.fault(route, "path-prefix", "route %q has the same host and prefix", owner)
		return
	}
	c.owners[key] = route
}

func (c *routeChecker) checkDeadline(route string, value []byte) {
	if value == nil {
		return
	}
	deadline, ok := floatNumber(value)
	if !ok {
		c.fault(route, "deadline-ms", "is not a number")
		return
	}
	if deadline <= 0 {
		c.fault(route, "deadline-ms", "is not above 0")
	}
}

// checkServices checks the services that a route names, by "backend" or by "split".
func (c *routeChecker) checkServices(route string, fields routeFields) {
	named := fields.service != nil
	if named {
		named = c.checkService(route, "backend", fields.service)
	}
	if fields.split == nil {
		if !named {
			c.fault(route, "backend", "no service is named")
		}
		return
	}
	if !isArray(fields.split) {
		c.fault(route, "split", "is not a list")
		return
	}
	total, count := c.checkSplit(route, fields.split)
	onlyService := count == 0 && named
	if total <= 0 && !onlyService {
		c.fault(route, "split", "the shares add up to 0")
	}
}

// checkService reports whether a service is named; the empty name stands for none.
func (c *routeChecker) checkService(route, field string, value []byte) bool {
	if !isString(value) {
		c.fault(route, field, "is not a name")
		return true
	}
	name := inner(value)
	if len(name) == 0 {
		return false
	}
	if !c.services[string(name)] && !c.services[textOf(name)] {
		c.fault(route, field, "there is no service %q", textOf(name))
	}
	return true
}

func (c *routeChecker) checkSplit(route string, split []byte) (total float64, count int) {
	for element := range elements(split) {
		count++
		if !isObject(element) {
			c.fault(route, "split", "element %d is not an object", count-1)
			continue
		}
		if !c.checkService(route, "split", member(element, "backend")) {
			c.fault(route, "split", "element %d names no service", count-1)
		}
		total += c.checkShare(route, member(element, "share"))
	}
	return total, count
}

func (c *routeChecker) checkShare(route string, value []byte) float64 {
	if value == nil {
		return 0
	}
	share, ok := floatNumber(value)
	if !ok || share < 0 {
		c.fault(route, "split", "a share is not a number of 0 or more")
		return 0
	}
	return share
}
