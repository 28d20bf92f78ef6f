package route

import (
	"slices"
	"strings"
	"unicode/utf8"

	"fieldrelay/internal/configitem"
)

// longestHost is the longest host name that is looked up without an allocation (RFC 1035 allows 255).
const longestHost = 256

// host holds the routes of one host. A path is tried with the lengths that prefixes have, longest first: a
// handful of searches, however many routes there are.
type host struct {
	routes  []*Route       // sorted by path prefix
	lengths []prefixLength // longest first
	// hidden are routes whose prefix another route of this host has. Validation accepts none; an earlier version did
	// where hosts differ by their port.
	hidden []*Route
}

// prefixLength tells how many prefixes have a length.
type prefixLength struct {
	length, count int
}

// clone gives a copy that may be written to; of nil, an empty one.
func (h *host) clone() *host {
	if h == nil {
		return &host{}
	}
	return &host{routes: slices.Clone(h.routes), lengths: slices.Clone(h.lengths), hidden: slices.Clone(h.hidden)}
}

func (h *host) find(prefix string) (int, bool) {
	return slices.BinarySearchFunc(h.routes, prefix, func(route *Route, prefix string) int {
		return strings.Compare(route.PathPrefix, prefix)
	})
}

// put takes a route in. Of two with the same prefix, the one whose name is the lower is served, whichever came first:
// a table that was changed step by step is like one of the whole state.
func (h *host) put(route *Route) {
	i, taken := h.find(route.PathPrefix)
	if !taken {
		h.routes = slices.Insert(h.routes, i, route)
		h.count(len(route.PathPrefix), 1)
		return
	}
	if other := h.routes[i]; route.Name < other.Name {
		h.routes[i] = route
		route = other
	}
	h.hidden = append(h.hidden, route)
}

func (h *host) drop(route *Route) {
	i, found := h.find(route.PathPrefix)
	if !found || h.routes[i] != route {
		h.hidden = slices.DeleteFunc(h.hidden, func(other *Route) bool { return other == route })
		return
	}
	if next := h.reveal(route.PathPrefix); next != nil {
		h.routes[i] = next
		return
	}
	h.routes = slices.Delete(h.routes, i, i+1)
	h.count(len(route.PathPrefix), -1)
}

// reveal takes the hidden route out that is to be served for a prefix; nil if there is none.
func (h *host) reveal(prefix string) *Route {
	lowest := -1
	for i, route := range h.hidden {
		if route.PathPrefix == prefix && (lowest < 0 || route.Name < h.hidden[lowest].Name) {
			lowest = i
		}
	}
	if lowest < 0 {
		return nil
	}
	revealed := h.hidden[lowest]
	h.hidden = slices.Delete(h.hidden, lowest, lowest+1)
	return revealed
}

// count adds to the number of prefixes of a length.
func (h *host) count(length, more int) {
	i, found := slices.BinarySearchFunc(h.lengths, length, func(have prefixLength, want int) int {
		return want - have.length
	})
	if !found {
		h.lengths = slices.Insert(h.lengths, i, prefixLength{length: length})
	}
	h.lengths[i].count += more
	if h.lengths[i].count == 0 {
		h.lengths = slices.Delete(h.lengths, i, i+1)
	}
}

func (h *host) lookup(path string) (*Route, bool) {
	if query := strings.IndexByte(path, '?'); query >= 0 {
		path = path[:query]
	}
	for _, prefix := range h.lengths {
		if prefix.length > len(path) {
			continue
		}
		if i, found := h.find(path[:prefix.length]); found {
			return h.routes[i], true
		}
	}
	return nil, false
}

// hostIn finds a host whose name comes with a port or in another case, as configitem.CanonicalHost makes it. It makes
// no allocation for a name as clients send it.
func (t *Table) hostIn(name string) *host {
	name = configitem.WithoutPort(name)
	var lower [longestHost]byte
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
