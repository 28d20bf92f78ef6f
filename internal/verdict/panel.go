package verdict

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// gather takes in who is there, and draws the panels.
func (j *Evaluator) updateMembership(e Evaluate) {
	clear(j.nodes)
	clear(j.zones)
	for _, n := range e.Nodes {
		j.nodes[n.Name] = n
		j.zones[n.Zone]++
	}
	if slices.Equal(e.Peers, j.peers) {
		return // as they were: the panels are too
	}
	j.peers = e.Peers
	clear(j.panels)
	clear(j.zoneOf)
	for _, p := range e.Peers {
		j.panels[p.Zone] = append(j.panels[p.Zone], p.Name)
	}
	for i, zone := range slices.Sorted(maps.Keys(j.panels)) {
		if i >= MaxZones {
			delete(j.panels, zone)
			continue
		}
		if names := j.panels[zone]; len(names) > MaxPanel {
			orderByHash(names, "panel")
			j.panels[zone] = names[:MaxPanel]
		}
		for _, name := range j.panels[zone] {
			j.zoneOf[name] = zone
		}
	}
}

// draw orders names by a hash with a word: the same everywhere, and evenly spread over words.
func orderByHash(names []string, word string) {
	rank := func(name string) uint64 { return xxhash.Sum64String(word + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
}

// triers are who send to a node at its stage of a trial: drawn anew with each verdict on it.
func (j *Evaluator) trialMembers(node string, s *verdict) []string {
	names := make([]string, 0, len(j.peers))
	for _, p := range j.peers {
		names = append(names, p.Name)
	}
	orderByHash(names, fmt.Sprint(node, s.round))
	n := max(3, (len(names)+7)/8)
	if s.stage == stageHalf {
		n = max(n, (len(names)+1)/2)
	}
	return names[:min(n, len(names))]
}
