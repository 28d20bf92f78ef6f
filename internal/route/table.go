package route

import (
	"maps"
	"slices"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/configitem"
)

// settingLimits is the name of the setting that holds the request limits.
const settingLimits = "req-limits"

// Table is a configuration compiled for lookups. It is immutable: a change makes a new one, which shares with
// the old one what the change leaves alone.
type Table struct {
	routes    []*Route         // sorted by name
	hosts     map[string]*host // by canonical host
	services  map[string]*Service
	evacuated []string // zones, sorted
	limits    RequestLimits
}

var emptyTable = &Table{}

// Empty gives the table that holds nothing.
func Empty() *Table { return emptyTable }

// Built is a table, with what was wrong with the items that were put in.
type Built struct {
	Table *Table
	// LeftOut are the items of which nothing can be used. They are not in the table, and nor is what stood under their
	// names before.
	LeftOut []*ItemError
	// PartiallyApplied are the items that are in the table without some of their members.
	PartiallyApplied []*ItemError
}

// FromItems makes a table of a whole control state, and tells the items that are left out.
func FromItems(items []*pb.Item) (*Table, []*ItemError) {
	return Empty().With(items, nil, false)
}

// With gives the table after a change, as Rebuild does, and tells the items that are left out.
func (t *Table) With(upserts []*pb.Item, removals []*pb.ItemKey, replacesAll bool) (*Table, []*ItemError) {
	built := t.Rebuild(upserts, removals, replacesAll)
	return built.Table, built.LeftOut
}

// Rebuild gives the table after a change: items are taken out by removals, then others put in or replaced by kind and
// name; with replacesAll the operator's items that are not among the upserts go as well (evacuations stay). Items of
// kinds without meaning here are ignored.
//
// The table follows from the items that are in force alone. So a body that cannot be used does not leave what stood
// before in its place: that would be an older configuration, which the order has ended, and another proxy that starts
// now would not have it.
func (t *Table) Rebuild(upserts []*pb.Item, removals []*pb.ItemKey, replacesAll bool) Built {
	change := newChange(t, replacesAll)
	for _, item := range upserts {
		change.forget(item.GetKind(), item.GetName())
	}
	for _, key := range removals {
		change.forget(key.GetKind(), key.GetName())
	}
	for _, item := range upserts {
		change.put(item)
	}
	return change.built
}

// Lookup gives the route of a request: of the routes for its host, without port and in any case, the one with
// the longest prefix of its path. A query in path is passed over. It allocates nothing.
func (t *Table) Lookup(hostname, path string) (*Route, bool) {
	found, ok := t.hosts[hostname]
	if !ok {
		found = t.hostIn(hostname)
	}
	if found == nil {
		return nil, false
	}
	return found.lookup(path)
}

// Route gives a route by its name.
func (t *Table) Route(name string) (*Route, bool) {
	i, found := t.find(name)
	if !found {
		return nil, false
	}
	return t.routes[i], true
}

// find gives the place of a route, or where it would be.
func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.routes, name, func(route *Route, name string) int {
		return strings.Compare(route.Name, name)
	})
}

// Service gives what the configuration says of a service.
func (t *Table) Service(name string) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services gives the names of the services, sorted.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// RequestLimits gives the bounds on what clients may send.
func (t *Table) RequestLimits() RequestLimits { return t.limits }

// Evacuated gives the zones whose evacuation is in force, sorted. The slice is shared: it is only to be read.
func (t *Table) Evacuated() []string { return t.evacuated }

// Routes is the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// change builds the table that follows another one. The old table is never written to.
type change struct {
	table  *Table          // the one that is built
	copied map[string]bool // hosts that are this change's own
	built  Built
}

func newChange(old *Table, replacesAll bool) *change {
	next := &Table{evacuated: slices.Clone(old.evacuated), hosts: map[string]*host{}, services: map[string]*Service{}}
	if !replacesAll {
		next.limits = old.limits
		next.routes = slices.Clone(old.routes)
		maps.Copy(next.hosts, old.hosts)
		maps.Copy(next.services, old.services)
	}
	return &change{table: next, copied: map[string]bool{}, built: Built{Table: next}}
}

// forget takes an item out, if it is there.
func (c *change) forget(kind, name string) {
	switch kind {
	case catalog.KindRoutes:
		if i, found := c.table.find(name); found {
			c.drop(c.table.routes[i])
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

// put takes an item in, in the place of the one that it replaces.
func (c *change) put(item *pb.Item) {
	c.forget(item.GetKind(), item.GetName()) // it may come twice
	switch item.GetKind() {
	case catalog.KindRoutes:
		c.putRoute(item)
	case catalog.KindBackends:
		c.putService(item)
	case catalog.KindEvacuation:
		c.table.evacuated = append(c.table.evacuated, item.GetName())
		slices.Sort(c.table.evacuated)
	case catalog.KindSetting:
		c.putSetting(item)
	}
}

func (c *change) putRoute(item *pb.Item) {
	route, faults := parseRoute(item)
	c.tell(item, faults, route == nil)
	if route == nil {
		return
	}
	i, _ := c.table.find(route.Name) // put has taken out the one of this name
	c.table.routes = slices.Insert(c.table.routes, i, route)
	c.own(route.Host).put(route)
}

func (c *change) putService(item *pb.Item) {
	service, faults := parseService(item)
	c.tell(item, faults, false)
	c.table.services[service.Name] = service
}

func (c *change) putSetting(item *pb.Item) {
	if item.GetName() != settingLimits {
		return
	}
	limits, faults := parseLimits(item)
	c.tell(item, faults, false)
	c.table.limits = limits
}

// tell notes what is wrong with an item, if anything is.
func (c *change) tell(item *pb.Item, faults []configitem.Fault, leftOut bool) {
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

// drop takes a route out of its host.
func (c *change) drop(route *Route) {
	host := c.own(route.Host)
	host.drop(route)
	if len(host.routes) == 0 {
		delete(c.table.hosts, route.Host)
		delete(c.copied, route.Host)
	}
}

// own gives a host that this change may write to.
func (c *change) own(name string) *host {
	if !c.copied[name] {
		c.table.hosts[name] = c.table.hosts[name].clone()
		c.copied[name] = true
	}
	return c.table.hosts[name]
}
