package route

import (
	"bytes"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// Homes tells where requests to a host may be served.
type Homes struct {
	// Routes is the number of its routes that have homes.
	Routes int
	// ByRegion counts those of them that may be served in a region.
	ByRegion map[string]int
	// Unknown: it may have homes that are not known here.
	Unknown bool
}

// Bound reports whether some requests may be served in some regions only.
func (h Homes) Bound() bool { return h.Unknown || h.Routes > 0 }

// AllMayBeIn reports whether each request that is bound may be served in a region.
func (h Homes) AllMayBeIn(region string) bool {
	return !h.Unknown && h.ByRegion[region] == h.Routes
}

// HomeIndex has the Homes of all hosts in one state of the configuration. It never changes.
type HomeIndex struct {
	hosts map[string]Homes // by canonical name
	// unknown: an item that is no route has homes; which hosts that concerns is not known.
	unknown bool
}

// NewHomeIndex looks through a configuration. It takes time in proportion to its size.
func NewHomeIndex(configuration *catalog.Snapshot) *HomeIndex {
	index := &HomeIndex{hosts: make(map[string]Homes)}
	for _, kind := range configuration.Kinds() {
		for _, item := range configuration.Items(kind) {
			if mentionsHomes(item.GetBody()) {
				index.add(item)
			}
		}
	}
	return index
}

// Of returns the homes of a host.
func (i *HomeIndex) Of(host string) Homes {
	homes := i.hosts[CanonicalHost(host)]
	homes.Unknown = i.unknown
	return homes
}

// add takes an item in. A route that cannot be used is left out, as it is from a table.
func (i *HomeIndex) add(item *pb.Item) {
	if item.GetKind() != catalog.KindRoutes {
		i.unknown = true
		return
	}
	route, err := parseRoute(item)
	if err != nil || len(route.HomeRegions) == 0 {
		return
	}
	homes := i.hosts[route.Host]
	if homes.ByRegion == nil {
		homes.ByRegion = make(map[string]int)
	}
	homes.Routes++
	for _, region := range route.HomeRegions {
		homes.ByRegion[region]++
	}
	i.hosts[route.Host] = homes
}

// homesKey is the member of an item that lists its homes.
var homesKey = []byte(`"home-regions"`)

// mentionsHomes reports whether a body has a list of homes that is not empty, without decoding it: most routes have
// none. Inside of a JSON text the quotes of the key would be escaped, so that it is found as a key alone.
func mentionsHomes(body []byte) bool {
	for {
		_, rest, found := bytes.Cut(body, homesKey)
		if !found {
			return false
		}
		value := bytes.TrimLeft(rest, ": \t\r\n")
		if !bytes.HasPrefix(value, []byte("null")) && !isEmptyList(value) {
			return true
		}
		body = rest
	}
}

// isEmptyList reports whether a JSON text begins with a list of nothing.
func isEmptyList(text []byte) bool {
	elements, isList := bytes.CutPrefix(text, []byte("["))
	return isList && bytes.HasPrefix(bytes.TrimLeft(elements, " \t\r\n"), []byte("]"))
}
