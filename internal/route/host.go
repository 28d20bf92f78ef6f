package route

import (
	"slices"
	"strings"
)

// longestHost is the longest host name that is looked up (RFC 1035 allows 255).
const longestHost = 256

// host holds the routes of one host. A path is tried with the lengths that prefixes have, longest first: a
// handful of searches, however many routes there are.
type host struct {
	routes  []*Route       // sorted by path prefix
	lengths []prefixLength // longest first
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
	return &host{routes: slices.Clone(h.routes), lengths: slices.Clone(h.lengths)}
}

func (h *host) find(prefix string) (int, bool) {
	return slices.BinarySearchFunc(h.routes, prefix, func(route *Route, prefix string) int {
		return strings.Compare(route.PathPrefix, prefix)
	})
}

func (h *host) put(route *Route) {
	i, taken := h.find(route.PathPrefix)
	if taken {
		h.routes[i] = route
		return
	}
	h.routes = slices.Insert(h.routes, i, route)
	h.count(len(route.PathPrefix), 1)
}

func (h *host) drop(route *Route) {
	i, found := h.find(route.PathPrefix)
	if !found || h.routes[i] != route {
		return
	}
	h.routes = slices.Delete(h.routes, i, i+1)
	h.count(len(route.PathPrefix), -1)
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

// hostIn finds a host whose name comes with a port or in another case, without an allocation.
func (t *Table) hostIn(name string) *host {
	name = withoutPort(name)
	if len(name) > longestHost {
		return nil
	}
	var lower [longestHost]byte
	for i := range len(name) {
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
