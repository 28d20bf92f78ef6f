package route

import (
	"maps"
	"slices"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
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

// FromItems makes a table of a whole control state. Items that cannot be used are left out and told, each by
// an *ItemError.
func FromItems(items []*pb.Item) (*Table, []error) {
	return Empty().With(items, nil, false)
}

// With gives the table after a change: items are put in or replaced by kind and name, then removals are taken
// out; with replacesAll the operator's items that are not among the upserts go as well (evacuations stay).
// Items of kinds without meaning here are ignored; those that cannot be used are left out and told, each by
// an *ItemError.
func (t *Table) With(upserts []*pb.Item, removals []*pb.ItemKey, replacesAll bool) (*Table, []error) {
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
	return change.table, change.faults
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
	table  *Table
	copied map[string]bool // hosts that are this change's own
	faults []error
}

func newChange(old *Table, replacesAll bool) *change {
	next := &Table{evacuated: slices.Clone(old.evacuated), hosts: map[string]*host{}, services: map[string]*Service{}}
	if !replacesAll {
		next.limits = old.limits
		next.routes = slices.Clone(old.routes)
		maps.Copy(next.hosts, old.hosts)
		maps.Copy(next.services, old.services)
	}
	return &change{table: next, copied: map[string]bool{}}
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
	var err error
	switch item.GetKind() {
	case catalog.KindRoutes:
		err = c.putRoute(item)
	case catalog.KindBackends:
		err = c.putService(item)
	case catalog.KindEvacuation:
		c.table.evacuated = append(c.table.evacuated, item.GetName())
		slices.Sort(c.table.evacuated)
	case catalog.KindSetting:
		if item.GetName() == settingLimits {
			c.table.limits, err = parseLimits(item)
		}
	}
	if err != nil {
		c.faults = append(c.faults, &ItemError{Kind: item.GetKind(), Name: item.GetName(), Err: err})
	}
}

func (c *change) putRoute(item *pb.Item) error {
	route, err := parseRoute(item)
	if err != nil {
		return err
	}
	i, _ := c.table.find(route.Name) // put has taken out the one of this name
	c.table.routes = slices.Insert(c.table.routes, i, route)
	c.own(route.Host).put(route)
	return nil
}

func (c *change) putService(item *pb.Item) error {
	service, err := parseService(item)
	if err != nil {
		return err
	}
	c.table.services[service.Name] = service
	return nil
}

// drop takes a route out of its host, unless another route has its place.
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
