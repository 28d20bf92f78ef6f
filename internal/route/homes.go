package route

import (
	"bytes"
	"encoding/json"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/configitem"
	"fieldrelay/internal/jsonwalk"
)

// HomeRegions tells where requests to a host may be served.
type HomeRegions struct {
	// Routes is the number of its routes that have homes.
	Routes int
	// ByRegion counts those of them that may be served in a region.
	ByRegion map[string]int
	// Unreadable: it may have homes that are not known here.
	Unreadable bool
}

// IsRestricted reports whether some requests may be served in some regions only.
func (h HomeRegions) IsRestricted() bool { return h.Unreadable || h.Routes > 0 }

// AllAllowedIn reports whether each request that is bound may be served in a region.
func (h HomeRegions) AllAllowedIn(region string) bool {
	return !h.Unreadable && h.ByRegion[region] == h.Routes
}

// HomeIndex has the Homes of all hosts in one state of the configuration. It never changes.
type HomeIndex struct {
	hosts map[string]HomeRegions // by canonical name
	// unknown: an item that is no route has homes; which hosts that concerns is not known.
	unknown bool
}

// NewHomeIndex looks through a configuration. It takes time in proportion to its size.
func NewHomeIndex(configuration *catalog.Snapshot) *HomeIndex {
	index := &HomeIndex{hosts: make(map[string]HomeRegions)}
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
func (i *HomeIndex) Of(host string) HomeRegions {
	homes := i.hosts[configitem.CanonicalHost(host)]
	homes.Unreadable = i.unknown
	return homes
}

// add takes an item in. A route that cannot be used is left out, as it is from a table.
func (i *HomeIndex) add(item *pb.Item) {
	if item.GetKind() != catalog.KindRoutes {
		i.unknown = true
		return
	}
	route, _ := parseRoute(item)
	if route == nil || len(route.HomeRegions) == 0 {
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

// homesName is the member of an item that lists its homes.
const homesName = "home-regions"

var (
	homesKey = []byte(`"` + homesName + `"`)
	// escapedCharacter begins a character that is written by its number; such a key is not found as text.
	escapedCharacter = []byte(`\u`)
)

// mentionsHomes reports whether a body has homes that are not an empty list, without taking it apart: most routes have
// none. Inside of a JSON text the quotes of the key would be escaped, so that it is found as a key alone.
func mentionsHomes(body []byte) bool {
	if bytes.Contains(body, escapedCharacter) && json.Valid(body) {
		return hasHomes(jsonwalk.Trim(body))
	}
	for {
		_, rest, found := bytes.Cut(body, homesKey)
		if !found {
			return false
		}
		if tellsHomes(bytes.TrimLeft(rest, ": \t\r\n")) {
			return true
		}
		body = rest
	}
}

// hasHomes looks for such homes anywhere in a JSON value.
func hasHomes(value []byte) bool {
	if jsonwalk.IsArray(value) {
		for element := range jsonwalk.Elements(value) {
			if hasHomes(element) {
				return true
			}
		}
	}
	if jsonwalk.IsObject(value) {
		for key, member := range jsonwalk.Members(value) {
			if (string(key) == homesName && tellsHomes(member)) || hasHomes(member) {
				return true
			}
		}
	}
	return false
}

// tellsHomes reports whether a JSON text begins with a value other than null and a list of nothing.
func tellsHomes(text []byte) bool {
	if bytes.HasPrefix(text, []byte("null")) {
		return false
	}
	elements, isList := bytes.CutPrefix(text, []byte("["))
	return !isList || !bytes.HasPrefix(bytes.TrimLeft(elements, " \t\r\n"), []byte("]"))
}
