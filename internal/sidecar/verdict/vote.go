package verdict

import (
	"slices"
	"time"
)

// votes returns the observers that rate a node bad, sorted, and those that rate it good, in no order, by the opinions that
// were formed after a time.
func (e *Evaluator) votes(node string, after time.Duration) (bad, good []string) {
	for author, o := range e.opinions {
		for _, rating := range o.Ratings {
			switch {
			case rating.Node != node || o.madeAt < after:
			case rating.Bad:
				bad = append(bad, author)
			default:
				good = append(good, author)
			}
		}
	}
	slices.Sort(bad)
	return bad, good
}

// minVotes is the minimum number of observers that must rate a node bad, however few observers there are.
const minVotes = 2

// votesSuffice reports whether the votes on a node suffice to avoid it in this member's zone. That takes the majority of the
// zone's panel, or the majorities of two other zones unless most of this zone's panel rates the node good.
func (e *Evaluator) votesSuffice(bad, good []string) bool {
	zones, here := 0, false
	countByZone := func(names []string) map[string]int {
		count := make(map[string]int)
		for _, name := range names {
			count[e.zoneOf[name]]++
		}
		return count
	}
	against, inFavour := countByZone(bad), countByZone(good)
	for zone, n := range against {
		if panel := len(e.panels[zone]); n >= minVotes && 2*n > panel || e.cfg.Mutate == SingleVote {
			zones++
			here = here || zone == e.cfg.Zone
		}
	}
	if here || e.cfg.Mutate == OneZone && zones > 0 {
		return true
	}
	return zones >= 2 && 2*inFavour[e.cfg.Zone] <= len(e.panels[e.cfg.Zone])
}
