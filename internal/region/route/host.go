package route

import (
	"slices"
	"strings"
	"unicode/utf8"

	"fieldrelay/internal/region/configitem"
)

// maxHostLength is the maximum length of a host name that is looked up without an allocation. RFC 1035 allows 255.
const maxHostLength = 256

// host holds the routes of one host. A lookup does one binary search for each distinct prefix length, longest first: few
// searches, regardless of the number of routes.
type host struct {
	routes  []*Route       // served routes, sorted by path prefix
	lengths []prefixLength // distinct lengths of the path prefixes, longest first
	// shadowed holds routes that are not served because another route of this host has the same prefix. Validation rejects
	// such routes, but an earlier version accepted them if their hosts differed by the port.
	shadowed []*Route
}

// prefixLength is a prefix length and the number of prefixes that have it.
type prefixLength struct {
	length, count int
}

// clone returns a copy that may be modified. The clone of nil is an empty host.
func (h *host) clone() *host {
	if h == nil {
		return &host{}
	}
	return &host{routes: slices.Clone(h.routes), lengths: slices.Clone(h.lengths), shadowed: slices.Clone(h.shadowed)}
}

// search returns the index of a prefix in routes, or the index at which it would be inserted.
func (h *host) search(prefix string) (int, bool) {
	return slices.BinarySearchFunc(h.routes, prefix, func(route *Route, prefix string) int {
		return strings.Compare(route.PathPrefix, prefix)
	})
}

// add adds a route. Of two routes with the same prefix, the one with the lower name is served, regardless of their order,
// so that a table built by successive changes equals a table built from the whole state.
func (h *host) add(route *Route) {
	i, taken := h.search(route.PathPrefix)
	if !taken {
		h.routes = slices.Insert(h.routes, i, route)
		h.addLength(len(route.PathPrefix), 1)
		return
	}
	if other := h.routes[i]; route.Name < other.Name {
		h.routes[i] = route
		route = other
	}
	h.shadowed = append(h.shadowed, route)
}

// remove removes a route. If the route shadowed other routes, the one with the lowest name takes its place.
func (h *host) remove(route *Route) {
	i, found := h.search(route.PathPrefix)
	if !found || h.routes[i] != route {
		h.shadowed = slices.DeleteFunc(h.shadowed, func(other *Route) bool { return other == route })
		return
	}
	if next := h.unshadow(route.PathPrefix); next != nil {
		h.routes[i] = next
		return
	}
	h.routes = slices.Delete(h.routes, i, i+1)
	h.addLength(len(route.PathPrefix), -1)
}

// unshadow removes, from the shadowed routes of a prefix, the route with the lowest name, and returns it. It returns
// nil if no route of the prefix is shadowed.
func (h *host) unshadow(prefix string) *Route {
	lowest := -1
	for i, route := range h.shadowed {
		if route.PathPrefix == prefix && (lowest < 0 || route.Name < h.shadowed[lowest].Name) {
			lowest = i
		}
	}
	if lowest < 0 {
		return nil
	}
	next := h.shadowed[lowest]
	h.shadowed = slices.Delete(h.shadowed, lowest, lowest+1)
	return next
}

// addLength adds delta to the number of prefixes of a length.
func (h *host) addLength(length, delta int) {
	i, found := slices.BinarySearchFunc(h.lengths, length, func(have prefixLength, want int) int {
		return want - have.length
	})
	if !found {
		h.lengths = slices.Insert(h.lengths, i, prefixLength{length: length})
	}
	h.lengths[i].count += delta
	if h.lengths[i].count == 0 {
		h.lengths = slices.Delete(h.lengths, i, i+1)
	}
}

// lookup returns the route with the longest prefix of a path.
func (h *host) lookup(path string) (*Route, bool) {
	if query := strings.IndexByte(path, '?'); query >= 0 {
		path = path[:query]
	}
	for _, prefix := range h.lengths {
		if prefix.length > len(path) {
			continue
		}
		if i, found := h.search(path[:prefix.length]); found {
			return h.routes[i], true
		}
	}
	return nil, false
}

// findHost looks up a host by a name that may have a port and any case, with the same result as a lookup of
// configitem.CanonicalHost. It does not allocate for ASCII names of up to maxHostLength bytes.
func (t *Table) findHost(name string) *host {
	name = configitem.WithoutPort(name)
	var lower [maxHostLength]byte
	if len(name) > len(lower) {
		return t.hosts[configitem.CanonicalHost(name)]
	}
	for i := range len(name) {
		if name[i] >= utf8.RuneSelf {
			return t.hosts[configitem.CanonicalHost(name)]
		}
		lower[i] = lowerASCII(name[i])
	}
	return t.hosts[string(lower[:len(name)])]
}

func lowerASCII(char byte) byte {
	if 'A' <= char && char <= 'Z' {
		return char + ('a' - 'A')
	}
	return char
}
