package route

import (
	"bytes"
	"encoding/json"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/configitem"
	"fieldrelay/internal/region/jsonwalk"
)

// HomeRegions summarizes in which regions requests to a host may be served.
type HomeRegions struct {
	// Routes is the number of the host's routes that have home regions.
	Routes int
	// ByRegion is the number of those routes that may be served in a region, by region.
	ByRegion map[string]int
	// Unreadable: the host may be restricted to home regions that cannot be parsed.
	Unreadable bool
}

// IsRestricted reports whether some requests to the host may be served only in certain regions.
func (h HomeRegions) IsRestricted() bool { return h.Unreadable || h.Routes > 0 }

// AllAllowedIn reports whether all restricted requests may be served in a region.
func (h HomeRegions) AllAllowedIn(region string) bool {
	return !h.Unreadable && h.ByRegion[region] == h.Routes
}

// HomeIndex holds the HomeRegions of all hosts for one state of the configuration. It is immutable.
type HomeIndex struct {
	hosts map[string]HomeRegions // home regions by canonical host name
	// unreadable: an item that is not a route has home regions, and the hosts to which they apply are unknown.
	unreadable bool
}

// NewHomeIndex indexes the home regions of a configuration, in time linear in its size.
func NewHomeIndex(configuration *catalog.Snapshot) *HomeIndex {
	index := &HomeIndex{hosts: make(map[string]HomeRegions)}
	for _, kind := range configuration.Kinds() {
		for _, item := range configuration.Items(kind) {
			if mentionsHomeRegions(item.GetBody()) {
				index.add(item)
			}
		}
	}
	return index
}

// Of returns the home regions of a host, whose name may have a port and any case.
func (i *HomeIndex) Of(host string) HomeRegions {
	regions := i.hosts[configitem.CanonicalHost(host)]
	regions.Unreadable = i.unreadable
	return regions
}

// add adds an item that has home regions. An unusable route is ignored, as it is in a Table.
func (i *HomeIndex) add(item *pb.Item) {
	if item.GetKind() != catalog.KindRoutes {
		i.unreadable = true
		return
	}
	route, _ := parseRoute(item)
	if route == nil || len(route.HomeRegions) == 0 {
		return
	}
	regions := i.hosts[route.Host]
	if regions.ByRegion == nil {
		regions.ByRegion = make(map[string]int)
	}
	regions.Routes++
	for _, region := range route.HomeRegions {
		regions.ByRegion[region]++
	}
	i.hosts[route.Host] = regions
}

// homeRegionsName is the name of an item's member that lists its home regions.
const homeRegionsName = "home-regions"

var (
	homeRegionsKey = []byte(`"` + homeRegionsName + `"`)
	// unicodeEscape is the start of a JSON escape sequence. A key that contains one is not found by a search for its plain
	// text.
	unicodeEscape = []byte(`\u`)
)

// mentionsHomeRegions reports whether a body has home regions that are not an empty list. Most routes have none, so it
// searches the text and parses the body only if the text contains escape sequences. The search cannot match inside a
// JSON string, where the quotes of the key would be escaped.
func mentionsHomeRegions(body []byte) bool {
	if bytes.Contains(body, unicodeEscape) && json.Valid(body) {
		return hasHomeRegions(jsonwalk.Trim(body))
	}
	for {
		_, rest, found := bytes.Cut(body, homeRegionsKey)
		if !found {
			return false
		}
		if isNonEmpty(bytes.TrimLeft(rest, ": \t\r\n")) {
			return true
		}
		body = rest
	}
}

// hasHomeRegions reports whether a JSON value has, at any depth, home regions that are not an empty list.
func hasHomeRegions(value []byte) bool {
	if jsonwalk.IsArray(value) {
		for element := range jsonwalk.Elements(value) {
			if hasHomeRegions(element) {
				return true
			}
		}
	}
	if jsonwalk.IsObject(value) {
		for key, member := range jsonwalk.Members(value) {
			if (string(key) == homeRegionsName && isNonEmpty(member)) || hasHomeRegions(member) {
				return true
			}
		}
	}
	return false
}

// isNonEmpty reports whether a JSON text begins with a value that is neither null nor an empty list.
func isNonEmpty(text []byte) bool {
	if bytes.HasPrefix(text, []byte("null")) {
		return false
	}
	elements, isList := bytes.CutPrefix(text, []byte("["))
	return !isList || !bytes.HasPrefix(bytes.TrimLeft(elements, " \t\r\n"), []byte("]"))
}
