package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"fieldrelay/api/operator"
)

// virtualHost is the host of all requests.
const virtualHost = "lm.example"

// serviceNames are the stand-in services, by number.
var serviceNames = []string{"svc-a", "svc-b", "svc-c", "svc-d"}

// routeSpec is a route as the operator thinks of it.
type routeSpec struct {
	name   string
	prefix string
	shares [4]int // by service
}

// routeSet is the routes of a configuration by name. It is not changed once an order holds it.
type routeSet map[string]routeSpec

// services is a set of services, a bit for each.
type services uint8

// table is what clients see of a configuration: the services that may run requests, by prefix.
type table map[string]services

func (r routeSet) table() table {
	seen := make(table, len(r))
	for _, route := range r {
		for service, share := range route.shares {
			if share > 0 {
				seen[route.prefix] |= 1 << service
			}
		}
	}
	return seen
}

// sum tells tables apart.
func (t table) sum() uint64 {
	hash := fnv.New64a()
	for _, prefix := range slices.Sorted(maps.Keys(t)) {
		_, _ = fmt.Fprintf(hash, "%s=%d;", prefix, t[prefix])
	}
	return hash.Sum64()
}

// allows tells whether a proxy that serves by this table may handle a probe as it was handled.
func (t table) allows(own *probe) bool {
	if own.arrivedAt == 0 {
		return t[own.prefix] == 0
	}
	return t[own.prefix]&(1<<own.service) != 0
}

// wire is a route as it is sent.
func (r routeSpec) wire() operator.Route {
	kind := operator.RouteRouteKind("idempotent")
	target, tries := int64(800), 3
	result := operator.Route{
		Name: r.name, Vhost: virtualHost, PathPrefix: r.prefix, RouteKind: &kind, DeadlineMs: 2000, TargetMs: &target, Tries: &tries,
	}
	var split []operator.SplitPart
	for service, share := range r.shares {
		split = append(split, operator.SplitPart{Backend: serviceNames[service], Share: float64(share)})
	}
	result.Split = &split
	return result
}

func backends() *[]operator.Backend {
	var all []operator.Backend
	for _, name := range serviceNames {
		all = append(all, operator.Backend{Name: name})
	}
	return &all
}

// wholeBody is a configuration that replaces all before it.
func wholeBody(generation int64, routes routeSet, maxHeader int64) []byte {
	all := make([]operator.Route, 0, len(routes))
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		all = append(all, routes[name].wire())
	}
	limits := operator.RequestLimits{MaxHeaderBytes: &maxHeader}
	return marshal(operator.Configuration{Gen: generation, Backends: backends(), Routes: &all, ReqLimits: &limits})
}

// amendBody turns one set of routes into another.
func amendBody(generation int64, before, after routeSet) []byte {
	type items[T any] struct {
		Routes []T `json:"routes,omitempty"`
	}
	amendment := struct {
		Gen    int64                 `json:"gen"`
		Upsert items[operator.Route] `json:"upsert"`
		Remove items[string]         `json:"remove"`
	}{Gen: generation}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if before[name] != after[name] {
			amendment.Upsert.Routes = append(amendment.Upsert.Routes, after[name].wire())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, kept := after[name]; !kept {
			amendment.Remove.Routes = append(amendment.Remove.Routes, name)
		}
	}
	return marshal(amendment)
}

func marshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // nothing of ours can't be written
	}
	return text
}

// tableOf is what clients see of a configuration that was read.
func tableOf(body []byte) (generation int64, seen table, err error) {
	var told operator.Configuration
	if err := json.Unmarshal(body, &told); err != nil {
		return 0, nil, err
	}
	seen = make(table)
	if told.Routes == nil {
		return told.Gen, seen, nil
	}
	for _, route := range *told.Routes {
		if route.Split == nil {
			continue
		}
		for _, part := range *route.Split {
			if service := slices.Index(serviceNames, part.Backend); service >= 0 && part.Share > 0 {
				seen[route.PathPrefix] |= 1 << service
			}
		}
	}
	return told.Gen, seen, nil
}
