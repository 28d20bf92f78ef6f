package route

import (
	"maps"
	"slices"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/configitem"
)

// settingLimits is the name of the setting that holds the request limits.
const settingLimits = "req-limits"

// Table is a configuration compiled for lookups. It is immutable and safe for concurrent use. A change creates a new
// table, which shares unchanged parts with the old one.
type Table struct {
	routes    []*Route            // routes sorted by name
	hosts     map[string]*host    // hosts by canonical name
	services  map[string]*Service // services by name
	evacuated []string            // evacuated zones, sorted
	limits    RequestLimits
}

var emptyTable = &Table{}

// Empty returns a table without any item.
func Empty() *Table { return emptyTable }

// RebuildResult is the result of Rebuild: the new table and the errors of the items that were added.
type RebuildResult struct {
	Table *Table
	// LeftOut holds the errors of items that cannot be used. The table contains neither these items nor the earlier items
	// with their names.
	LeftOut []*ItemError
	// PartiallyApplied holds the errors of items that the table contains without some of their members.
	PartiallyApplied []*ItemError
}

// FromItems compiles a complete configuration, and returns the table and the errors of items that it does not contain.
func FromItems(items []*pb.Item) (*Table, []*ItemError) {
	return Empty().With(items, nil, false)
}

// With returns the table after a change, as Rebuild does, and the errors of added items that it does not contain.
func (t *Table) With(upserts []*pb.Item, removals []*pb.ItemKey, replacesAll bool) (*Table, []*ItemError) {
	built := t.Rebuild(upserts, removals, replacesAll)
	return built.Table, built.LeftOut
}

// Rebuild returns the table after a change. It removes the items of removals, and then adds or replaces the items of
// upserts by kind and name. With replacesAll it also removes the operator's items that are not in upserts, but no
// evacuations. Items of unknown kinds are ignored.
//
// The table depends only on the items in force. An item with an unusable body therefore does not keep the earlier item of
// its name in place: the change has superseded that item, and a proxy that starts now would not have it.
func (t *Table) Rebuild(upserts []*pb.Item, removals []*pb.ItemKey, replacesAll bool) RebuildResult {
	change := newChange(t, replacesAll)
	for _, item := range upserts {
		change.remove(item.GetKind(), item.GetName())
	}
	for _, key := range removals {
		change.remove(key.GetKind(), key.GetName())
	}
	for _, item := range upserts {
		change.add(item)
	}
	return change.built
}

// Lookup returns the route of a request: of the routes for its host, the one with the longest prefix of its path. The port
// and the case of hostname, and a query in path, are ignored. Lookup does not allocate for usual host names.
func (t *Table) Lookup(hostname, path string) (*Route, bool) {
	found, ok := t.hosts[hostname]
	if !ok {
		found = t.findHost(hostname)
	}
	if found == nil {
		return nil, false
	}
	return found.lookup(path)
}

// Route returns a route by its name.
func (t *Table) Route(name string) (*Route, bool) {
	i, found := t.searchRoute(name)
	if !found {
		return nil, false
	}
	return t.routes[i], true
}

// searchRoute returns the index of a route, or the index at which it would be inserted.
func (t *Table) searchRoute(name string) (int, bool) {
	return slices.BinarySearchFunc(t.routes, name, func(route *Route, name string) int {
		return strings.Compare(route.Name, name)
	})
}

// Service returns the configuration of a service.
func (t *Table) Service(name string) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns the names of the services, sorted.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// RequestLimits returns the limits on clients' requests.
func (t *Table) RequestLimits() RequestLimits { return t.limits }

// Evacuated returns the zones whose evacuation is in force, sorted. The slice is shared and must not be modified.
func (t *Table) Evacuated() []string { return t.evacuated }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// change builds the successor of a table. The old table is never modified.
type change struct {
	table        *Table          // the new table
	mutableHosts map[string]bool // hosts that were cloned for the new table, and so may be modified
	built        RebuildResult
}

func newChange(old *Table, replacesAll bool) *change {
	next := &Table{evacuated: slices.Clone(old.evacuated), hosts: map[string]*host{}, services: map[string]*Service{}}
	if !replacesAll {
		next.limits = old.limits
		next.routes = slices.Clone(old.routes)
		maps.Copy(next.hosts, old.hosts)
		maps.Copy(next.services, old.services)
	}
	return &change{table: next, mutableHosts: map[string]bool{}, built: RebuildResult{Table: next}}
}

// remove removes an item, if the table contains it.
func (c *change) remove(kind, name string) {
	switch kind {
	case catalog.KindRoutes:
		if i, found := c.table.searchRoute(name); found {
			c.unlink(c.table.routes[i])
			c.table.routes = slices.Delete(c.table.routes, i, i+1)
		}
	case catalog.KindBackends:
		delete(c.table.services, name)
	case catalog.KindEvacuation:
		c.table.evacuated = slices.DeleteFunc(c.table.evacuated, func(zone string) bool { return zone == name })
	case catalog.KindSetting:
		if name == settingLimits {
			c.table.limits = RequestLimits{}
		}
	}
}

// add adds an item, or replaces the earlier item of its kind and name.
func (c *change) add(item *pb.Item) {
	c.remove(item.GetKind(), item.GetName()) // the item may occur twice in one change
	switch item.GetKind() {
	case catalog.KindRoutes:
		c.addRoute(item)
	case catalog.KindBackends:
		c.addService(item)
	case catalog.KindEvacuation:
		c.table.evacuated = append(c.table.evacuated, item.GetName())
		slices.Sort(c.table.evacuated)
	case catalog.KindSetting:
		c.addSetting(item)
	}
}

func (c *change) addRoute(item *pb.Item) {
	route, faults := parseRoute(item)
	c.report(item, faults, route == nil)
	if route == nil {
		return
	}
	i, _ := c.table.searchRoute(route.Name) // add has removed the earlier route of this name
	c.table.routes = slices.Insert(c.table.routes, i, route)
	c.mutableHost(route.Host).add(route)
}

func (c *change) addService(item *pb.Item) {
	service, faults := parseService(item)
	c.report(item, faults, false)
	c.table.services[service.Name] = service
}

func (c *change) addSetting(item *pb.Item) {
	if item.GetName() != settingLimits {
		return
	}
	limits, faults := parseLimits(item)
	c.report(item, faults, false)
	c.table.limits = limits
}

// report records the faults of an item, if there are any.
func (c *change) report(item *pb.Item, faults []configitem.FieldError, leftOut bool) {
	if len(faults) == 0 {
		return
	}
	problem := &ItemError{Kind: item.GetKind(), Name: item.GetName(), LeftOut: leftOut, Faults: faults}
	if leftOut {
		c.built.LeftOut = append(c.built.LeftOut, problem)
	} else {
		c.built.PartiallyApplied = append(c.built.PartiallyApplied, problem)
	}
}

// unlink removes a route from its host, and the host if it has no routes left.
func (c *change) unlink(route *Route) {
	host := c.mutableHost(route.Host)
	host.remove(route)
	if len(host.routes) == 0 {
		delete(c.table.hosts, route.Host)
		delete(c.mutableHosts, route.Host)
	}
}

// mutableHost returns a host that this change may modify. It clones the host of the old table on the first call.
func (c *change) mutableHost(name string) *host {
	if !c.mutableHosts[name] {
		c.table.hosts[name] = c.table.hosts[name].clone()
		c.mutableHosts[name] = true
	}
	return c.table.hosts[name]
}
