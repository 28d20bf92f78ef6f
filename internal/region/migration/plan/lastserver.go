package plan

import (
	"fieldrelay/internal/region/migration/capacity"
)

// lastServerKey is the cache key of removesLastServer: everything that its result depends on.
type lastServerKey struct {
	group       int
	done, batch string
}

// removesLastServer reports whether a zone would have no node of a group during a stage, although it has one before the
// stage and has one when all replacements are done. Results are cached.
func (s *searcher) removesLastServer(group int, done, batch counts) bool {
	view := &s.groups[group]
	if view.unaffectedBy(batch) {
		return false
	}
	key := lastServerKey{group, string(done.project(view.classes)), string(batch.project(view.classes))}
	removes, known := s.lastServerCache[key]
	if !known {
		removes = s.emptiesZone(view, done, batch)
		s.lastServerCache[key] = removes
	}
	return removes
}

// emptiesZone computes the result of removesLastServer.
func (s *searcher) emptiesZone(view *groupView, done, batch counts) bool {
	present := zonesOf(s.servingNodes(view, done, batch, beforeStage))
	final := zonesOf(s.servingNodes(view, s.goal, make(counts, len(s.goal)), beforeStage))
	for _, at := range []phase{inPlaceRemoved, surgeTakenOver} {
		during := zonesOf(s.servingNodes(view, done, batch, at))
		for zone := range present {
			if final[zone] && !during[zone] {
				return true
			}
		}
	}
	return false
}

func zonesOf(nodes []capacity.Node) map[string]bool {
	zones := make(map[string]bool)
	for index := range nodes {
		zones[nodes[index].Zone] = true
	}
	return zones
}
