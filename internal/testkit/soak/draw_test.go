package soak

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	fewRoutes  = 24
	mostRoutes = 400 // no large additions beyond
	manyRoutes = 120 // changed at once by a large change
)

// drafter draws configurations.
type drafter struct {
	random     *rand.Rand
	generation int64 // the last one used
	names      int   // used so far
}

// newRoute is a route that no configuration had before.
func (d *drafter) newRoute() routeSpec {
	d.names++
	return routeSpec{name: fmt.Sprintf("r-%05d", d.names), prefix: fmt.Sprintf("/p%05d/", d.names), shares: d.oneService()}
}

func (d *drafter) oneService() (shares [4]int) {
	shares[d.random.IntN(len(shares))] = 100
	return shares
}

// weights gives every service a share, some of them none.
func (d *drafter) weights() (shares [4]int) {
	for service := range shares {
		shares[service] = max(0, d.random.IntN(150)-50)
	}
	shares[d.random.IntN(len(shares))] = 30
	return shares
}

// next draws a valid change of a configuration.
func (d *drafter) next(base *order) *order {
	routes := maps.Clone(base.routes)
	names := slices.Sorted(maps.Keys(routes))
	switch drawn := d.random.IntN(100); {
	case drawn < 35:
		d.move(routes, names, 1)
	case drawn < 50:
		d.addTo(routes, 1+d.random.IntN(3))
	case drawn < 65:
		d.removeFrom(routes, names, 1+d.random.IntN(3))
	case drawn < 80:
		changed := routes[names[d.random.IntN(len(names))]]
		changed.shares = d.weights()
		routes[changed.name] = changed
	case drawn < 90 || len(names) > mostRoutes:
		d.move(routes, names, manyRoutes)
		d.removeFrom(routes, names, manyRoutes/2)
	default:
		d.addTo(routes, manyRoutes)
	}
	return d.order(base, routes, d.random.IntN(4) > 0)
}

func (d *drafter) move(routes routeSet, names []string, count int) {
	for range count {
		moved := routes[names[d.random.IntN(len(names))]]
		moved.shares = d.oneService()
		routes[moved.name] = moved
	}
}

func (d *drafter) addTo(routes routeSet, count int) {
	for range count {
		added := d.newRoute()
		routes[added.name] = added
	}
}

// removeFrom removes routes, but leaves enough of them.
func (d *drafter) removeFrom(routes routeSet, names []string, count int) {
	for range min(count, len(routes)-fewRoutes) {
		delete(routes, names[d.random.IntN(len(names))])
	}
}

// marked is a valid change with a route of its own, by which it is known wherever it is in force.
func (d *drafter) marked(base *order) *order {
	routes := maps.Clone(base.routes)
	d.move(routes, slices.Sorted(maps.Keys(routes)), 2)
	d.addTo(routes, 1)
	return d.order(base, routes, d.random.IntN(2) > 0)
}

// grown is a valid change that adds many routes; on nothing, it is the first configuration.
func (d *drafter) grown(base *order, count int) *order {
	routes := make(routeSet)
	maps.Copy(routes, base.routes)
	d.addTo(routes, count)
	return d.order(base, routes, true)
}

// invalid draws a change that has to be refused.
func (d *drafter) invalid(base *order) *order {
	spoilt := d.marked(base)
	spoilt.invalid = true
	switch d.random.IntN(4) {
	case 0: // an unknown service
		spoilt.body = bytes.Replace(spoilt.body, []byte(`"svc-a"`), []byte(`"svc-unknown"`), 1)
	case 1: // a deadline of 0
		spoilt.body = bytes.Replace(spoilt.body, []byte(`"deadline-ms":2000`), []byte(`"deadline-ms":0`), 1)
	case 2: // cut short
		spoilt.body = spoilt.body[:len(spoilt.body)-2]
	default: // not above the one that it builds on
		was := fmt.Appendf(nil, `"gen":%d,`, spoilt.generation)
		spoilt.body = bytes.Replace(spoilt.body, was, fmt.Appendf(nil, `"gen":%d,`, base.generation), 1)
	}
	return spoilt
}

// touchedBy is the prefixes of the routes that a change adds, moves or removes.
func touchedBy(before, after routeSet) []string {
	var touched []string
	for name, route := range after {
		if before[name] != route {
			touched = append(touched, route.prefix)
		}
	}
	for name, route := range before {
		if _, kept := after[name]; !kept {
			touched = append(touched, route.prefix)
		}
	}
	return slices.Sorted(slices.Values(touched))
}

// order forms an order whose routes follow those of its base. Only a whole configuration has limits of its own.
func (d *drafter) order(base *order, after routeSet, amends bool) *order {
	own := &order{base: base.generation, routes: after, answeredAt: forever, table: after.table(), maxHeader: base.maxHeader}
	own.amends = amends && own.base > 0
	d.generation += 1 + d.random.Int64N(3)
	own.generation = d.generation
	own.sum = own.table.sum()
	own.touched = touchedBy(base.routes, after)
	if own.amends {
		own.body = amendBody(own.generation, base.routes, after)
		return own
	}
	own.maxHeader = headLimits[d.random.IntN(len(headLimits))]
	own.body = wholeBody(own.generation, after, own.maxHeader)
	return own
}

// headLimits are the limits on heads that configurations have, in bytes.
var headLimits = []int64{16 << 10, 32 << 10, 64 << 10}
