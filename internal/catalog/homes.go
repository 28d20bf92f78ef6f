package catalog

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// homesKey is the member of a route, or of another item, that lists the only regions in which it may be served.
const homesKey = `"home-regions"`

// Homes tells where requests to a host may be served.
type Homes struct {
	// Bound: some of its requests may be served in some regions only.
	Bound bool
	// Regions are those in which all of its requests may be served, as far as homes are concerned; nil if it is
	// not bound, or if there is no such region.
	Regions []string
}

// HomeIndex has the Homes of all hosts in one state.
type HomeIndex struct {
	hosts map[string]Homes // by name in lower case
	// all: an item that is no route has home regions; which hosts that concerns is not known.
	all bool
}

// Of returns the homes of a host.
func (h *HomeIndex) Of(host string) Homes {
	if h.all {
		return Homes{Bound: true}
	}
	return h.hosts[strings.ToLower(host)]
}

// HomeIndex looks through the configuration. It takes time in proportion to its size.
func (s *Snapshot) HomeIndex() *HomeIndex {
	index := &HomeIndex{hosts: make(map[string]Homes)}
	for _, itemRange := range s.ranges {
		for _, item := range itemRange.items {
			if mentionsHomes(item.GetBody()) {
				index.add(item)
			}
		}
	}
	return index
}

func (h *HomeIndex) add(item *pb.Item) {
	var route struct {
		Host    string   `json:"vhost"`
		Regions []string `json:"home-regions"`
	}
	if item.GetKind() != KindRoutes || json.Unmarshal(item.GetBody(), &route) != nil {
		h.all = true
		return
	}
	host := strings.ToLower(route.Host)
	known, found := h.hosts[host]
	if found {
		route.Regions = slices.DeleteFunc(route.Regions, func(region string) bool {
			return !slices.Contains(known.Regions, region)
		})
	}
	h.hosts[host] = Homes{Bound: true, Regions: route.Regions}
}

// mentionsHomes reports whether a body has a list of home regions that is not empty, without decoding it: most
// routes have none. Inside of a JSON text the key's quotes would be escaped, so that it is found as a key alone.
func mentionsHomes(body []byte) bool {
	for {
		_, rest, found := bytes.Cut(body, []byte(homesKey))
		if !found {
			return false
		}
		value := bytes.TrimLeft(rest, ": \t\r\n")
		isEmpty := bytes.HasPrefix(value, []byte("[")) && bytes.HasPrefix(bytes.TrimLeft(value[1:], " \t\r\n"), []byte("]"))
		if !isEmpty && !bytes.HasPrefix(value, []byte("null")) {
			return true
		}
		body = rest
	}
}
