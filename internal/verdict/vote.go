package verdict

import (
	"slices"
	"time"
)

// voices are who say bad and good of a node, of what was said after a time.
func (j *Evaluator) votes(node string, after time.Duration) (bad, good []string) {
	for by, o := range j.opinions {
		for _, g := range o.Ratings {
			switch {
			case g.Node != node || o.madeAt < after:
			case g.Bad:
				bad = append(bad, by)
			default:
				good = append(good, by)
			}
		}
	}
	slices.Sort(bad)
	return bad, good
}

// minVotes is how many must say bad, however few there are.
const minVotes = 2

// guilty tells whether a node is condemned for this member's zone.
func (j *Evaluator) condemned(bad, good []string) bool {
	zones, here := 0, false
	heads := func(names []string) map[string]int {
		by := map[string]int{}
		for _, n := range names {
			by[j.zoneOf[n]]++
		}
		return by
	}
	against, inFavour := heads(bad), heads(good)
	for zone, n := range against {
		if most := len(j.panels[zone]); n >= minVotes && 2*n > most || j.cfg.Mutate == SingleVote {
			zones++
			here = here || zone == j.cfg.Zone
		}
	}
	if here || j.cfg.Mutate == OneZone && zones > 0 {
		return true
	}
	return zones >= 2 && 2*inFavour[j.cfg.Zone] <= len(j.panels[j.cfg.Zone])
}
