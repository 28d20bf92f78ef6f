package verdict

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// updateMembership replaces the nodes and the observers by those of the event, and selects the panel of each zone.
func (e *Evaluator) updateMembership(event Evaluate) {
	clear(e.nodes)
	clear(e.zones)
	for _, n := range event.Nodes {
		e.nodes[n.Name] = n
		e.zones[n.Zone]++
	}
	if slices.Equal(event.Peers, e.peers) {
		return // same observers, so the panels are unchanged
	}
	e.peers = event.Peers
	clear(e.panels)
	clear(e.zoneOf)
	for _, p := range event.Peers {
		e.panels[p.Zone] = append(e.panels[p.Zone], p.Name)
	}
	for i, zone := range slices.Sorted(maps.Keys(e.panels)) {
		if i >= MaxZones {
			delete(e.panels, zone)
			continue
		}
		if names := e.panels[zone]; len(names) > MaxPanel {
			orderByHash(names, "panel")
			e.panels[zone] = names[:MaxPanel]
		}
		for _, name := range e.panels[zone] {
			e.zoneOf[name] = zone
		}
	}
}

// orderByHash sorts names by a salted hash: all members compute the same order, and each salt yields a different one.
func orderByHash(names []string, salt string) {
	rank := func(name string) uint64 { return xxhash.Sum64String(salt + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
}

// trialMembers returns the names of the members that send to a node at its current stage of a trial. Each verdict on the node
// selects different members, since its count is part of the salt.
func (e *Evaluator) trialMembers(node string, s *verdict) []string {
	names := make([]string, 0, len(e.peers))
	for _, p := range e.peers {
		names = append(names, p.Name)
	}
	orderByHash(names, fmt.Sprint(node, s.count))
	n := max(3, (len(names)+7)/8)
	if s.stage == stageHalf {
		n = max(n, (len(names)+1)/2)
	}
	return names[:min(n, len(names))]
}
