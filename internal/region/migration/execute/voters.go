package execute

import (
	"fieldrelay/internal/region/migration/plan"
)

// mayExchange reports whether a core machine can be replaced now: the voters and the chain survive the fault budget, and
// the view has converged.
func (t *transition) mayExchange(index int, replacement *plan.Replacement) bool {
	in := plan.Voter{ID: replacement.New.ID, Zone: replacement.New.Zone}
	violated, _ := t.observation.Core.CheckExchange(replacement.Old.ID, in, replacement.Surge)
	if violated != 0 || !t.observation.CoreConverged {
		t.block(index, BlockCore, nil)
		return false
	}
	return true
}
