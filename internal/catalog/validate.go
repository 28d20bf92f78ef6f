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
	checker := routeChecker{services: services, owners: make(map[routeKey]string), faults: faults}
	for _, item := range next.Items(KindRoutes) {
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
	place := KindRoutes + "/" + item.GetName()
	fields := readRoute(item.GetBody())
	c.checkPlace(place, item.GetName(), fields)
	c.checkDeadline(place, fields.deadline)
	c.checkServices(place, fields)
}

// checkPlace refuses a route that no request can be matched with, and two for the same requests.
func (c *routeChecker) checkPlace(place, name string, fields routeFields) {
	if !isString(fields.host) || text(fields.host) == "" {
		c.faults.add(place, "vhost", "is not a host name")
		return
	}
	if !isString(fields.prefix) || !strings.HasPrefix(text(fields.prefix), "/") {
		c.faults.add(place, "path-prefix", "does not begin with a slash")
		return
	}
	key := routeKey{host: strings.ToLower(text(fields.host)), prefix: text(fields.prefix)}
	if owner, taken := c.owners[key]; taken {
		c.faults.add(place, "path-prefix", "route %q has the same host and prefix", owner)
		return
	}
	c.owners[key] = name
}

func (c *routeChecker) checkDeadline(place string, value []byte) {
	if value == nil {
		return
	}
	deadline, ok := floatNumber(value)
	if !ok {
		c.faults.add(place, "deadline-ms", "is not a number")
		return
	}
	if deadline <= 0 {
		c.faults.add(place, "deadline-ms", "is not above 0")
	}
}

// checkServices checks the services that a route names, by "backend" or by "split".
func (c *routeChecker) checkServices(place string, fields routeFields) {
	named := fields.service != nil
	if named {
		named = c.checkService(place, "backend", fields.service)
	}
	if fields.split == nil {
		if !named {
			c.faults.add(place, "backend", "no service is named")
		}
		return
	}
	if !isArray(fields.split) {
		c.faults.add(place, "split", "is not a list")
		return
	}
	total, count := c.checkSplit(place, fields.split)
	onlyService := count == 0 && named
	if total <= 0 && !onlyService {
		c.faults.add(place, "split", "the shares add up to 0")
	}
}

// checkService reports whether a service is named; the empty name stands for none.
func (c *routeChecker) checkService(place, field string, value []byte) bool {
	if !isString(value) {
		c.faults.add(place, field, "is not a name")
		return true
	}
	name := text(value)
	if name == "" {
		return false
	}
	if !c.services[name] {
		c.faults.add(place, field, "there is no service %q", name)
	}
	return true
}

func (c *routeChecker) checkSplit(place string, split []byte) (total float64, count int) {
	for element := range elements(split) {
		count++
		if !isObject(element) {
			c.faults.add(place, "split", "element %d is not an object", count-1)
			continue
		}
		if !c.checkService(place, "split", member(element, "backend")) {
			c.faults.add(place, "split", "element %d names no service", count-1)
		}
		total += c.checkShare(place, member(element, "share"))
	}
	return total, count
}

func (c *routeChecker) checkShare(place string, value []byte) float64 {
	if value == nil {
		return 0
	}
	share, ok := floatNumber(value)
	if !ok || share < 0 {
		c.faults.add(place, "split", "a share is not a number of 0 or more")
		return 0
	}
	return share
}
